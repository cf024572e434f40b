#include "run_evidence.hpp"

#include <algorithm>
#include <fstream>

#include "run_addresses.hpp"

namespace paddlestand::faults {
namespace {

void append_event_files(const std::filesystem::path& folder, std::vector<RunEvent>& events) {
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() != ".events") continue;
    for (RunEvent& event : read_events(entry.path().string())) events.push_back(std::move(event));
  }
}

/// Appends the client connections that call faults broke. Connections to engines and to discovery are
/// skipped: losing them does not lose a client's request.
void append_broken_connections(const std::string& path, std::uint32_t manager,
                               std::vector<RunEvent>& events) {
  std::ifstream file(path);
  std::string word;
  int own_port = 0;
  int peer_port = 0;
  double at = 0;
  while (file >> word >> own_port >> peer_port >> at) {
    if (own_port != manager_port) continue;
    events.push_back({.kind = EventKind::connection_broken, .subject = manager, .value = peer_port});
  }
}

bool reports_violation(const std::string& line) {
  const auto contains = [&](const char* text) { return line.find(text) != std::string::npos; };
  // A manager's own delay depends on the machine. The verdict checks timely answers from the clients' events.
  if (contains("\"event\":\"invariant_violated\"") && !contains("in_time")) return true;
  return contains("\"event\":\"violation\"") || contains("\"event\":\"assertion_failed\"");
}

}  // namespace

std::vector<RunEvent> collect_events(const std::filesystem::path& folder,
                                     const std::vector<ManagerLogs>& managers) {
  std::vector<RunEvent> events;
  append_event_files(folder, events);
  for (std::uint32_t i = 0; i < managers.size(); ++i)
    append_broken_connections(managers[i].broken_connections, i, events);
  std::stable_sort(events.begin(), events.end(),
                   [](const RunEvent& earlier, const RunEvent& later) { return earlier.at < later.at; });
  return events;
}

std::vector<std::string> collect_logged_violations(const std::vector<ManagerLogs>& managers) {
  std::vector<std::string> lines;
  for (const ManagerLogs& manager : managers) {
    std::ifstream log(manager.log);
    for (std::string line; std::getline(log, line);)
      if (reports_violation(line)) lines.push_back(line);
  }
  return lines;
}

}  // namespace paddlestand::faults
