/// The state machines of the core. Each has named states and a table of legal transitions; any other
/// transition throws an exception that describes it. A host may let the exception end the process, because a
/// manager with inconsistent records can't guarantee its invariants.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace paddlestand::core {

/// A transition that is not in the table, or an event that does not fit the state.
struct IllegalTransition : std::logic_error {
  using std::logic_error::logic_error;
};

/// A client's session, with one query at a time.
enum class SessionState : std::uint8_t { idle, active, closed };

/// One attempt of a query at an engine. Up to and including `sending` it certainly did not run.
enum class AttemptState : std::uint8_t { connecting, sending, running, answering, cancelling, finished };

/// One channel to an engine. From `cancelling` only `closed` follows, so that a late cancel can't affect
/// another query on the channel.
enum class ChannelState : std::uint8_t { opening, idle, sending, busy, cancelling, closed };

/// A query as seen by its client: `open` until bytes of its answer are delivered or it is finished.
enum class QueryState : std::uint8_t { open, streaming, finished };

[[nodiscard]] std::string_view name_of(SessionState state);
[[nodiscard]] std::string_view name_of(AttemptState state);
[[nodiscard]] std::string_view name_of(ChannelState state);
[[nodiscard]] std::string_view name_of(QueryState state);

template <typename State>
using Transitions = std::span<const std::pair<State, State>>;

/// The table of legal transitions. The argument only selects the overload.
[[nodiscard]] Transitions<SessionState> legal_transitions(SessionState);
[[nodiscard]] Transitions<AttemptState> legal_transitions(AttemptState);
[[nodiscard]] Transitions<ChannelState> legal_transitions(ChannelState);
[[nodiscard]] Transitions<QueryState> legal_transitions(QueryState);

/// Throws IllegalTransition for a transition that is not in the table; `why` names its cause.
[[noreturn]] void fail_transition(std::string_view machine, std::uint64_t id, std::string_view from,
                                  std::string_view to, std::string_view why);
/// Throws IllegalTransition for a state that contradicts itself or the event.
[[noreturn]] void fail_assertion(std::string_view machine, std::uint64_t id, std::string_view what);

/// A state that changes only by legal transitions.
template <typename State>
class Machine {
 public:
  /// `machine` is its name in exceptions and must outlive it, as a string literal does.
  Machine(std::string_view machine, std::uint64_t id, State first)
      : machine_(machine), id_(id), state_(first) {}

  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] bool is(State state) const { return state_ == state; }
  [[nodiscard]] std::uint64_t id() const { return id_; }

  /// Changes the state. Throws IllegalTransition if the table does not contain the transition.
  void transition_to(State to, std::string_view why) {
    for (const auto& [from, next] : legal_transitions(State{})) {
      if (from == state_ && next == to) {
        state_ = to;
        return;
      }
    }
    fail_transition(machine_, id_, name_of(state_), name_of(to), why);
  }

 private:
  std::string_view machine_;
  std::uint64_t id_;
  State state_;
};

}  // namespace paddlestand::core
