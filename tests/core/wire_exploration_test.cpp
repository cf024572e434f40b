// Explores what maps frames to attempts (StreamTable, WireAttempts, choose_connection) against an engine that
// may say anything it may, at any time, about any request that ever reached it: late, twice, out of order, or
// never. Two things must hold: a frame is credited to the attempt that caused it or to none, and an attempt
// never begins while the engine has another one of its request. Incident 32 broke both.
#include <gtest/gtest.h>

#include <array>
#include <random>

#include "core/connection_choice.hpp"
#include "core/stream_table.hpp"
#include "core/wire_attempts.hpp"

namespace paddlestand::core {
namespace {

constexpr std::size_t requests = 2, max_attempts = 3, usual_connections = 2;

// What the manager did before the repair, to show that the exploration would have found it.
struct Defects {
  bool ids_are_forgotten = false;
  bool cancels_are_believed = false;
};

struct Connection {
  ConnectionId number{};
  StreamTable table;
  std::size_t streams = 0;
  bool retired = false, closed = false;
};

struct Attempt {
  std::size_t request{};
  ChannelId channel{};
  std::size_t connection{};
  bool out = true;  // as the manager has it
  bool out_at_engine = true;
  bool cancel_waits = false;
};

class ModelState {
 public:
  explicit ModelState(Defects defects) : defects_(defects) {}

  [[nodiscard]] const std::string& broken() const { return broken_; }

  // All moves that can be made now, as numbers for make().
  [[nodiscard]] std::vector<int> moves() const {
    std::vector<int> all;
    for (std::size_t r = 0; r < requests; ++r)
      if (may_start(r)) all.push_back(code(Move::start, r));
    for (std::size_t a = 0; a < attempts_.size(); ++a) {
      const Attempt& attempt = attempts_[a];
      if (!connections_[attempt.connection].closed) {
        all.push_back(code(Move::end_frame, a));
        all.push_back(code(Move::further_frame, a));
        if (attempt.out_at_engine) all.push_back(code(Move::lost_end_frame, a));
      }
      if (attempt.out) all.push_back(code(Move::cancel, a)), all.push_back(code(Move::cancel_that_waits, a));
      if (attempt.cancel_waits) all.push_back(code(Move::cancel_leaves, a));
    }
    for (std::size_t c = 0; c < connections_.size(); ++c)
      if (!connections_[c].closed) all.push_back(code(Move::connection_lost, c));
    return all;
  }

  void make(int move) {
    const auto subject = static_cast<std::size_t>(move / move_kinds);
    switch (static_cast<Move>(move % move_kinds)) {
      case Move::start: return start(subject);
      case Move::end_frame: return frame(subject, true, true);
      case Move::further_frame: return frame(subject, false, true);
      case Move::lost_end_frame: return frame(subject, true, false);
      case Move::cancel: return cancel(subject, false);
      case Move::cancel_that_waits: return cancel(subject, true);
      case Move::cancel_leaves: return cancel_leaves(subject);
      case Move::connection_lost: return close(subject);
    }
  }

 private:
  enum class Move {
    start,
    end_frame,
    further_frame,
    lost_end_frame,
    cancel,
    cancel_that_waits,
    cancel_leaves,
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
      if (attempt.out) return false;
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

  void start(std::size_t request) {
    const StreamId id = id_of(request);
    const auto at = place(id);
    if (!at) return;
    const ChannelId channel = attempts_.size() + 1;
    if (!defects_.cancels_are_believed)
      for (const ConnectionId number : wire_.being_cancelled(id)) close(number - 1);
    if (!connections_[*at].table.reserve(id, channel) || !connections_[*at].table.open(id, channel))
      return fail("an id was used twice on a connection");
    if (!defects_.cancels_are_believed && wire_.out(id))
      return fail("a second attempt, by the manager's account");
    for (const Attempt& earlier : attempts_)
      if (earlier.request == request && earlier.out_at_engine)
        return fail("an attempt began while the engine had another one");
    wire_.began(id, connections_[*at].number);
    ++connections_[*at].streams;
    attempts_.push_back({request, channel, *at});
  }

  // The engine says something of a request that it has, or once had, on this attempt's connection.
  void frame(std::size_t cause, bool ends, bool arrives) {
    if (ends) attempts_[cause].out_at_engine = false;
    if (!arrives) return;
    const StreamId id = id_of(attempts_[cause].request);
    const auto channel = connections_[attempts_[cause].connection].table.channel_of(id);
    if (!channel) return;
    Attempt& credited = attempts_[*channel - 1];
    if (*channel != attempts_[cause].channel) return fail("a frame was credited to another attempt");
    if (!credited.out) return fail("a frame was credited to an attempt that had ended");
    if (ends) finish(credited);
  }

  void finish(Attempt& attempt) {
    end(attempt);
    wire_.ended(id_of(attempt.request), connections_[attempt.connection].number);
  }

  void end(Attempt& attempt) {
    Connection& connection = connections_[attempt.connection];
    attempt.out = false;
    --connection.streams;
    if (defects_.ids_are_forgotten) connection.table.release(id_of(attempt.request));
    connection.table.close(id_of(attempt.request));
  }

  void cancel(std::size_t which, bool waits) {
    Attempt& attempt = attempts_[which];
    end(attempt);
    if (!defects_.ids_are_forgotten) connections_[attempt.connection].retired = true;
    wire_.cancelling(id_of(attempt.request), connections_[attempt.connection].number);
    attempt.cancel_waits = true;
    if (!waits) cancel_leaves(which);
  }

  void cancel_leaves(std::size_t which) {
    Attempt& attempt = attempts_[which];
    attempt.cancel_waits = false;
    attempt.out_at_engine = false;
    wire_.ended(id_of(attempt.request), connections_[attempt.connection].number);
  }

  void close(std::size_t which) {
    Connection& connection = connections_[which];
    if (connection.closed) return;
    connection.closed = true;
    for (Attempt& attempt : attempts_) {
      if (attempt.connection != which) continue;
      if (attempt.out) end(attempt);
      attempt.out_at_engine = attempt.cancel_waits = false;
    }
    wire_.connection_closed(connection.number);
  }

  void fail(const std::string& what) {
    if (broken_.empty()) broken_ = what;
  }

  Defects defects_;
  std::vector<Connection> connections_;
  std::vector<Attempt> attempts_;
  WireAttempts wire_;
  std::string broken_;
};

// The first history that breaks something, all of this length tried; nothing where none does.
std::string first_break(const ModelState& world, int steps) {
  if (!world.broken().empty()) return world.broken();
  if (steps == 0) return {};
  for (const int move : world.moves()) {
    ModelState next = world;
    next.make(move);
    if (auto broken = first_break(next, steps - 1); !broken.empty()) return broken;
  }
  return {};
}

std::string first_break_at_random(Defects defects, std::uint64_t walks, int steps) {
  std::mt19937_64 random(32);
  for (std::uint64_t walk = 0; walk < walks; ++walk) {
    ModelState world(defects);
    for (int step = 0; step < steps && world.broken().empty(); ++step) {
      const auto moves = world.moves();
      if (moves.empty()) break;
      world.make(moves[random() % moves.size()]);
    }
    if (!world.broken().empty()) return world.broken();
  }
  return {};
}

constexpr int whole_depth = 8, walk_length = 40;
constexpr std::uint64_t walks = 50000;

TEST(WireExploration, NoShortHistoryCreditsAFrameToAnotherAttempt) {
  EXPECT_EQ(first_break(ModelState(Defects{}), whole_depth), "");
}

TEST(WireExploration, NoLongWalkCreditsAFrameToAnotherAttempt) {
  EXPECT_EQ(first_break_at_random({}, walks, walk_length), "");
}

TEST(WireExploration, IdsThatAreFreeAgainAtTheFirstEndAreFound) {
  EXPECT_NE(first_break(ModelState(Defects{.ids_are_forgotten = true}), whole_depth), "");
  EXPECT_NE(first_break_at_random({.ids_are_forgotten = true}, walks, walk_length), "");
}

TEST(WireExploration, CancelsThatAreBelievedBeforeTheyLeaveAreFound) {
  EXPECT_NE(first_break(ModelState(Defects{.cancels_are_believed = true}), whole_depth), "");
}

}  // namespace
}  // namespace paddlestand::core
