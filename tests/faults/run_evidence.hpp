/// What the processes of a fault run wrote down, collected for the verdict.
#pragma once

#include <filesystem>
#include <vector>

#include "event_log.hpp"
#include "manager_processes.hpp"

namespace paddlestand::faults {

/// All events of the run's processes in `folder`, and of the connections that call faults broke, by time.
std::vector<RunEvent> collect_events(const std::filesystem::path& folder,
                                     const std::vector<ManagerLogs>& managers);

/// The log lines of violations that the managers found in themselves by their run-time checks.
std::vector<std::string> collect_logged_violations(const std::vector<ManagerLogs>& managers);

}  // namespace paddlestand::faults
