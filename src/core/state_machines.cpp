#include "states.hpp"

namespace paddlestand::core {
namespace {

constexpr std::array session_moves{
    std::pair{SessionState::idle, SessionState::asking},
    std::pair{SessionState::asking, SessionState::idle},
    std::pair{SessionState::idle, SessionState::closed},
    std::pair{SessionState::asking, SessionState::closed},
};

constexpr std::array attempt_moves{
    std::pair{AttemptState::connecting, AttemptState::sending},
    std::pair{AttemptState::connecting, AttemptState::over},
    std::pair{AttemptState::sending, AttemptState::running},
    std::pair{AttemptState::sending, AttemptState::over},
    std::pair{AttemptState::running, AttemptState::answering},
    std::pair{AttemptState::running, AttemptState::cancelling},
    std::pair{AttemptState::running, AttemptState::over},
    std::pair{AttemptState::answering, AttemptState::cancelling},
    std::pair{AttemptState::answering, AttemptState::over},
    std::pair{AttemptState::cancelling, AttemptState::over},
};

constexpr std::array link_moves{
    std::pair{LinkState::opening, LinkState::idle}, std::pair{LinkState::opening, LinkState::closed},
    std::pair{LinkState::idle, LinkState::sending}, std::pair{LinkState::idle, LinkState::closed},
    std::pair{LinkState::sending, LinkState::busy}, std::pair{LinkState::sending, LinkState::closed},
    std::pair{LinkState::busy, LinkState::idle},    std::pair{LinkState::busy, LinkState::cancelling},
    std::pair{LinkState::busy, LinkState::closed},  std::pair{LinkState::cancelling, LinkState::closed},
};

constexpr std::array query_moves{
    std::pair{QueryState::open, QueryState::streaming},
    std::pair{QueryState::open, QueryState::over},
    std::pair{QueryState::streaming, QueryState::over},
};

constexpr std::array<std::string_view, 3> session_names{"idle", "asking", "closed"};
constexpr std::array<std::string_view, 6> attempt_names{"connecting", "sending",    "running",
                                                        "answering",  "cancelling", "over"};
constexpr std::array<std::string_view, 6> link_names{"opening", "idle",       "sending",
                                                     "busy",    "cancelling", "closed"};
constexpr std::array<std::string_view, 3> query_names{"open", "streaming", "over"};

}  // namespace

std::string_view name_of(SessionState state) { return session_names[static_cast<std::size_t>(state)]; }
std::string_view name_of(AttemptState state) { return attempt_names[static_cast<std::size_t>(state)]; }
std::string_view name_of(LinkState state) { return link_names[static_cast<std::size_t>(state)]; }
std::string_view name_of(QueryState state) { return query_names[static_cast<std::size_t>(state)]; }

Transitions<SessionState> legal_transitions(SessionState) { return session_moves; }
Transitions<AttemptState> legal_transitions(AttemptState) { return attempt_moves; }
Transitions<LinkState> legal_transitions(LinkState) { return link_moves; }
Transitions<QueryState> legal_transitions(QueryState) { return query_moves; }

void fail_transition(std::string_view machine, std::uint64_t id, std::string_view from, std::string_view to,
                     std::string_view why) {
  std::string text(machine);
  text.append(" ").append(std::to_string(id)).append(": no way from ").append(from);
  text.append(" to ").append(to).append(" (").append(why).append(")");
  throw IllegalTransition(text);
}

void fail_assertion(std::string_view machine, std::uint64_t id, std::string_view what) {
  std::string text(machine);
  text.append(" ").append(std::to_string(id)).append(": ").append(what);
  throw IllegalTransition(text);
}

}  // namespace paddlestand::core
