/// Settings shared by the explorer's scopes and the tests of the core, which add their own classes, timers
/// and limits.
#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::explorer {

/// A query class without a deadline, which each scope or test sets itself.
inline ClassSettings model_class_settings(std::string name) {
  ClassSettings settings;
  settings.name = std::move(name);
  settings.priority_weight = 1;
  settings.late_answer_weight = 0.5;
  settings.threads = 1;
  return settings;
}

/// Settings of the decision module of a single manager that may cancel, probe and advise retries, without
/// query classes and kinds of engine.
inline Settings model_module_settings() {
  Settings settings;
  settings.instances = 1;
  settings.clock_step = std::chrono::milliseconds(5);
  settings.may_cancel = true;
  settings.may_probe = true;
  settings.may_advise_retry = true;
  settings.max_retry_after = std::chrono::milliseconds(500);
  settings.max_attempts = 3;
  settings.answer_slack = std::chrono::milliseconds(20);
  settings.slow_start_capacity_share = 0.3;
  settings.overload_multiple = 4;
  return settings;
}

}  // namespace paddlestand::explorer
