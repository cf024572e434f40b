// What is explored: who may ask for what, how many engines there are, how much may go wrong in one history.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.hpp"

namespace paddlestand::explorer {

// Classes of every scope, by index.
enum class Class : std::uint32_t { safe, keyed, unsafe, ordered_by_key, bound };

struct Slot {  // one request
  std::uint32_t client = 0;
  Class cls = Class::safe;
  std::uint64_t key = 0;
};

struct Scope {
  std::string name;
  std::vector<Slot> slots;  // those of one client are asked in turn
  std::uint32_t clients = 1;
  std::uint32_t engines = 2;
  std::uint32_t zones = 1;  // engines are spread over them in turn
  std::uint32_t managers = 1;
  bool endless = false;  // clients ask on and on, what follows from the number of the request
  bool pipelined = false;  // a client's next request is taken in the turn of its last answer
  std::uint32_t faults = 1;  // that a history may hold
  std::uint32_t big_parts = 1;  // of an answer
  core::CoreSettings core;
};

// The names that the command line takes.
enum class Size : std::uint8_t { tiny, small, medium, large };
std::optional<Size> size_of(std::string_view name);

// What is exhausted at this size, one after the other.
std::vector<Scope> scopes_of(Size size);
// Those in which each seeded defect is sought, the cheapest first.
std::vector<Scope> defect_scopes();
// What random walks go over: 100 clients, 10 engines, 3 managers.
Scope walk_scope();

}  // namespace paddlestand::explorer
