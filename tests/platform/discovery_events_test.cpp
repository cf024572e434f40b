// Encoding and decoding of command channel events, and the engine list that they define.
#include <gtest/gtest.h>

#include "platform/endpoint_list.hpp"
#include "protocol/discovery/events.hpp"

namespace paddlestand {
namespace {

using namespace std::chrono_literals;
using namespace std::string_literals;

discovery::Event event(std::uint64_t number, bool is_full_list, const std::vector<EngineId>& engines,
                       EngineState state = EngineState::ready) {
  discovery::Event out;
  out.number = number;
  out.is_full_list = is_full_list;
  for (const EngineId id : engines) {
    discovery::Record record;
    record.entry = {id, state, 1, 2, 3, 1.5, 1700000000123ms};
    record.address = 0x0a010009;
    record.port = static_cast<std::uint16_t>(4000 + id);
    out.records.push_back(record);
  }
  return out;
}

TEST(CommandChannel, EventsAreEncodedExactlyAndDecodedAtAnySplit) {
  std::string cursor;
  discovery::put_cursor(cursor, 41);

  EXPECT_EQ(cursor, "\0\0\0\0\0\0\0\x29"s);

  std::string bytes;
  discovery::put_event(bytes, event(42, false, {7}, EngineState::draining));
  EXPECT_EQ(bytes,
            "\0\0\0\x24\0\0\0\0\0\0\0\x2a\x02"
            "\0\0\0\x07\x0a\x01\0\x09\x0f\xa7\x01\x02\x01\0\x03\0\0\x05\xdc\0\0\x01\x8b\xcf\xe5\x68\x7b"s);

  discovery::put_heartbeat(bytes, 42);
  discovery::put_event(bytes, event(43, true, {}));
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    discovery::EventReader reader;
    std::string order;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      reader.feed(std::string_view(bytes).substr(at, step));
      for (auto next = reader.next(); !std::holds_alternative<std::monostate>(next); next = reader.next()) {
        order += std::holds_alternative<discovery::Heartbeat>(next) ? 'b' : 'e';
        ASSERT_FALSE(std::holds_alternative<discovery::ProtocolViolation>(next));
        if (const auto* list_change = std::get_if<discovery::Event>(&next);
            list_change != nullptr && list_change->number == 42) {
          ASSERT_EQ(list_change->records.size(), 1U);
          EXPECT_EQ(list_change->records[0].entry.state, EngineState::draining);
          EXPECT_EQ(list_change->records[0].entry.weight, 1.5);
          EXPECT_EQ(list_change->records[0].entry.started, 1700000000123ms);
          EXPECT_EQ(list_change->records[0].port, 4007);
        }
      }
    }
    EXPECT_EQ(order, "ebe");
  }
}

TEST(CommandChannel, MalformedFramesAreDetected) {
  const auto is_malformed = [](const std::string& bytes) {
    discovery::EventReader reader;
    reader.feed(bytes);
    return std::holds_alternative<discovery::ProtocolViolation>(reader.next());
  };

  EXPECT_TRUE(is_malformed("\0\0\0\x08"s));
  EXPECT_TRUE(is_malformed("\xff\xff\xff\xff"s));
  EXPECT_TRUE(is_malformed("\0\0\0\x09\0\0\0\0\0\0\0\x01\x05"s));
  EXPECT_TRUE(is_malformed("\0\0\0\x0a\0\0\0\0\0\0\0\x01\x02\0"s));

  std::string state;
  discovery::put_event(state, event(1, false, {1}));
  state[13 + 10] = 3;
  EXPECT_TRUE(is_malformed(state));
}

TEST(EndpointList, ReportsWhichProcessesHaveEnded) {
  platform::EndpointList endpoints;
  const auto ended_by = [&](const discovery::Event& change) {
    core::EndpointsUpdated update;
    std::vector<EngineId> ended;
    endpoints.apply(change, update, ended);
    endpoints.forget_removed();
    return ended;
  };
  const std::vector<EngineId> none, second{2}, all{1, 2, 3};

  EXPECT_EQ(ended_by(event(1, true, {1, 2, 3})), none);
  EXPECT_EQ(ended_by(event(2, false, {2}, EngineState::draining)), none);
  EXPECT_EQ(ended_by(event(3, false, {2}, EngineState::removed)), second);
  EXPECT_EQ(ended_by(event(4, false, {2})), none) << "the previous process had already ended";

  auto restarted = event(5, false, {2});
  restarted.records[0].entry.started = std::chrono::seconds(7);
  EXPECT_EQ(ended_by(restarted), second) << "restarted under the same id";

  restarted.number = 6;
  restarted.records[0].port ^= 1;
  EXPECT_EQ(ended_by(restarted), second) << "at another address";
  EXPECT_EQ(ended_by(event(7, true, {4})), all) << "not in the full list";
}

TEST(EndpointList, AppliesEachEventOnceAndReportsGaps) {
  platform::EndpointList endpoints;
  const auto apply = [&](const discovery::Event& change) {
    core::EndpointsUpdated update;
    std::vector<EngineId> ended;
    const auto result = endpoints.apply(change, update, ended);
    return std::pair(result, update.engines.size());
  };
  using ApplyResult = platform::EndpointList::ApplyResult;

  EXPECT_EQ(
      apply(event(5, true, {1, 2})),
      std::pair(ApplyResult::applied, std::size_t{2}));  // a full list does not depend on earlier events
  EXPECT_EQ(apply(event(5, true, {1, 2})), std::pair(ApplyResult::duplicate, std::size_t{0}));
  EXPECT_EQ(apply(event(7, false, {3})).first, ApplyResult::gap);
  EXPECT_EQ(endpoints.last_event(), 5U);
  EXPECT_EQ(apply(event(6, false, {2}, EngineState::removed)).first, ApplyResult::applied);
  ASSERT_TRUE(endpoints.address(2));

  endpoints.forget_removed();
  EXPECT_FALSE(endpoints.address(2));
  EXPECT_EQ(endpoints.address(1), (platform::Address{0x0a010009, 4001}));
  EXPECT_EQ(apply(event(7, true, {4})).first, ApplyResult::applied);

  endpoints.forget_removed();
  EXPECT_EQ(endpoints.size(), 1U);
}

}  // namespace
}  // namespace paddlestand
