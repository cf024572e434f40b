/// What may be done with a connection, a listener or a request now, decided in one place: whether a failed
/// system call is to be repeated or has ended something, whether an attempt may begin, whether a connection
/// may be closed. No I/O, no clock: hosts bring the facts and carry the decision out.
///
/// Incident 28 (docs/incidents/028-momentary-call-failures.md): a call that failed for a moment was taken for
/// the end of what it was called on, by each caller for itself.
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
  retry_now,  ///< interrupted, or it says nothing about the next call
  wait_until_ready,  ///< would block
  retry_later,  ///< this machine is short of something, or has no route, for a moment
  refused,  ///< connect: the peer was reached, or is known not to be; nothing was handed over
  ended  ///< the object it was called on is of no further use
};

/// What the errors that Linux documents for a call mean for what it was called on (accept(2), connect(2),
/// recv(2), send(2), socket(2), bind(2), tcp(7), epoll_ctl(2)). `error_number` is an errno.
CallVerdict verdict_of(SystemCall call, int error_number);

// ---- Attempts ----

struct DispatchFacts {
  bool client_present = false;  ///< its connection is open, and it took the request back in no way known here
  Duration since_client_was_read{};  ///< since its connection was last read until nothing was left
  Duration time_left{};  ///< of its client timeout
  bool just_read = false;  ///< for this decision, though perhaps not to its end: it goes on sending
};

enum class DispatchDecision : std::uint8_t {
  dispatch,
  read_client_first,  ///< it may have gone meanwhile: read its connection, then ask again
  client_gone,
  time_is_up
};

/// May the first byte of an attempt leave now?
DispatchDecision may_dispatch(const DispatchFacts& facts);

/// An engine's deadline is made when its frame is made; a frame that has waited for longer is made anew.
inline constexpr Duration longest_frame_wait = std::chrono::milliseconds(20);
/// A frame of which part went out and the rest does not follow would begin later than it says: it must not.
inline constexpr Duration longest_partial_frame = std::chrono::milliseconds(100);

// ---- Client connections ----

struct CloseFacts {
  std::size_t open_requests = 0;
  std::size_t unsent_bytes = 0;
  bool input_is_read = false;  ///< nothing is known to be unread; a look that failed is no such knowledge
  bool inside_message = false;  ///< part of a message is here
};

enum class CloseDecision : std::uint8_t { close, owes_answers, has_unsent_answers, has_unread_input };

/// May this side end a client's connection now, where the client did nothing wrong?
CloseDecision may_close(const CloseFacts& facts);

// ---- Run-time check ----

/// What must never happen, counted where it would, by whoever does it.
enum class Violation : std::uint8_t {
  begun_after_client_left,
  deadline_beyond_client,
  closed_with_open_requests,
  second_attempt_out,  ///< an attempt was to go out while the engine may have another one of its request
  stream_id_used_twice,  ///< a stream was to be opened under an id that its connection has carried
  count
};

std::string_view name_of(Violation violation);

class ViolationCounter {
 public:
  /// Counts, and says whether it is the first of its kind.
  bool add(Violation violation);
  [[nodiscard]] std::uint64_t count(Violation violation) const;
  [[nodiscard]] std::uint64_t total() const;

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(Violation::count)> counts_{};
};

}  // namespace paddlestand::core
