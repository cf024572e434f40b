/// Policies for connections, listeners and requests: whether a failed system call is retried or means the end
/// of its socket or file, whether an attempt may start, whether a connection may be closed. No I/O and no
/// clock: hosts provide the facts and execute the decision. All callers share this code, so that none treats
/// a temporary failure as the end of a connection.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::core {

// ---- Failed system calls ----

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
  retry_now,  ///< interrupted, or an error that does not affect the next call
  wait_until_ready,  ///< would block
  retry_later,  ///< a temporary resource shortage on this machine, or no route
  refused,  ///< connect only: the peer refused, or is known to be unreachable; nothing was sent
  ended  ///< the socket or file is unusable from now on
};

/// Classifies an errno value that Linux documents for a system call (accept(2), connect(2), recv(2), send(2),
/// socket(2), bind(2), tcp(7), epoll_ctl(2)).
[[nodiscard]] CallVerdict verdict_of(SystemCall call, int error_number);

// ---- Attempts ----

struct DispatchFacts {
  bool client_present = false;  ///< the connection is open, and the request was not cancelled
  Duration since_client_was_read{};  ///< since its connection was last read until it would block
  Duration time_left{};  ///< until the client timeout ends
  /// The connection was read for this decision until it would block, or as far as a failing system call
  /// allowed.
  bool just_read = false;
};

enum class DispatchDecision : std::uint8_t {
  dispatch,
  read_client_first,  ///< the client may have disconnected: read its connection, then decide again
  client_disconnected,  ///< or cancelled the request
  deadline_exceeded
};

/// Whether the first byte of an attempt may be sent now.
[[nodiscard]] DispatchDecision may_dispatch(const DispatchFacts& facts);

/// How outdated the list of engines may be.
struct EndpointListFacts {
  Duration since_events_were_read{};  ///< since the discovery connection was last read until it would block
  Duration event_loop_lag{};
  bool was_resumed = false;  ///< the process was stopped and resumed since then
};

/// Whether the discovery connection must be read before an attempt is sent: an engine may have started to
/// drain while this process was stopped, and its event may be queued behind requests that arrived in the same
/// time.
[[nodiscard]] bool must_read_endpoint_events(const EndpointListFacts& facts);

/// The frame of an attempt contains its deadline: a frame that has waited longer than this is encoded again.
inline constexpr Duration longest_frame_wait = std::chrono::milliseconds(20);
/// Maximum time to complete a partially sent frame. After that the attempt is given up, because it would
/// start later than its deadline assumes.
inline constexpr Duration longest_partial_frame = std::chrono::milliseconds(100);

// ---- Client connections ----

struct CloseFacts {
  std::size_t open_requests = 0;
  std::size_t unsent_bytes = 0;
  bool input_is_read = false;  ///< all input was read; false if a read failed
  bool inside_message = false;  ///< only part of a message was received
};

enum class CloseDecision : std::uint8_t { close, has_open_requests, has_unsent_answers, has_unread_input };

/// Whether this side may close the connection of a client that committed no protocol error.
[[nodiscard]] CloseDecision may_close(const CloseFacts& facts);

// ---- Run-time check ----

/// Internal errors that must never happen, counted at run time where they would occur.
enum class Violation : std::uint8_t {
  sent_after_disconnect,
  deadline_after_client_timeout,
  closed_with_open_requests,
  second_active_attempt,  ///< an attempt was about to be sent while an engine may still run another attempt
                          ///< of the same request
  stream_id_reused,  ///< a stream was about to be opened with an id already used on its connection
  count
};

/// The violation's name in logs and reports. It is part of their format and may differ from the enumerator.
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
