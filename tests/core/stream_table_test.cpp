// The assignment of frames to streams, the attempts that may be active on engines, and the choice of a
// connection for a stream.
#include "core/stream_table.hpp"

#include <gtest/gtest.h>

#include "core/connection_choice.hpp"
#include "core/wire_attempts.hpp"

namespace paddlestand::core {
namespace {

using Kind = ConnectionChoice::Kind;

// ---- StreamTable ----

TEST(StreamTable, IdIsUsedOncePerConnection) {
  StreamTable table;

  ASSERT_TRUE(table.reserve(7, 1));
  EXPECT_FALSE(table.reserve(7, 2)) << "reserved for another channel";
  ASSERT_TRUE(table.open(7, 1));
  EXPECT_EQ(table.channel_of(7), ChannelId{1});

  table.close(7);

  EXPECT_FALSE(table.channel_of(7));
  EXPECT_FALSE(table.may_carry(7));
  EXPECT_FALSE(table.reserve(7, 2));
  EXPECT_TRUE(table.may_carry(8));
}

TEST(StreamTable, ReservedStreamReceivesNoFrames) {
  StreamTable table;

  ASSERT_TRUE(table.reserve(7, 1));
  EXPECT_FALSE(table.channel_of(7));
  EXPECT_FALSE(table.open(7, 2)) << "reserved for another channel";
  EXPECT_FALSE(table.open(8, 1)) << "not reserved";
}

TEST(StreamTable, ReleasedIdMayBeUsedAgain) {
  StreamTable table;
  ASSERT_TRUE(table.reserve(7, 1));
  ASSERT_TRUE(table.open(7, 1));

  table.release(7);

  EXPECT_TRUE(table.may_carry(7));
  ASSERT_TRUE(table.reserve(7, 2));
  ASSERT_TRUE(table.open(7, 2));

  table.close(7);
  table.release(7);  // no effect, since the stream was opened and closed: its id stays used

  EXPECT_FALSE(table.may_carry(7));
}

TEST(StreamTable, RememberedIdsAreBounded) {
  StreamTable table;

  for (StreamId id = 0; id < max_stream_ids_per_connection; ++id) {
    ASSERT_FALSE(table.exhausted());
    ASSERT_TRUE(table.reserve(id, id + 1));
    table.close(id);
  }

  EXPECT_TRUE(table.exhausted());
  EXPECT_FALSE(table.may_carry(max_stream_ids_per_connection));
}

// ---- WireAttempts ----

TEST(WireAttempts, AttemptIsActiveUntilItsEndIsReadOrItsConnectionIsClosed) {
  WireAttempts wire;

  wire.began(7, 1);

  EXPECT_TRUE(wire.out(7));
  EXPECT_FALSE(wire.out(8));

  wire.ended(7, 2);  // no effect, since the attempt is on another connection

  EXPECT_TRUE(wire.out(7));

  wire.ended(7, 1);

  EXPECT_FALSE(wire.out(7));

  wire.began(7, 2);
  wire.began(8, 2);
  wire.connection_closed(2);

  EXPECT_FALSE(wire.out(7));
  EXPECT_EQ(wire.size(), 0U);
}

TEST(WireAttempts, CancelledAttemptIsListedUntilItsCancelIsSent) {
  WireAttempts wire;

  wire.began(7, 1);
  wire.cancelling(7, 1);

  EXPECT_FALSE(wire.out(7));
  EXPECT_EQ(wire.being_cancelled(7), std::vector<ConnectionId>{1});

  wire.ended(7, 1);

  EXPECT_TRUE(wire.being_cancelled(7).empty());
  EXPECT_EQ(wire.size(), 0U);
}

// ---- The choice of a connection ----

constexpr ConnectionFacts id_already_used{
    .accepts_streams = true, .may_carry = false, .streams = 0, .last_received = {}};
constexpr ConnectionFacts busy{.accepts_streams = true, .may_carry = true, .streams = 1, .last_received = {}};
constexpr ConnectionFacts idle{.accepts_streams = true, .may_carry = true, .streams = 0, .last_received = {}};
constexpr ConnectionLimits limits{.streams_per_connection = 2, .usual_connections = 2, .may_open = true};

ConnectionChoice choose(std::vector<ConnectionFacts> connections,
                        const ConnectionLimits& connection_limits = limits,
                        ChannelUse use = ChannelUse::query) {
  return choose_connection(connections, connection_limits, use);
}

TEST(ConnectionChoice, IdleConnectionThatCarriedTheRequestIsSkipped) {
  EXPECT_EQ(choose({id_already_used}).kind, Kind::open);

  const auto choice = choose({id_already_used, idle});

  EXPECT_EQ(choice.kind, Kind::existing);
  EXPECT_EQ(choice.index, 1U);
}

TEST(ConnectionChoice, IdleConnectionThatReceivedBytesLastIsPreferred) {
  ConnectionFacts later = idle;
  later.last_received = TimePoint{5};

  EXPECT_EQ(choose({idle, later}).index, 1U);
}

TEST(ConnectionChoice, StreamsShareAConnectionAtTheUsualNumber) {
  const auto choice = choose({id_already_used, busy});

  EXPECT_EQ(choice.kind, Kind::existing);
  EXPECT_EQ(choice.index, 1U);
}

TEST(ConnectionChoice, StreamExcludedOnlyByItsIdGetsAConnectionBeyondTheUsualNumber) {
  EXPECT_EQ(choose({id_already_used, id_already_used}).kind, Kind::open);
  EXPECT_EQ(choose({id_already_used, id_already_used, id_already_used}).kind, Kind::open);
  EXPECT_EQ(choose({id_already_used, id_already_used, id_already_used, id_already_used}).kind, Kind::none)
      << "twice the usual number";
}

TEST(ConnectionChoice, NothingIsOpenedWithoutDescriptors) {
  ConnectionLimits none = limits;
  none.may_open = false;

  EXPECT_EQ(choose({id_already_used, id_already_used}, none).kind, Kind::none);
  EXPECT_EQ(choose({}, none).kind, Kind::none);
}

TEST(ConnectionChoice, FullConnectionsDoNotRaiseTheUsualNumber) {
  ConnectionFacts full = busy;
  full.streams = 2;

  EXPECT_EQ(choose({full, full}).kind, Kind::none);
}

TEST(ConnectionChoice, ProbePrefersANewConnection) {
  EXPECT_EQ(choose({idle}, limits, ChannelUse::probe).kind, Kind::open);
  EXPECT_EQ(choose({idle, idle}, limits, ChannelUse::probe).kind, Kind::existing);
}

}  // namespace
}  // namespace paddlestand::core
