/// \file
/// Collects the actions that follow from an event.
#pragma once

#include <utility>
#include <vector>

#include "decision/units.hpp"
#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// Appends actions to the caller's list, which must be set before the first action of each event.
class ActionSink {
 public:
  void write_to(std::vector<Action>& actions) { actions_ = &actions; }

  template <typename T>
  void emit(T action) {
    actions_->emplace_back(std::in_place_type<T>, std::move(action));
  }

  /// Requests a TimerFired event after `after` seconds.
  void set_timer(double after) { emit(SetTimer{0, to_duration(after)}); }

 private:
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace paddlestand::decision
