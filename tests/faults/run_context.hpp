/// State that the parts of a fault run share.
#pragma once

#include <filesystem>
#include <string>

#include "action_schedule.hpp"
#include "event_log.hpp"
#include "processes.hpp"
#include "profiles.hpp"
#include "random_draws.hpp"

namespace paddlestand::faults {

/// Owned by the run, which outlives its parts. The constructor creates the log folder.
struct RunContext {
  explicit RunContext(const RunOptions& run_options);

  /// Path of a file in the log folder.
  [[nodiscard]] std::string path(const std::string& file_name) const { return (folder / file_name).string(); }

  RunOptions options;
  RandomDraws random;
  Profile profile;
  std::filesystem::path folder;
  EventWriter event_log;  // events that the run itself causes or observes
  ActionSchedule schedule;
};

}  // namespace paddlestand::faults
