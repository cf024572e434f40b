/// What the parts of one fault run share.
#pragma once

#include <filesystem>
#include <string>

#include "action_schedule.hpp"
#include "event_log.hpp"
#include "processes.hpp"
#include "profiles.hpp"
#include "random_draws.hpp"

namespace paddlestand::faults {

/// Owned by the run, which outlives its parts. Creates the folder of the run's logs.
struct RunContext {
  explicit RunContext(const RunOptions& run_options);

  /// Path of a file in the folder of the run's logs.
  [[nodiscard]] std::string path(const std::string& file_name) const { return (folder / file_name).string(); }

  RunOptions options;
  RandomDraws random;
  Profile profile;
  std::filesystem::path folder;
  EventWriter journal;  // of what the run does to its processes
  ActionSchedule schedule;
};

}  // namespace paddlestand::faults
