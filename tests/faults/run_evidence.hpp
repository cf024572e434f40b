/// Collects the events and logs of the processes of a fault run for the verdict.
#pragma once

#include <filesystem>
#include <vector>

#include "event_log.hpp"
#include "manager_processes.hpp"

namespace paddlestand::faults {

/// All events in the log folder and all connections broken by call faults, sorted by time.
std::vector<RunEvent> collect_events(const std::filesystem::path& folder,
                                     const std::vector<ManagerLogs>& managers);

/// The log lines with which the managers' run-time checks report violations.
std::vector<std::string> collect_logged_violations(const std::vector<ManagerLogs>& managers);

}  // namespace paddlestand::faults
