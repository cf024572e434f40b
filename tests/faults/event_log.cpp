#include "event_log.hpp"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace paddlestand::faults {

EventWriter::EventWriter(const std::string& path) : file_(std::fopen(path.c_str(), "a")) {
  if (file_ == nullptr) throw std::runtime_error(path + ": cannot be opened for writing");
}

EventWriter::~EventWriter() { std::fclose(file_); }

void EventWriter::write(const RunEvent& event) {
  std::fprintf(file_, "%d %lld %llx %u %lld %lld %u %d %s .\n", static_cast<int>(event.kind),
               static_cast<long long>(event.at), static_cast<unsigned long long>(event.trace), event.subject,
               static_cast<long long>(event.value), static_cast<long long>(event.began), event.port,
               event.first ? 1 : 0, event.detail.empty() ? "-" : event.detail.c_str());
  std::fflush(file_);
}

std::vector<RunEvent> read_events(const std::string& path) {
  std::vector<RunEvent> events;
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    RunEvent event;
    int kind = 0;
    int first = 0;
    std::string end;
    fields >> kind >> event.at >> std::hex >> event.trace >> std::dec >> event.subject >> event.value >>
        event.began >> event.port >> first >> event.detail >> end;
    if (!fields || end != ".") continue;
    event.kind = static_cast<EventKind>(kind);
    event.first = first != 0;
    events.push_back(event);
  }
  return events;
}

}  // namespace paddlestand::faults
