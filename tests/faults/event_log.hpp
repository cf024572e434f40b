/// The event log that each process of a fault run writes, one event per line, with times of the monotonic
/// clock that all processes share. The verdict is based on these events.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

namespace paddlestand::faults {

/// Stored as a number: the order of the enumerators is part of the file format.
enum class EventKind : std::uint8_t {
  request_sent,  // by a client, once the request has been written completely
  answered,  // to a client; `detail`: see answer_detail
  cancelled,  // by a client, once the cancel has been written completely
  disconnected,  // by a client that closed its connection while the request was open
  connection_ended,  // by the manager, while the request was open; `detail`: see end_detail
  unanswered,  // no answer by the client timeout plus a slack
  attempt_started,  // at an engine, once the request has been received completely
  attempt_rejected,  // by an engine, before the attempt ran
  attempt_ended,  // at an engine; `detail`: see attempt_detail
  manager_crashed,  // killed without notice
  manager_killed,  // by SIGKILL after SIGTERM and a delay
  engine_killed,  // the engine's process was killed, which ends all of its active attempts
  engine_stopped_reading,  // begins a period in which the engine reads nothing
  engine_draining,  // discovery has published that the engine is draining
  manager_exited,  // unexpectedly; `value`: its exit code, or the negative signal number
  manager_not_ready,  // within the time limit after its start
  connection_broken  // a client connection, by a call fault; `value`: the client's port
};

/// Values of RunEvent::detail: how a request was answered.
namespace answer_detail {
constexpr const char* served = "served";
constexpr const char* wrong = "wrong";  // a result that does not match the request
constexpr const char* rejected = "refused";
constexpr const char* failed = "failed";
constexpr const char* unknown_request = "unasked";  // no request with this id is open
}  // namespace answer_detail

/// Values of RunEvent::detail: how a connection ended.
namespace end_detail {
constexpr const char* shutdown = "shutdown";
constexpr const char* reset = "reset";
}  // namespace end_detail

/// Values of RunEvent::detail: how an attempt ended, as its engine saw it.
namespace attempt_detail {
constexpr const char* answered = "answered";
constexpr const char* cancelled = "cancelled";
constexpr const char* closed = "closed";  // its connection ended
}  // namespace attempt_detail

/// One event. The kind determines which members are used.
struct RunEvent {
  EventKind kind{};
  std::int64_t at{};  // ns, on the monotonic clock
  std::uint64_t trace{};  // trace id of the request; zero if there is none
  std::uint32_t subject{};  // number of the manager or engine
  std::int64_t
      value{};  // request_sent: client timeout, ms; attempt_started: the time the engine was granted, ms
  std::int64_t began{};  // ns; request_sent: just before the first byte; end of a request: when it was sent
  std::uint32_t port{};  // the client's port; attempts: number of the connection to the engine
  bool first = false;  // request_sent: one of the first requests on its connection
  std::string detail{};  // attempt_started and request_sent: the request class
};

/// Appends events to a file and flushes after each.
class EventWriter {
 public:
  /// Throws std::runtime_error if the file cannot be opened.
  explicit EventWriter(const std::string& path);
  ~EventWriter();
  EventWriter(const EventWriter&) = delete;
  EventWriter& operator=(const EventWriter&) = delete;
  void write(const RunEvent& event);

 private:
  std::FILE* file_;
};

/// Reads all events of a file. Skips a line that is incomplete because its writer was killed.
std::vector<RunEvent> read_events(const std::string& path);

}  // namespace paddlestand::faults
