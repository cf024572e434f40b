/// \file
/// Helpers for the visit functions of the module's state.
#pragma once

#include <cstdint>
#include <utility>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// Visits floating-point fields in the order given.
void visit_numbers(StateVisitor& visitor, auto&... values) { (visitor.number(values), ...); }

/// Visits one integer, boolean or enumeration.
template <typename T>
void visit_integer(StateVisitor& visitor, T& value) {
  auto raw = static_cast<std::uint64_t>(value);
  visitor.integer(raw);
  if (visitor.reads()) value = static_cast<T>(raw);
}

/// Visits integers, booleans and enumerations in the order given.
void visit_integers(StateVisitor& visitor, auto&... values) { (visit_integer(visitor, values), ...); }

/// Visits an identifier, which the visitor may replace.
template <typename T>
void visit_id(StateVisitor& visitor, StateVisitor::Name kind, T& id) {
  std::uint64_t raw = id;
  visitor.name(kind, raw);
  if (visitor.reads()) id = static_cast<T>(raw);
}

/// Visits a sequence whose order matters; `visit_element` takes an element by reference.
template <typename Sequence, typename VisitElement>
void visit_sequence(StateVisitor& visitor, Sequence& sequence, VisitElement visit_element) {
  const std::size_t count = visitor.table(sequence.size(), true);
  if (visitor.reads()) sequence.resize(count);
  for (auto& element : sequence) {
    visitor.entry();
    visit_element(element);
  }
  visitor.end();
}

/// Visits a map; `visit_entry` takes a reference to a copy of the key and a reference to the value.
template <typename Map, typename VisitEntry>
void visit_map(StateVisitor& visitor, Map& map, VisitEntry visit_entry) {
  const std::size_t count = visitor.table(map.size(), false);
  if (visitor.reads()) {
    map.clear();
    for (std::size_t i = 0; i < count; ++i) {
      typename Map::key_type key{};
      typename Map::mapped_type value{};
      visitor.entry();
      visit_entry(key, value);
      map.emplace(key, std::move(value));
    }
  } else {
    for (auto& [map_key, value] : map) {
      typename Map::key_type key = map_key;
      visitor.entry();
      visit_entry(key, value);
    }
  }
  visitor.end();
}

}  // namespace paddlestand::decision
