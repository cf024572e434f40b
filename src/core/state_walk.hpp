// Helps the core's records to be walked over by a StateVisitor. Their times are told relative to now, so
// that none loses a nanosecond on the way through a double.
#pragma once

#include <concepts>
#include <type_traits>

#include "types.hpp"

namespace paddlestand::core {

struct Name {
  static constexpr auto engine = StateVisitor::Name::engine;
  static constexpr auto query = StateVisitor::Name::request;
  static constexpr auto session = StateVisitor::Name::session;
  static constexpr auto channel = StateVisitor::Name::channel;
};

class StateWalk {
 public:
  StateWalk(StateVisitor& visitor, TimePoint now) : v_(visitor), now_(now) {
    double zero = 0;
    v_.clock(zero);
  }

  template <typename... T>
  void wholes(const T&... values) const {
    (whole(values), ...);
  }
  template <typename T>
  void whole(const T& value) const {
    std::uint64_t raw = 0;
    if constexpr (std::is_enum_v<T>) {
      raw = static_cast<std::uint64_t>(static_cast<std::underlying_type_t<T>>(value));
    } else {
      raw = static_cast<std::uint64_t>(value);
    }
    v_.whole(raw);
  }
  void number(double value) const { v_.number(value); }
  void since(TimePoint at) const {
    double relative = static_cast<double>((at - now_).count()) * 1e-9;
    v_.since(relative);
  }
  void until(TimePoint at) const {
    double relative = static_cast<double>((at - now_).count()) * 1e-9;
    v_.until(relative);
  }
  void counted(TimePoint at) const {
    double relative = static_cast<double>((at - now_).count()) * 1e-9;
    v_.counted(relative);
  }
  void name(StateVisitor::Name kind, std::uint64_t id) const { v_.name(kind, id); }

  template <typename Map, typename Each>
  void table(Map& all, Each each) const {
    v_.table(all.size(), false);
    for (auto& [key, one] : all) v_.entry(), each(key, one);
    v_.end();
  }
  // In no order that matters.
  template <typename List, typename Each>
  void set(List& all, Each each) const {
    v_.table(all.size(), false);
    for (auto&& one : all) v_.entry(), each(one);
    v_.end();
  }
  template <typename List, typename Each>
  void list(List& all, Each each) const {
    v_.table(all.size(), true);
    for (auto&& one : all) v_.entry(), each(one);
    v_.end();
  }

 private:
  StateVisitor& v_;
  TimePoint now_;
};

}  // namespace paddlestand::core
