#include "state_machines.hpp"

namespace paddlestand::core {
namespace {

constexpr std::array session_transitions{
    std::pair{SessionState::idle, SessionState::active},
    std::pair{SessionState::active, SessionState::idle},
    std::pair{SessionState::idle, SessionState::closed},
    std::pair{SessionState::active, SessionState::closed},
};

constexpr std::array attempt_transitions{
    std::pair{AttemptState::connecting, AttemptState::sending},
    std::pair{AttemptState::connecting, AttemptState::finished},
    std::pair{AttemptState::sending, AttemptState::running},
    std::pair{AttemptState::sending, AttemptState::finished},
    std::pair{AttemptState::running, AttemptState::answering},
    std::pair{AttemptState::running, AttemptState::cancelling},
    std::pair{AttemptState::running, AttemptState::finished},
    std::pair{AttemptState::answering, AttemptState::cancelling},
    std::pair{AttemptState::answering, AttemptState::finished},
    std::pair{AttemptState::cancelling, AttemptState::finished},
};

constexpr std::array channel_transitions{
    std::pair{ChannelState::opening, ChannelState::idle},
    std::pair{ChannelState::opening, ChannelState::closed},
    std::pair{ChannelState::idle, ChannelState::sending},
    std::pair{ChannelState::idle, ChannelState::closed},
    std::pair{ChannelState::sending, ChannelState::busy},
    std::pair{ChannelState::sending, ChannelState::closed},
    std::pair{ChannelState::busy, ChannelState::idle},
    std::pair{ChannelState::busy, ChannelState::cancelling},
    std::pair{ChannelState::busy, ChannelState::closed},
    std::pair{ChannelState::cancelling, ChannelState::closed},
};

constexpr std::array query_transitions{
    std::pair{QueryState::open, QueryState::streaming},
    std::pair{QueryState::open, QueryState::finished},
    std::pair{QueryState::streaming, QueryState::finished},
};

constexpr std::array<std::string_view, 3> session_names{"idle", "active", "closed"};
constexpr std::array<std::string_view, 6> attempt_names{"connecting", "sending",    "running",
                                                        "answering",  "cancelling", "finished"};
constexpr std::array<std::string_view, 6> channel_names{"opening", "idle",       "sending",
                                                        "busy",    "cancelling", "closed"};
constexpr std::array<std::string_view, 3> query_names{"open", "streaming", "finished"};

}  // namespace

std::string_view name_of(SessionState state) { return session_names[static_cast<std::size_t>(state)]; }
std::string_view name_of(AttemptState state) { return attempt_names[static_cast<std::size_t>(state)]; }
std::string_view name_of(ChannelState state) { return channel_names[static_cast<std::size_t>(state)]; }
std::string_view name_of(QueryState state) { return query_names[static_cast<std::size_t>(state)]; }

Transitions<SessionState> legal_transitions(SessionState) { return session_transitions; }
Transitions<AttemptState> legal_transitions(AttemptState) { return attempt_transitions; }
Transitions<ChannelState> legal_transitions(ChannelState) { return channel_transitions; }
Transitions<QueryState> legal_transitions(QueryState) { return query_transitions; }

void fail_transition(std::string_view machine, std::uint64_t id, std::string_view from, std::string_view to,
                     std::string_view why) {
  std::string text(machine);
  text.append(" ").append(std::to_string(id)).append(": illegal transition from ").append(from);
  text.append(" to ").append(to).append(" (").append(why).append(")");
  throw IllegalTransition(text);
}

void fail_assertion(std::string_view machine, std::uint64_t id, std::string_view what) {
  std::string text(machine);
  text.append(" ").append(std::to_string(id)).append(": ").append(what);
  throw IllegalTransition(text);
}

}  // namespace paddlestand::core
