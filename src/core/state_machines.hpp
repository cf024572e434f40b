// The state machines of the core: named states, one table of legal transitions each, and a failed assertion
// with its context on any other. A host may let the exception end the process: a manager that has lost track
// of an attempt can keep no invariant about it.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace paddlestand::core {

struct IllegalTransition : std::logic_error {
  using std::logic_error::logic_error;
};

// A client's seat: one query at a time.
enum class SessionState : std::uint8_t { idle, active, closed };

// One attempt of a query at an engine. Up to `sending` it certainly has not run.
enum class AttemptState : std::uint8_t { connecting, sending, running, answering, cancelling, finished };

// One connection to an engine. `cancelling` is never left but to `closed`: whatever a late cancel strikes, it
// is not the next query on the channel.
enum class ChannelState : std::uint8_t { opening, idle, sending, busy, cancelling, closed };

// A query, as the client sees it: `held` until bytes of its answer go out or it is over.
enum class QueryState : std::uint8_t { open, streaming, finished };

std::string_view name_of(SessionState state);
std::string_view name_of(AttemptState state);
std::string_view name_of(ChannelState state);
std::string_view name_of(QueryState state);

template <typename State>
using Transitions = std::span<const std::pair<State, State>>;

Transitions<SessionState> legal_transitions(SessionState);
Transitions<AttemptState> legal_transitions(AttemptState);
Transitions<ChannelState> legal_transitions(ChannelState);
Transitions<QueryState> legal_transitions(QueryState);

[[noreturn]] void fail_transition(std::string_view machine, std::uint64_t id, std::string_view from,
                                  std::string_view to, std::string_view why);
[[noreturn]] void fail_assertion(std::string_view machine, std::uint64_t id, std::string_view what);

// A state that can only move along its table.
template <typename State>
class Machine {
 public:
  Machine(std::string_view machine, std::uint64_t id, State first)
      : machine_(machine), id_(id), state_(first) {}

  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] bool is(State state) const { return state_ == state; }
  [[nodiscard]] std::uint64_t id() const { return id_; }

  void go(State to, std::string_view why) {
    for (const auto& [from, next] : legal_transitions(State{})) {
      if (from == state_ && next == to) {
        state_ = to;
        return;
      }
    }
    fail_transition(machine_, id_, name_of(state_), name_of(to), why);
  }

 private:
  std::string_view machine_;  // a literal
  std::uint64_t id_;
  State state_;
};

}  // namespace paddlestand::core
