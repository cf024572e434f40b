// What the processes of a fault run write down, one event a line, on one clock for all of them; and how the
// verdict reads it back.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

namespace paddlestand::faults {

/// Nanoseconds on CLOCK_MONOTONIC, which all processes of a machine share and nothing steps.
std::int64_t monotonic_now();

enum class EventKind : std::uint8_t {
  asked,  // by a client: the request is written whole
  answered,  // to a client; `detail`: served, wrong, refused or failed
  cancelled,  // by a client: its forget is written whole
  left,  // by a client: it closed its connection with the request open
  ended,  // by the manager's end of the connection, with the request open; `detail`: shutdown or reset
  unanswered,  // long after the client's client timeout
  begun,  // at an engine: the request came whole
  rejected,  // by an engine, before it ran
  attempt_ended,  // at an engine; `detail`: answered, cancelled or closed
  crashed,  // a manager was killed without notice
  killed,  // a manager was killed as announced by SIGTERM
  engine_killed,  // an engine's process ended, and all that it had out
  deaf,  // an engine reads nothing from here on, for some time
  draining,  // an engine was told to drain, or is gone
  exited,  // a manager ended by itself; `value`: its exit code, or minus the signal
  not_ready,  // a manager took too long to be ready
  broken  // a manager's client connection was broken by a fault; `value`: the client's port
};

struct RunEvent {
  EventKind kind{};
  std::int64_t at{};  // ns
  std::uint64_t trace{};  // of a request; zero: none
  std::uint32_t subject{};  // manager or engine
  std::int64_t value{};  // asked: client timeout, ms; begun: the time that the engine was given, ms
  std::int64_t began{};  // asked: just before the first byte was written; left, ended: when it was asked
  std::uint32_t port{};  // the client's, on the connection; begun, attempt_ended: the engine's connection
  bool first = false;  // asked: one of the first requests on its connection
  std::string detail;  // asked, begun: the class
};

class EventWriter {
 public:
  explicit EventWriter(const std::string& path);
  ~EventWriter();
  EventWriter(const EventWriter&) = delete;
  EventWriter& operator=(const EventWriter&) = delete;
  void write(const RunEvent& event);

 private:
  std::FILE* file_;
};

/// All events of a file; a line that was cut off by a kill is passed over.
std::vector<RunEvent> read_events(const std::string& path);

}  // namespace paddlestand::faults
