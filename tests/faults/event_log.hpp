/// What the processes of a fault run write down, one event a line, on one clock for all of them; and how it
/// is read back for the verdict.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

namespace paddlestand::faults {

/// Written as a number: the order is the file's format.
enum class EventKind : std::uint8_t {
  request_sent,  // by a client: the request is written completely
  answered,  // to a client; `detail`: see answer_detail
  cancelled,  // by a client: its cancel is written completely
  disconnected,  // by a client: it closed its connection while the request was open
  connection_ended,  // by the manager, while the request was open; `detail`: see end_detail
  unanswered,  // long after the client's timeout
  attempt_started,  // at an engine: the request was received completely
  attempt_rejected,  // by an engine, before it ran
  attempt_ended,  // at an engine; `detail`: see attempt_detail
  manager_crashed,  // killed without notice
  manager_killed,  // as announced by SIGTERM
  engine_killed,  // an engine's process ended, and all of its active attempts with it
  engine_stopped_reading,  // from here on, for some time
  engine_draining,  // discovery publishes from here on that the engine drains
  manager_exited,  // by itself; `value`: its exit code, or minus the signal
  manager_not_ready,  // for too long after its start
  connection_broken  // of a client, by a call fault; `value`: the client's port
};

/// Values of RunEvent::detail: how a request was answered.
namespace answer_detail {
constexpr const char* served = "served";
constexpr const char* wrong = "wrong";  // a result that no engine made for this request
constexpr const char* rejected = "refused";
constexpr const char* failed = "failed";
constexpr const char* unknown_request = "unasked";  // no request of this number is open
}  // namespace answer_detail

/// Values of RunEvent::detail: how a connection ended.
namespace end_detail {
constexpr const char* shutdown = "shutdown";
constexpr const char* reset = "reset";
}  // namespace end_detail

/// Values of RunEvent::detail: how an attempt ended, by its engine's account.
namespace attempt_detail {
constexpr const char* answered = "answered";
constexpr const char* cancelled = "cancelled";
constexpr const char* closed = "closed";  // the end of its connection
}  // namespace attempt_detail

/// One event. Which members are used depends on the kind.
struct RunEvent {
  EventKind kind{};
  std::int64_t at{};  // ns, on the monotonic clock
  std::uint64_t trace{};  // the request's trace id; zero: none
  std::uint32_t subject{};  // manager or engine
  std::int64_t
      value{};  // request_sent: client timeout, ms; attempt_started: the time the engine was granted, ms
  std::int64_t
      began{};  // ns; request_sent: just before the first byte; what ends a request: when it was sent
  std::uint32_t
      port{};  // the client's, on the connection; of attempts: the number of the engine's connection
  bool first = false;  // request_sent: one of the first requests on its connection
  std::string detail{};  // of attempts and request_sent also: the request class
};

/// Appends events to a file, each written out at once.
class EventWriter {
 public:
  /// Throws std::runtime_error where the file can't be written.
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
