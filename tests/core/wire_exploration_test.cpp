// Explores the mapping of frames to attempts (StreamTable, WireAttempts, choose_connection) against an engine
// that may send any frame about any request that ever reached it: late, twice, out of order, or never. Two
// invariants are checked: a frame is assigned to the attempt that caused it or to none, and an attempt never
// starts while another attempt of its request is active on the engine. Both were violated in incident 32.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>

#include "core/connection_choice.hpp"
#include "core/stream_table.hpp"
#include "core/wire_attempts.hpp"

namespace paddlestand::core {
namespace {

constexpr std::size_t requests = 2;
constexpr std::size_t max_attempts = 3;
constexpr std::size_t usual_connections = 2;

/// Former defects of the manager, to show that the exploration finds them.
struct Defects {
  bool reuses_ids = false;
  bool trusts_unsent_cancels = false;
};

struct Connection {
  ConnectionId number{};
  StreamTable table;
  std::size_t streams = 0;
  bool retired = false;
  bool closed = false;
};

struct Attempt {
  std::size_t request{};
  ChannelId channel{};
  std::size_t connection{};
  bool active = true;  ///< according to the manager
  bool active_at_engine = true;
  bool cancel_is_unsent = false;
};

class ModelState {
 public:
  explicit ModelState(Defects defects) : defects_(defects) {}

  [[nodiscard]] const std::string& violation() const { return violation_; }

  /// All moves that are possible in this state, encoded for make().
  [[nodiscard]] std::vector<int> moves() const {
    std::vector<int> all;
    for (std::size_t r = 0; r < requests; ++r)
      if (may_start(r)) all.push_back(code(Move::start, r));
    for (std::size_t a = 0; a < attempts_.size(); ++a) {
      const Attempt& attempt = attempts_[a];
      if (!connections_[attempt.connection].closed) {
        all.push_back(code(Move::end_frame, a));
        all.push_back(code(Move::further_frame, a));
        if (attempt.active_at_engine) all.push_back(code(Move::lost_end_frame, a));
      }
      if (attempt.active) {
        all.push_back(code(Move::cancel, a));
        all.push_back(code(Move::unsent_cancel, a));
      }
      if (attempt.cancel_is_unsent) all.push_back(code(Move::send_cancel, a));
    }
    for (std::size_t c = 0; c < connections_.size(); ++c)
      if (!connections_[c].closed) all.push_back(code(Move::connection_lost, c));
    return all;
  }

  void make(int move) {
    const auto subject = static_cast<std::size_t>(move / move_kinds);
    switch (static_cast<Move>(move % move_kinds)) {
      case Move::start: start(subject); break;
      case Move::end_frame:
        end_at_engine(subject);
        receive_end(subject);
        break;
      case Move::further_frame: receive_frame(subject); break;
      case Move::lost_end_frame: end_at_engine(subject); break;
      case Move::cancel:
        cancel(subject);
        send_cancel(subject);
        break;
      case Move::unsent_cancel: cancel(subject); break;
      case Move::send_cancel: send_cancel(subject); break;
      case Move::connection_lost: close(subject); break;
    }
  }

 private:
  enum class Move {
    start,
    end_frame,
    further_frame,
    lost_end_frame,
    cancel,
    unsent_cancel,
    send_cancel,
    connection_lost
  };
  static constexpr int move_kinds = 8;
  static int code(Move move, std::size_t subject) {
    return static_cast<int>(subject) * move_kinds + static_cast<int>(move);
  }
  static StreamId id_of(std::size_t request) { return 0x100 + request; }

  [[nodiscard]] bool may_start(std::size_t request) const {
    std::size_t made = 0;
    for (const Attempt& attempt : attempts_) {
      if (attempt.request != request) continue;
      if (attempt.active) return false;
      ++made;
    }
    return made < max_attempts;
  }

  std::optional<std::size_t> place(StreamId id) {
    std::vector<ConnectionFacts> facts;
    std::vector<std::size_t> open;
    for (std::size_t c = 0; c < connections_.size(); ++c) {
      const Connection& one = connections_[c];
      if (one.closed) continue;
      facts.push_back({!one.retired, one.table.may_carry(id), one.streams, TimePoint{static_cast<int>(c)}});
      open.push_back(c);
    }
    const ConnectionChoice choice = choose_connection(facts, {2, usual_connections, true}, ChannelUse::query);
    if (choice.kind == ConnectionChoice::Kind::none) return std::nullopt;
    if (choice.kind == ConnectionChoice::Kind::existing) return open[choice.index];
    connections_.push_back({});
    connections_.back().number = connections_.size();
    return connections_.size() - 1;
  }

  [[nodiscard]] bool is_active_at_engine(std::size_t request) const {
    return std::any_of(attempts_.begin(), attempts_.end(), [&](const Attempt& attempt) {
      return attempt.request == request && attempt.active_at_engine;
    });
  }

  void start(std::size_t request) {
    const StreamId id = id_of(request);
    const auto at = place(id);
    if (!at) return;
    const ChannelId channel = attempts_.size() + 1;
    if (!defects_.trusts_unsent_cancels)
      for (const ConnectionId number : wire_.being_cancelled(id)) close(number - 1);
    if (!connections_[*at].table.reserve(id, channel) || !connections_[*at].table.open(id, channel)) {
      fail("an id was used twice on a connection");
      return;
    }
    if (!defects_.trusts_unsent_cancels && wire_.out(id)) {
      fail("a second attempt according to the manager's records");
      return;
    }
    if (is_active_at_engine(request)) {
      fail("an attempt started while the engine had another one");
      return;
    }
    wire_.began(id, connections_[*at].number);
    ++connections_[*at].streams;
    attempts_.push_back({request, channel, *at});
  }

  void end_at_engine(std::size_t cause) { attempts_[cause].active_at_engine = false; }

  /// A frame about this attempt's request arrives on its connection. Returns the attempt that it is assigned
  /// to, if any.
  Attempt* receive_frame(std::size_t cause) {
    const StreamId id = id_of(attempts_[cause].request);
    const auto channel = connections_[attempts_[cause].connection].table.channel_of(id);
    if (!channel) return nullptr;
    Attempt& assigned = attempts_[*channel - 1];
    if (*channel != attempts_[cause].channel) {
      fail("a frame was assigned to another attempt");
      return nullptr;
    }
    if (!assigned.active) {
      fail("a frame was assigned to an attempt that had ended");
      return nullptr;
    }
    return &assigned;
  }

  void receive_end(std::size_t cause) {
    if (Attempt* assigned = receive_frame(cause)) finish(*assigned);
  }

  void finish(Attempt& attempt) {
    end(attempt);
    wire_.ended(id_of(attempt.request), connections_[attempt.connection].number);
  }

  void end(Attempt& attempt) {
    Connection& connection = connections_[attempt.connection];
    attempt.active = false;
    --connection.streams;
    if (defects_.reuses_ids) connection.table.release(id_of(attempt.request));
    connection.table.close(id_of(attempt.request));
  }

  void cancel(std::size_t which) {
    Attempt& attempt = attempts_[which];
    end(attempt);
    if (!defects_.reuses_ids) connections_[attempt.connection].retired = true;
    wire_.cancelling(id_of(attempt.request), connections_[attempt.connection].number);
    attempt.cancel_is_unsent = true;
  }

  void send_cancel(std::size_t which) {
    Attempt& attempt = attempts_[which];
    attempt.cancel_is_unsent = false;
    attempt.active_at_engine = false;
    wire_.ended(id_of(attempt.request), connections_[attempt.connection].number);
  }

  void close(std::size_t which) {
    Connection& connection = connections_[which];
    if (connection.closed) return;
    connection.closed = true;
    for (Attempt& attempt : attempts_) {
      if (attempt.connection != which) continue;
      if (attempt.active) end(attempt);
      attempt.active_at_engine = false;
      attempt.cancel_is_unsent = false;
    }
    wire_.connection_closed(connection.number);
  }

  void fail(const std::string& what) {
    if (violation_.empty()) violation_ = what;
  }

  Defects defects_;
  std::vector<Connection> connections_;
  std::vector<Attempt> attempts_;
  WireAttempts wire_;
  std::string violation_;
};

/// Explores all histories of up to `steps` moves. Returns the first violation, or an empty string.
std::string first_violation(const ModelState& state, int steps) {
  if (!state.violation().empty()) return state.violation();
  if (steps == 0) return {};
  for (const int move : state.moves()) {
    ModelState next = state;
    next.make(move);
    if (auto violation = first_violation(next, steps - 1); !violation.empty()) return violation;
  }
  return {};
}

std::string first_violation_at_random(Defects defects, std::uint64_t histories, int steps) {
  std::mt19937_64 random(32);
  for (std::uint64_t history = 0; history < histories; ++history) {
    ModelState state(defects);
    for (int step = 0; step < steps && state.violation().empty(); ++step) {
      const auto moves = state.moves();
      if (moves.empty()) break;
      state.make(moves[random() % moves.size()]);
    }
    if (!state.violation().empty()) return state.violation();
  }
  return {};
}

constexpr int exhaustive_depth = 8;
constexpr int random_steps = 40;
constexpr std::uint64_t random_histories = 50000;

TEST(WireExploration, NoShortHistoryAssignsAFrameToAnotherAttempt) {
  EXPECT_EQ(first_violation(ModelState(Defects{}), exhaustive_depth), "");
}

TEST(WireExploration, NoLongRandomHistoryAssignsAFrameToAnotherAttempt) {
  EXPECT_EQ(first_violation_at_random({}, random_histories, random_steps), "");
}

TEST(WireExploration, ReuseOfIdsAfterTheFirstEndIsDetected) {
  EXPECT_NE(first_violation(ModelState(Defects{.reuses_ids = true}), exhaustive_depth), "");
  EXPECT_NE(first_violation_at_random({.reuses_ids = true}, random_histories, random_steps), "");
}

TEST(WireExploration, TrustInUnsentCancelsIsDetected) {
  EXPECT_NE(first_violation(ModelState(Defects{.trusts_unsent_cancels = true}), exhaustive_depth), "");
}

}  // namespace
}  // namespace paddlestand::core
