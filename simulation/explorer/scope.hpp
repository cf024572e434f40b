/// Scopes of exploration: the queries that clients submit, the number of engines, and how many faults a
/// history may contain.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.hpp"

namespace paddlestand::explorer {

/// The query classes of every scope; the value is the class's index in the decision module's settings.
enum class QueryClass : std::uint32_t { safe, keyed, unsafe, ordered_by_key, bound };
inline constexpr std::size_t query_class_count = 5;

/// A query that a client will submit.
struct PlannedQuery {
  std::uint32_t client = 0;
  QueryClass query_class = QueryClass::safe;
  std::uint64_t key = 0;  ///< idempotency key or ordering key; zero: none
};

inline constexpr std::uint32_t unlimited_faults = ~0U;

struct Scope {
  std::string name;  ///< used in history files and on the command line
  std::vector<PlannedQuery> queries;  ///< each client submits its own in this order
  std::uint32_t clients = 1;
  std::uint32_t engines = 2;
  std::uint32_t zones = 1;  ///< engines are assigned to them round-robin
  std::uint32_t managers = 1;
  bool endless = false;  ///< clients submit without end; each query is derived from its number
  bool pipelined = false;  ///< a client's next query arrives while its previous answer is written
  std::uint32_t faults = 1;  ///< limit for one history
  std::uint32_t max_large_parts = 1;  ///< of one answer
  core::CoreSettings core;
};

/// The sizes of exploration, as named on the command line.
enum class ScopeSize : std::uint8_t { tiny, small, medium, large };
[[nodiscard]] std::optional<ScopeSize> parse_size(std::string_view name);

/// The scopes that are searched at this size, in order.
[[nodiscard]] std::vector<Scope> scopes_of(ScopeSize size);
/// The scopes in which each seeded defect is searched for, cheapest first.
[[nodiscard]] std::vector<Scope> defect_scopes();
/// The scope of random walks: 100 clients, 10 engines, 3 managers.
[[nodiscard]] Scope walk_scope();

}  // namespace paddlestand::explorer
