/// Passes the core's records to a StateVisitor. Times are passed relative to now, so that the conversion to
/// double loses no nanosecond.
#pragma once

#include <type_traits>

#include "types.hpp"

namespace paddlestand::core {

/// The kinds of ids, in the core's terms.
struct Name {
  static constexpr auto engine = StateVisitor::Name::engine;
  static constexpr auto query = StateVisitor::Name::request;
  static constexpr auto session = StateVisitor::Name::session;
  static constexpr auto channel = StateVisitor::Name::channel;
};

/// Passes values to a visitor, which must outlive it. The functions have the meaning of those of
/// StateVisitor.
class StateWalk {
 public:
  StateWalk(StateVisitor& visitor, TimePoint now) : visitor_(visitor), now_(now) {
    double zero = 0;
    visitor_.clock(zero);
  }

  /// Integers, booleans and enums.
  template <typename... T>
  void integers(const T&... values) const {
    (integer(values), ...);
  }
  template <typename T>
  void integer(const T& value) const {
    std::uint64_t raw = 0;
    if constexpr (std::is_enum_v<T>) {
      raw = static_cast<std::uint64_t>(static_cast<std::underlying_type_t<T>>(value));
    } else {
      raw = static_cast<std::uint64_t>(value);
    }
    visitor_.integer(raw);
  }
  void number(double value) const { visitor_.number(value); }
  void since(TimePoint at) const {
    double relative = seconds_from_now(at);
    visitor_.since(relative);
  }
  void until(TimePoint at) const {
    double relative = seconds_from_now(at);
    visitor_.until(relative);
  }
  void counted(TimePoint at) const {
    double relative = seconds_from_now(at);
    visitor_.counted(relative);
  }
  void name(StateVisitor::Name kind, std::uint64_t id) const { visitor_.name(kind, id); }

  /// Calls `visit(key, value)` for each entry of a map; their order does not matter.
  template <typename Map, typename Visit>
  void table(Map& entries, Visit visit) const {
    visitor_.table(entries.size(), false);
    for (auto& [key, value] : entries) {
      visitor_.entry();
      visit(key, value);
    }
    visitor_.end();
  }
  /// Calls `visit(value)` for each value; their order does not matter.
  template <typename List, typename Visit>
  void set(List& values, Visit visit) const {
    list_as(values, visit, false);
  }
  /// Calls `visit(value)` for each value; their order matters.
  template <typename List, typename Visit>
  void list(List& values, Visit visit) const {
    list_as(values, visit, true);
  }

 private:
  template <typename List, typename Visit>
  void list_as(List& values, Visit& visit, bool in_order) const {
    visitor_.table(values.size(), in_order);
    for (auto&& value : values) {
      visitor_.entry();
      visit(value);
    }
    visitor_.end();
  }
  [[nodiscard]] double seconds_from_now(TimePoint at) const {
    return static_cast<double>((at - now_).count()) * 1e-9;
  }

  StateVisitor& visitor_;
  TimePoint now_;
};

}  // namespace paddlestand::core
