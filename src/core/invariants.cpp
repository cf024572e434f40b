#include "invariants.hpp"

#include <array>

namespace paddlestand::core {
namespace {

struct Description {
  std::string_view name;
  std::string_view text;
};

/// Indexed by Invariant. The names are part of the log and history formats.
constexpr std::array<Description, static_cast<std::size_t>(Invariant::count)> descriptions{{
    {"one_answer", "An accepted query gets exactly one final answer."},
    {"in_time", "The final answer is sent before the client timeout ends."},
    {"nothing_after",
     "After its final answer, nothing more is sent for a query, neither to its client nor to an engine."},
    {"one_attempt", "A query has at most one active attempt at any time, and no more attempts than allowed."},
    {"effect_once", "A query that may have run is retried only as the idempotency of its class allows."},
    {"honest_answer",
     "An answer is accurate: `rejected` only where a retry is safe, `served` only for a complete answer."},
    {"drain",
     "No query is sent to an engine later than the drain grace after the manager was notified that the "
     "engine drains or was removed."},
    {"cold_engine", "During its slow start an engine is sent no more work than it can run without overload."},
    {"order",
     "Queries of one ordering key run one at a time, in order of arrival; after an uncertain outcome "
     "the next one starts once the settle time of the key has ended."},
    {"placement",
     "Queries of a class that is restricted to zones or kinds are sent only to engines of these."},
    {"budget", "Retries stay within the retry budget in any window."},
    {"clean_link",
     "A query is sent only on a channel that is open, carries no other query, was never used "
     "for a cancelled query, and is reusable after its previous query."},
    {"own_cancel", "A cancel affects only the query that it was issued for."},
    {"own_rows", "A client receives rows of one attempt only, and only of its own query."},
    {"whole_answer", "An answer reported as served was delivered completely."},
    {"bounds", "The numbers of channels and of buffered bytes stay within their limits."},
    {"advice", "A Retry-After never exceeds the maximum allowed."},
    {"no_contradiction",
     "The records, the state machines and the decision module never contradict each other."},
    {"all_ends",
     "Once faults cease, all work ends: no query, attempt, timer, channel or buffered byte remains."},
}};

const Description& description_of(Invariant invariant) {
  return descriptions[static_cast<std::size_t>(invariant)];
}

}  // namespace

std::string_view name_of(Invariant invariant) { return description_of(invariant).name; }
std::string_view sentence_of(Invariant invariant) { return description_of(invariant).text; }

}  // namespace paddlestand::core
