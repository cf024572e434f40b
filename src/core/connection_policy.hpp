/// Decides what to do with a connection, a listener or a request: whether a failed system call is retried or
/// has ended what it was called on, whether an attempt may start, whether a connection may be closed. No I/O,
/// no clock: hosts provide the facts and execute the decision. One place for all callers, or each would
/// mistake another momentary failure for the end of a connection.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::core {

// ---- Failed calls ----

enum class SystemCall : std::uint8_t {
  open_socket,
  set_option,
  bind,
  listen,
  accept,
  connect,
  receive,
  send,
  shut_down,
  wait,
  open_file,
  read_file
};

enum class CallVerdict : std::uint8_t {
  retry_now,  ///< interrupted, or the error says nothing about the next call
  wait_until_ready,  ///< would block
  retry_later,  ///< a momentary shortage of this machine, or no route
  refused,  ///< connect: the peer answered, or is known to be unreachable; nothing was sent
  ended  ///< the object that it was called on is of no further use
};

/// What an error that Linux documents for a call means for the object that it was called on (accept(2),
/// connect(2), recv(2), send(2), socket(2), bind(2), tcp(7), epoll_ctl(2)). `error_number` is an errno.
[[nodiscard]] CallVerdict verdict_of(SystemCall call, int error_number);

// ---- Attempts ----

struct DispatchFacts {
  bool client_present = false;  ///< its connection is open, and it has not cancelled the request
  Duration since_client_was_read{};  ///< since its connection was last read until it had no more
  Duration time_left{};  ///< of the client timeout
  bool just_read = false;  ///< for this decision, though perhaps not completely: it goes on sending
};

enum class DispatchDecision : std::uint8_t {
  dispatch,
  read_client_first,  ///< it may have disconnected: read its connection, then decide again
  client_gone,
  time_is_up
};

/// Whether the first byte of an attempt may be sent now.
[[nodiscard]] DispatchDecision may_dispatch(const DispatchFacts& facts);

/// How old the list of engines may be, as far as this manager can know.
struct EndpointListFacts {
  Duration since_events_were_read{};  ///< since the discovery channel was last read until it had no more
  Duration event_loop_lag{};
  bool was_resumed = false;  ///< since then the process was stopped and resumed
};

/// Whether the discovery channel must be read before an attempt is sent: an engine may have begun to drain
/// while this process did not run, and its event may wait behind the requests that arrived meanwhile.
[[nodiscard]] bool must_read_endpoint_events(const EndpointListFacts& facts);

/// An attempt's deadline is encoded in its frame: a frame that has waited longer than this is encoded anew.
inline constexpr Duration longest_frame_wait = std::chrono::milliseconds(20);
/// A frame that is sent in part and not completed within this time is given up: its attempt would start later
/// than its deadline assumes.
inline constexpr Duration longest_partial_frame = std::chrono::milliseconds(100);

// ---- Client connections ----

struct CloseFacts {
  std::size_t open_requests = 0;
  std::size_t unsent_bytes = 0;
  bool input_is_read = false;  ///< all input was read; false where a read failed
  bool inside_message = false;  ///< part of a message arrived
};

enum class CloseDecision : std::uint8_t { close, owes_answers, has_unsent_answers, has_unread_input };

/// Whether this side may close a client's connection now, where the client did nothing wrong.
[[nodiscard]] CloseDecision may_close(const CloseFacts& facts);

// ---- Run-time check ----

/// What must never happen. Counted by the code that would do it.
enum class Violation : std::uint8_t {
  begun_after_client_left,
  deadline_beyond_client,
  closed_with_open_requests,
  second_attempt_out,  ///< an attempt was to be sent while an engine may still have another one of its
                       ///< request
  stream_id_used_twice,  ///< a stream was to be opened with an id that its connection has already carried
  count
};

/// The violation's name in logs and reports.
[[nodiscard]] std::string_view name_of(Violation violation);

class ViolationCounter {
 public:
  /// Counts the violation and returns whether it is the first of its kind.
  bool add(Violation violation);
  [[nodiscard]] std::uint64_t count(Violation violation) const;
  [[nodiscard]] std::uint64_t total() const;

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(Violation::count)> counts_{};
};

}  // namespace paddlestand::core
