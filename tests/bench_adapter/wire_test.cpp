/// The bench adapter on hand-built frames, complete and truncated at every byte.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <string>

#include "wire_frames.hpp"
#include "wire_host.hpp"

namespace paddlestand::bench_adapter::test {
namespace {

TEST(Wire, EmptyBatchGetsEmptyReply) {
  WireHost host;

  const auto reply = host.reply_to(Frame{}.bytes(7, 1));

  const std::vector<std::uint8_t> expected{8, 0, 0, 0, 1, 0, 0, 0};
  EXPECT_EQ(reply, expected);
}

TEST(Wire, RequestIsSentToListedEngine) {
  WireHost host;
  Frame batch;
  add_instance(batch, 3);
  add_list(batch, 0, {77});
  add_list_change(batch, 3, 0, 2);
  add_request(batch, 3, 0xFD50D5D3A91C4);

  EXPECT_EQ(engines_of_sends(host.reply_to(batch.bytes())), std::vector<std::uint32_t>{77});
}

TEST(Wire, ListNumbersAreResolvedInOrderOfRecords) {
  WireHost host;
  Frame batch;
  add_instance(batch, 1);
  add_instance(batch, 2);
  add_list(batch, 0, {11});
  add_list_change(batch, 1, 0, 1);
  add_list(batch, 0, {22});
  add_list_change(batch, 2, 0, 1);
  add_request(batch, 1, 1);
  add_request(batch, 2, 2);

  const std::vector<std::uint32_t> expected{11, 22};
  EXPECT_EQ(engines_of_sends(host.reply_to(batch.bytes())), expected);
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
  Frame batch;
  add_instance(batch, 1);
  add_list(batch, 0, {11, 12});
  add_list_change(batch, 1, 0, 2);
  add_list(batch, 1, {11}, 0);
  add_list_change(batch, 1, 1, 0);
  add_list_change(batch, 1, 99, 3);
  add_request(batch, 1, 1);

  EXPECT_EQ(engines_of_sends(host.reply_to(batch.bytes())), std::vector<std::uint32_t>{12});
}

TEST(Wire, EventsForUnknownRequestsAreIgnored) {
  WireHost host;
  Frame batch;
  add_instance(batch, 1);
  add_abandonment(batch, 1, 999);
  batch.record(1).put(std::uint16_t{1}).put(std::uint64_t{999}).put(std::uint16_t{0}).put(std::uint32_t{5});
  batch.put(std::uint8_t{1}).put(0.5F);
  batch.record(5).put(std::uint16_t{1}).put(std::uint16_t{2}).put(std::uint16_t{2}).put(std::uint16_t{0});
  batch.record(10).put(std::uint16_t{1}).put(std::uint16_t{200}).put(std::uint32_t{5}).put(std::uint64_t{1});
  batch.put(std::uint8_t{0});

  EXPECT_TRUE(engines_of_sends(host.reply_to(batch.bytes())).empty());
}

TEST(Wire, TruncatedFrameIsRejected) {
  Frame batch;
  add_instance(batch, 3);
  add_list(batch, 0, {77});
  add_list_change(batch, 3, 0, 2);
  add_request(batch, 3, 1);
  const auto complete = batch.bytes();

  for (std::size_t cut = 0; cut < complete.size(); ++cut) {
    std::vector<std::uint8_t> part(complete.begin(), complete.begin() + static_cast<std::ptrdiff_t>(cut));
    const auto length = static_cast<std::uint32_t>(cut);
    if (cut >= 4) std::memcpy(part.data(), &length, 4);
    WireHost host;
    EXPECT_THROW(host.reply_to(part), MalformedFrame) << cut;
  }
}

TEST(Wire, InvalidRecordsAreRejected) {
  const auto expect_rejected = [](const Frame& batch) {
    WireHost host;
    EXPECT_THROW(host.reply_to(batch.bytes()), MalformedFrame);
  };
  expect_rejected(Frame{}.record(99).put(std::uint16_t{1}));
  expect_rejected(Frame{}.record(12).put(std::uint16_t{1}).put(std::uint64_t{1}));
  expect_rejected(Frame{}.record(6).put(std::uint32_t{16}).put(std::uint32_t{0}));
  expect_rejected(Frame{}.record(6).put(std::uint32_t{0}).put(std::uint32_t{0xFFFFFFFF}));
  expect_rejected(Frame{}.put(std::uint8_t{0}));
  constexpr std::array<std::uint8_t, 4> tiny{19, 0, 0, 0};
  constexpr std::array<std::uint8_t, 4> huge{255, 255, 255, 255};
  EXPECT_THROW(frame_length(tiny), MalformedFrame);
  EXPECT_THROW(frame_length(huge), MalformedFrame);
}

TEST(Wire, InvalidSettingIsReportedToTheSimulator) {
  WireHost host;
  Frame batch;
  add_instance(batch, 1, "balancers=three\n");

  const auto reply = host.reply_to(batch.bytes());

  ASSERT_GT(reply.size(), 13U);
  EXPECT_EQ(reply[8], 10);
  EXPECT_NE(std::string(reply.begin(), reply.end()).find("balancers"), std::string::npos);
}

TEST(Wire, MegabyteBatchIsAccepted) {
  WireHost host;
  Frame batch;
  add_instance(batch, 1);
  add_list(batch, 0, {1, 2, 3});
  add_list_change(batch, 1, 0, 2);
  for (std::uint64_t id = 1; id <= 25'000; ++id) add_request(batch, 1, id);
  const auto bytes = batch.bytes();
  ASSERT_GT(bytes.size(), 1'000'000U);

  EXPECT_FALSE(engines_of_sends(host.reply_to(bytes)).empty());
}

// A gossip entry has an engine's short id, then threads in three bits and memory in five.
TEST(Wire, GossipIsSentAndArbitraryGossipIsAccepted) {
  WireHost host;
  const std::string text = std::string(settings_text) +
                           "permissions.may_tell=true\nfamily_info.on_shortage=overcommit\n"
                           "family_info.grants=true\nprices.peer=0.01\n";
  Frame batch;
  add_list(add_instance(batch, 1, text), 0, {70001, 9});
  add_list_change(batch, 1, 0, 2);
  host.reply_to(batch.bytes());

  for (std::size_t length = 0; length <= 300; ++length) {
    Frame gossip;
    gossip.record(5).put(std::uint16_t{1}).put(std::uint16_t{0}).put(static_cast<std::uint16_t>(length));
    for (std::size_t i = 0; i < length; ++i) gossip.put(static_cast<std::uint8_t>(i * 7));
    EXPECT_TRUE(engines_of_sends(host.reply_to(gossip.bytes(2'000'000'000 + length))).empty());
  }

  Frame request;
  add_request(request, 1, 7);
  const auto reply = host.reply_to(request.bytes(9'000'000'000));
  const auto engines = engines_of_sends(reply);

  ASSERT_EQ(engines.size(), 1U);
  const std::vector<std::uint8_t> message{static_cast<std::uint8_t>(engines[0] & 255U),
                                          static_cast<std::uint8_t>(engines[0] >> 8U & 255U), 1U << 5U | 2U};
  const auto found = std::search(reply.begin(), reply.end(), message.begin(), message.end());
  EXPECT_NE(found, reply.end());
}

}  // namespace
}  // namespace paddlestand::bench_adapter::test
