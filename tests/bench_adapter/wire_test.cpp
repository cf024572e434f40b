/// The bench adapter's wire on hand-made frames, complete and truncated at every byte.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <string>

#include "config/settings_parser.hpp"
#include "wire_host.hpp"

namespace paddlestand::bench_adapter {
namespace {

/// A batch under construction.
class Frame {
 public:
  template <typename T>
  Frame& put(T value) {
    const auto at = bytes_.size();
    bytes_.resize(at + sizeof(T));
    std::memcpy(bytes_.data() + at, &value, sizeof(T));
    return *this;
  }
  Frame& text(std::string_view value) {
    put(static_cast<std::uint32_t>(value.size()));
    bytes_.insert(bytes_.end(), value.begin(), value.end());
    return *this;
  }
  Frame& record(std::uint8_t code) {
    ++records_;
    return put(code);
  }
  [[nodiscard]] std::vector<std::uint8_t> bytes(std::uint64_t clock = 1'000'000'000,
                                                std::uint32_t number = 5) const {
    Frame out;
    out.put(static_cast<std::uint32_t>(bytes_.size() + batch_header_bytes))
        .put(records_)
        .put(clock)
        .put(number);
    out.bytes_.insert(out.bytes_.end(), bytes_.begin(), bytes_.end());
    return out.bytes_;
  }

 private:
  std::vector<std::uint8_t> bytes_;
  std::uint32_t records_ = 0;
};

constexpr std::string_view boot =
    "balancers=1\ngranularity_ns=5000000\nclasses.count=1\nclasses.0.aim_ns=1000000000\n"
    "classes.0.deadline_ns=5000000000\nclasses.0.gain=1.0\nclasses.0.repeat=pure\nclasses.0.key_scope=all\n"
    "family_info.class_threads=1\nfamily_info.kind_cores=8\nfamily_info.size_mb=16384.0\n"
    "permissions.max_attempts=3\npermissions.cancel=true\nreport.names=utilization\nnews.to_come=1\n";

Frame& add_instance(Frame& f, std::uint16_t who, std::string_view text = boot) {
  return f.record(8).put(who).put(std::uint64_t{42}).text(text);
}
Frame& add_list(Frame& f, std::uint32_t ref, std::vector<std::uint32_t> engines, std::uint8_t condition = 1) {
  f.record(6).put(ref).put(static_cast<std::uint32_t>(engines.size()));
  for (const auto id : engines) {
    f.put(std::uint16_t{0}).put(condition).put(std::uint8_t{0}).put(1.0F).put(std::uint16_t{0}).put(id);
    f.put(std::uint64_t{0});
  }
  return f;
}
Frame& add_list_change(Frame& f, std::uint16_t who, std::uint32_t ref, std::uint8_t scope) {
  return f.record(9).put(who).put(ref).put(std::uint64_t{1}).put(scope);
}
Frame& add_request(Frame& f, std::uint16_t who, std::uint64_t id, std::uint8_t cls = 0) {
  f.record(7).put(who).put(id).put(cls).put(std::uint16_t{0}).put(std::uint64_t{0});
  return f.put(std::uint64_t{5'000'000'000})
      .put(std::uint64_t{12'000'000})
      .put(390.0F)
      .put(11.0F)
      .put(std::uint8_t{1});
}
Frame& add_abandonment(Frame& f, std::uint16_t who, std::uint64_t id) {
  return f.record(12).put(who).put(id);
}

/// The engines that the send actions of a reply name.
std::vector<std::uint32_t> engines_of_sends(const std::vector<std::uint8_t>& reply) {
  std::vector<std::uint32_t> out;
  for (std::size_t at = 8; at < reply.size();) {
    std::uint16_t n = 0;
    switch (reply[at]) {
      case 1: at += 19; break;
      case 2: at += 13; break;
      case 4:
        std::memcpy(&n, reply.data() + at + 7, 2);
        at += 9U + n;
        break;
      case 5: {
        std::uint32_t engine = 0;
        std::memcpy(&engine, reply.data() + at + 19, 4);
        out.push_back(engine);
        at += 23;
        break;
      }
      case 6: at += 16; break;
      case 7:
      case 10:
        std::memcpy(&n, reply.data() + at + 3, 2);
        at += 5U + n;
        break;
      case 8: at += 7; break;
      case 9: at += 4; break;
      case 12: at += 11; break;
      case 13: at += 15; break;
      default: ADD_FAILURE() << "unknown action " << int{reply[at]}; return out;
    }
  }
  return out;
}

TEST(Wire, EmptyBatchGetsEmptyReply) {
  WireHost host;
  const auto reply = host.reply_to(Frame{}.bytes(7, 1));
  const std::vector<std::uint8_t> wanted{8, 0, 0, 0, 1, 0, 0, 0};
  EXPECT_EQ(reply, wanted);
}

TEST(Wire, RequestIsSentToListedEngine) {
  WireHost host;
  Frame f;
  add_instance(f, 3);
  add_list(f, 0, {77});
  add_list_change(f, 3, 0, 2);
  add_request(f, 3, 0xFD50D5D3A91C4);
  EXPECT_EQ(engines_of_sends(host.reply_to(f.bytes())), std::vector<std::uint32_t>{77});
}

TEST(Wire, ListNumbersAreResolvedInOrderOfRecords) {
  WireHost host;
  Frame f;
  add_instance(f, 1);
  add_instance(f, 2);
  add_list(f, 0, {11});
  add_list_change(f, 1, 0, 1);
  add_list(f, 0, {22});
  add_list_change(f, 2, 0, 1);
  add_request(f, 1, 1);
  add_request(f, 2, 2);
  const std::vector<std::uint32_t> wanted{11, 22};
  EXPECT_EQ(engines_of_sends(host.reply_to(f.bytes())), wanted);
}

TEST(Wire, RecreatedInstanceHasNoState) {
  WireHost host;
  Frame first;
  add_instance(first, 1);
  add_list(first, 0, {11});
  add_list_change(first, 1, 0, 2);
  add_request(first, 1, 1);
  host.reply_to(first.bytes());
  Frame second;
  second.record(11).put(std::uint16_t{1});
  add_instance(second, 1);
  add_list(second, 0, {22});
  add_list_change(second, 1, 0, 2);
  add_abandonment(second, 1, 1);
  add_request(second, 1, 1);
  EXPECT_EQ(engines_of_sends(host.reply_to(second.bytes(2'000'000'000))), std::vector<std::uint32_t>{22});
}

TEST(Wire, DeltasAndFailuresKeepOtherEntries) {
  WireHost host;
  Frame f;
  add_instance(f, 1);
  add_list(f, 0, {11, 12});
  add_list_change(f, 1, 0, 2);
  add_list(f, 1, {11}, 0);
  add_list_change(f, 1, 1, 0);
  add_list_change(f, 1, 99, 3);
  add_request(f, 1, 1);
  EXPECT_EQ(engines_of_sends(host.reply_to(f.bytes())), std::vector<std::uint32_t>{12});
}

TEST(Wire, EventsForUnknownRequestsAreIgnored) {
  WireHost host;
  Frame f;
  add_instance(f, 1);
  add_abandonment(f, 1, 999);
  f.record(1).put(std::uint16_t{1}).put(std::uint64_t{999}).put(std::uint16_t{0}).put(std::uint32_t{5});
  f.put(std::uint8_t{1}).put(0.5F);
  f.record(5).put(std::uint16_t{1}).put(std::uint16_t{2}).put(std::uint16_t{2}).put(std::uint16_t{0});
  f.record(10).put(std::uint16_t{1}).put(std::uint16_t{200}).put(std::uint32_t{5}).put(std::uint64_t{1});
  f.put(std::uint8_t{0});
  EXPECT_TRUE(engines_of_sends(host.reply_to(f.bytes())).empty());
}

TEST(Wire, TruncatedFrameIsRejected) {
  Frame f;
  add_instance(f, 3);
  add_list(f, 0, {77});
  add_list_change(f, 3, 0, 2);
  add_request(f, 3, 1);
  const auto complete = f.bytes();
  for (std::size_t cut = 0; cut < complete.size(); ++cut) {
    std::vector<std::uint8_t> part(complete.begin(), complete.begin() + static_cast<std::ptrdiff_t>(cut));
    const auto length = static_cast<std::uint32_t>(cut);
    if (cut >= 4) std::memcpy(part.data(), &length, 4);
    WireHost host;
    EXPECT_THROW(host.reply_to(part), MalformedFrame) << cut;
  }
}

TEST(Wire, InvalidRecordsAreRejected) {
  const auto bad = [](Frame f) {
    WireHost host;
    EXPECT_THROW(host.reply_to(f.bytes()), MalformedFrame);
  };
  bad(Frame{}.record(99).put(std::uint16_t{1}));
  bad(Frame{}.record(12).put(std::uint16_t{1}).put(std::uint64_t{1}));
  bad(Frame{}.record(6).put(std::uint32_t{16}).put(std::uint32_t{0}));
  bad(Frame{}.record(6).put(std::uint32_t{0}).put(std::uint32_t{0xFFFFFFFF}));
  bad(Frame{}.put(std::uint8_t{0}));
  const std::uint8_t tiny[] = {19, 0, 0, 0};
  const std::uint8_t huge[] = {255, 255, 255, 255};
  EXPECT_THROW(frame_length(tiny), MalformedFrame);
  EXPECT_THROW(frame_length(huge), MalformedFrame);
}

TEST(Wire, InvalidSettingIsReportedToTheSimulator) {
  WireHost host;
  Frame f;
  add_instance(f, 1, "balancers=three\n");
  const auto reply = host.reply_to(f.bytes());
  ASSERT_GT(reply.size(), 13U);
  EXPECT_EQ(reply[8], 10);
  EXPECT_NE(std::string(reply.begin(), reply.end()).find("balancers"), std::string::npos);
}

TEST(Wire, MegabyteBatchIsAccepted) {
  WireHost host;
  Frame f;
  add_instance(f, 1);
  add_list(f, 0, {1, 2, 3});
  add_list_change(f, 1, 0, 2);
  for (std::uint64_t id = 1; id <= 25'000; ++id) add_request(f, 1, id);
  const auto batch = f.bytes();
  ASSERT_GT(batch.size(), 1'000'000U);
  EXPECT_FALSE(engines_of_sends(host.reply_to(batch)).empty());
}

// A peer's message: an engine's mark, then threads in three bits and memory in five.
TEST(Wire, GossipIsSentAndArbitraryGossipIsAccepted) {
  WireHost host;
  const std::string text = std::string(boot) +
                           "permissions.may_tell=true\nfamily_info.on_shortage=overcommit\n"
                           "family_info.grants=true\nprices.peer=0.01\n";
  Frame f;
  add_list(add_instance(f, 1, text), 0, {70001, 9});
  add_list_change(f, 1, 0, 2);
  host.reply_to(f.bytes());
  for (std::size_t length = 0; length <= 300; ++length) {
    Frame g;
    g.record(5).put(std::uint16_t{1}).put(std::uint16_t{0}).put(static_cast<std::uint16_t>(length));
    for (std::size_t i = 0; i < length; ++i) g.put(static_cast<std::uint8_t>(i * 7));
    EXPECT_TRUE(engines_of_sends(host.reply_to(g.bytes(2'000'000'000 + length))).empty());
  }
  Frame h;
  add_request(h, 1, 7);
  const auto reply = host.reply_to(h.bytes(9'000'000'000));
  const auto engine = engines_of_sends(reply);
  ASSERT_EQ(engine.size(), 1U);
  const std::vector<std::uint8_t> message{static_cast<std::uint8_t>(engine[0] & 255U),
                                          static_cast<std::uint8_t>(engine[0] >> 8U & 255U), 1U << 5U | 2U};
  const auto found = std::search(reply.begin(), reply.end(), message.begin(), message.end());
  EXPECT_NE(found, reply.end());
}

TEST(SettingsParser, SkipsUnknownKeys) {
  const auto parsed = config::parse_settings(boot);
  ASSERT_TRUE(std::holds_alternative<config::ParsedSettings>(parsed));
  const Settings& s = std::get<config::ParsedSettings>(parsed).settings;
  ASSERT_EQ(s.classes.size(), 1U);
  EXPECT_EQ(s.classes[0].latency_objective, std::chrono::seconds(1));
  EXPECT_EQ(s.classes[0].idempotency, Idempotency::idempotent);
  EXPECT_EQ(s.max_attempts, 3U);
  EXPECT_FALSE(s.retry_budget.has_value());
  EXPECT_FALSE(s.classes[0].allowed_kinds.has_value());
}

TEST(SettingsParser, RejectsInvalidValues) {
  using Kind = config::SettingsError::Kind;
  struct Case {
    const char* settings;
    Kind kind;
    const char* text;
  };
  const Case cases[] = {
      {"classes.count=1\nclasses.0.repeat=perhaps\n", Kind::unknown_choice,
       "settings value not understood: classes.0.repeat=perhaps"},
      {"permissions.cancel=maybe\n", Kind::not_a_flag,
       "settings value is neither true nor false: permissions.cancel=maybe"},
      {"no equals\n", Kind::missing_equals_sign, "settings line without '=': no equals"},
      {"rules.cold_ns=-5\n", Kind::out_of_range, "settings value out of range: rules.cold_ns"},
      {"classes.count=99999999\n", Kind::count_too_large, "settings count too large: classes"},
      {"balancers=nan\n", Kind::out_of_range, "settings value out of range: balancers"},
      {"rules.tip_multiple=high\n", Kind::not_a_number,
       "settings value is no number: rules.tip_multiple=high"},
  };
  for (const Case& one : cases) {
    const auto parsed = config::parse_settings(one.settings);
    const auto* error = std::get_if<config::SettingsError>(&parsed);
    ASSERT_NE(error, nullptr) << one.settings;
    EXPECT_EQ(error->kind, one.kind) << one.settings;
    EXPECT_EQ(error->text(), one.text);
  }
}

}  // namespace
}  // namespace paddlestand::bench_adapter
