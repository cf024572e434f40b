// The composed system as one value: the manager that ships (dispatcher, query coordinator, module,
// invariants), the hands that carry its effects out, clients, channels and engines around it, and a clock
// that only moves when told to. What may happen next is a list of moves; a move that is made is checked at
// once.
//
// The engines know nothing but what a invariant hangs on: whose bytes they have, what they said of them,
// which cancels are on their way. Time passes only in steps to just before, at and just after what falls due.
#pragma once

#include <array>
#include <bitset>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/event_dispatcher.hpp"
#include "digest.hpp"
#include "scope.hpp"

namespace paddlestand::explorer {

using core::ChannelId;
using core::Invariant;
using core::InvariantViolation;
using core::QueryId;

enum class Step : std::uint8_t {
  // Clients; the subject is a client.
  ask,
  cancel,
  leave_client,
  stop_reading,
  break_client,  // gone, which is seen at the next write
  read_on,
  // Links; the subject is a channel.
  channel_opened,
  refused,
  no_descriptor,
  lost,
  broken,
  written,  // the rest of a query
  part,
  big_part,
  part_and_end,  // in one read: no rest in between is heeded
  complete,
  complete_unclean,
  failed,
  full,
  note,
  strike,  // a cancel reaches the engine
  late_end,  // what crossed with the close of its channel
  late_note,
  // Engines; the subject is an engine.
  deaf,  // it reads nothing from its sockets
  hears,
  drain,
  gone,
  back,  // under its old id, cold
  restart,  // as that, and nobody saw it go
  // The subject is nothing.
  list_failed,
  wait,  // until just before something falls due
  reach,  // the very moment, and nothing has fallen yet
  late,  // the timer comes late, and more has fallen due
  fire,
  shutdown,
  count
};

std::string_view name_of(Step act);

struct Move {
  Step act{};
  std::uint8_t manager = 0;
  std::uint32_t subject = 0;
  friend bool operator==(const Move&, const Move&) = default;
};

// What must be shown to occur.
enum class Case : std::uint8_t {
  late_answer_after_resend,
  cancel_and_drain,
  drain_and_send,
  answer_then_time_out,
  time_out_then_answer,
  client_gone_between_attempts,
  full_everywhere,
  removed_and_back_within_grace,
  rest_over_while_out,
  deadline_between_resend_and_connect,
  note_of_ended_attempt,
  shutdown_in_flight,
  // Further ones that the search goes through.
  answer_at_a_cancelled_link,
  resend_after_reset,
  late_cancel,  // the channel is closed before it comes
  query_half_written,
  count
};
using Cases = std::bitset<static_cast<std::size_t>(Case::count)>;
std::string_view name_of(Case one);

struct Row {
  QueryId query{};
  ChannelId channel{};
  std::uint8_t number = 0;
  friend bool operator==(const Row&, const Row&) = default;
};

class ModelState {
 public:
  explicit ModelState(std::shared_ptr<const Scope> scope);

  // All that may happen now, in a fixed order.
  [[nodiscard]] std::vector<Move> moves();
  // The one that a world without further faults makes, in which no engine says a word more; none where all
  // has ended.
  [[nodiscard]] std::optional<Move> calm_move();
  [[nodiscard]] bool allowed(const Move& move);

  // Makes a move that is allowed; what was broken by it, if anything.
  std::vector<InvariantViolation> make(const Move& move);

  // What is left over although calm_move() has none.
  [[nodiscard]] std::optional<InvariantViolation> left_over();

  [[nodiscard]] std::uint64_t digest();
  [[nodiscard]] const Cases& cases() const { return cases_; }  // of the last move
  [[nodiscard]] TimePoint now() const { return now_; }
  // In words, for a history; of the world before the move is made.
  [[nodiscard]] std::string describe(const Move& move) const;
  // What the last move led to, in words; kept only where asked for.
  void keep_story() { keeps_story_ = true; }
  [[nodiscard]] const std::vector<std::string>& story() const { return story_; }
  [[nodiscard]] core::Counts counts(std::uint32_t manager) const {
    return sites_[manager].dispatcher.counts();
  }

 private:
  class Carrier;
  enum class Flight : std::uint8_t { nothing, half, whole };  // of a query's bytes

  struct EngineSideChannel {
    ChannelId id{};
    EngineId engine{};
    std::uint32_t process = 0;  // of the engine, when it was opened
    bool probe = false, up = false, paused = false, closed = false;
    Flight flight = Flight::nothing;
    QueryId query{};  // whose bytes the engine has, while flight is whole; to come, while half
    std::uint8_t parts = 0, big_parts = 0, notes = 0;
    std::vector<Row> kept;  // by the host
    std::optional<QueryId> cancel;  // under way: for which query
    TimePoint closed_at{};
  };
  struct Client {
    bool here = true, reads = true;
    std::uint32_t asked = 0;  // how many
    std::uint32_t undelivered_bytes = 0;  // bytes
    std::uint32_t seat = 0;  // how often it was taken anew
    QueryId query{};  // under way, or zero
    QueryId cancel_of{};  // what its last cancel was for
    bool broken = false;
    bool cancel_kept = false;  // by a seeded defect of the host
  };
  struct Seen {  // a query
    std::uint8_t client = 0;
    Class cls{};
    std::uint64_t key = 0;
    bool answered = false, reset = false;
    std::uint8_t attempts = 0, out = 0;  // sent
    std::uint16_t full_of = 0;  // engines that turned it away, as bits
    ChannelId rows_of{};  // the channel that rows came from
    std::uint8_t rows = 0;
  };
  struct ManagerState {  // a manager and what is its own
    core::EventDispatcher dispatcher;
    std::vector<Client> clients;
    std::vector<EngineSideChannel> channels;
    std::map<QueryId, Seen> queries;
    bool leaving = false;
  };
  struct EngineSide {
    EngineState listed = EngineState::ready;
    std::uint32_t process = 0;
    bool deaf = false, changed = false;  // changed: it drained or went once already
    TimePoint started{}, not_ready_since{};
  };

  void dispatch(std::uint32_t manager, core::CoreEvent event);
  void tell_fleet(EndpointUpdate scope, EngineId engine);
  [[nodiscard]] EngineEntry entry_of(EngineId engine) const;
  [[nodiscard]] Slot slot_of(std::uint32_t manager, std::uint32_t client, std::uint32_t nth) const;
  [[nodiscard]] QueryId id_of(std::uint32_t manager, std::uint32_t client, std::uint32_t nth) const;
  static constexpr std::uint64_t most_clients = 256;
  static core::SessionId session_of(const ManagerState& site, std::uint32_t client);
  static std::size_t client_of(core::SessionId session);
  void ask(std::uint32_t manager, std::uint32_t client);
  void end_answer(std::uint32_t manager, EngineSideChannel& channel, core::Ending ending, bool reusable);
  void let_time_pass(TimePoint to);
  [[nodiscard]] std::optional<TimePoint> due() const;
  void wait();
  [[nodiscard]] bool quiet() const;
  void invariants();
  void moves_of_clients(std::uint8_t manager, std::vector<Move>& out) const;
  void moves_of_channels(std::uint8_t manager, std::vector<Move>& out) const;
  void moves_of_time(std::vector<Move>& out);
  EngineSideChannel* find(std::uint32_t manager, ChannelId id);
  [[nodiscard]] const EngineSideChannel* find(std::uint32_t manager, ChannelId id) const;
  void violation(Invariant invariant, std::string what) {
    violations_.push_back({invariant, std::move(what)});
  }
  void tells(std::string line);
  void mark(Case one) { cases_.set(static_cast<std::size_t>(one)); }
  std::uint64_t digest(std::span<const std::uint8_t> names);

  std::shared_ptr<const Scope> scope_;
  TimePoint now_{};
  std::vector<ManagerState> sites_;
  std::vector<EngineSide> engines_;  // engine 1 first
  std::uint32_t faults_left_ = 0;
  bool list_failed_ = false, was_late_ = false;
  std::vector<InvariantViolation> violations_;
  Cases cases_;
  bool keeps_story_ = false;
  std::vector<std::string> story_;
};

}  // namespace paddlestand::explorer
