#include "invariants.hpp"

#include <array>

namespace paddlestand::core {
namespace {

struct Description {
  std::string_view name;
  std::string_view sentence;
};
constexpr std::array<Description, static_cast<std::size_t>(Invariant::count)> descriptions{{
    {"one_answer", "A query that was accepted gets one final answer, never two."},
    {"in_time", "The final answer comes before the client's timeout ends."},
    {"nothing_after",
     "After the final answer nothing more is sent for the query, to its client or to an engine."},
    {"one_attempt", "A query has at most one attempt out at any moment, and no more attempts than allowed."},
    {"effect_once", "What may have run is sent again only as its class allows."},
    {"honest_answer",
     "An answer is true: a rejection only where a retry is safe, `served` only for a complete answer."},
    {"drain",
     "Nothing new goes to an engine later than the grace after the manager was notified that it drains or "
     "was removed."},
    {"cold_engine", "An engine that warms up is sent no more work than it can run without overload."},
    {"order",
     "Queries of one key run one at a time, in the order of arrival, and the key settles after an outcome "
     "in doubt."},
    {"placement", "A class that is bound to zones or kinds is sent only there."},
    {"budget", "Attempts beyond each query's first stay within the budget in any window."},
    {"clean_link",
     "A channel carries a query only when it is open, free, never cancelled on, and reusable after the "
     "query before."},
    {"own_cancel", "A cancel strikes only the query that it is meant for."},
    {"own_rows", "A client gets rows of one attempt only, and only of its own query."},
    {"whole_answer", "An answer called served was delivered completely."},
    {"bounds", "Channels and buffered bytes stay within their bounds."},
    {"advice", "A Retry-After is no longer than the longest allowed."},
    {"no_contradiction", "The records, the state machines and the module never contradict each other."},
    {"all_ends", "With no more faults everything ends: no query, attempt, timer, channel or byte remains."},
}};

const Description& description_of(Invariant invariant) {
  return descriptions[static_cast<std::size_t>(invariant)];
}

}  // namespace

std::string_view name_of(Invariant invariant) { return description_of(invariant).name; }
std::string_view sentence_of(Invariant invariant) { return description_of(invariant).sentence; }

}  // namespace paddlestand::core
