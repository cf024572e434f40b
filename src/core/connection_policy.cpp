#include "connection_policy.hpp"

#include <cerrno>
#include <numeric>

namespace paddlestand::core {
namespace {

/// If a client's connection was read within this time, the client can't have disconnected earlier than that.
/// Attempts may start at most this long after a disconnect.
constexpr Duration client_read_validity = std::chrono::milliseconds(20);

/// How long the list of engines counts as current while the event loop lags. Without a lag, discovery events
/// are read as they arrive.
constexpr Duration endpoint_list_validity = std::chrono::milliseconds(20);

bool is_shortage(int error_number) {
  switch (error_number) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case ENOSPC: return true;  // ENOSPC: epoll_ctl(2), limit of watches per user
    default: return false;
  }
}

bool would_block(int error_number) { return error_number == EAGAIN || error_number == EWOULDBLOCK; }

/// accept(2) also reports errors that are pending on the new connection; these do not concern the listener.
CallVerdict verdict_of_accept(int error_number) {
  switch (error_number) {
    case EBADF:
    case EINVAL:
    case ENOTSOCK:
    case EFAULT: return CallVerdict::ended;
    default: return CallVerdict::retry_now;
  }
}

CallVerdict verdict_of_connect(int error_number) {
  switch (error_number) {
    case EAGAIN:  // no free local port, or full routing cache
    case EADDRINUSE:
    case EADDRNOTAVAIL:
    case ENETUNREACH:
    case ENETDOWN:
    case EALREADY:
    case EPERM: return CallVerdict::retry_later;
    default: return CallVerdict::refused;
  }
}

/// bind(2), listen(2): both errors are temporary. An address is in use until its previous owner exits, and
/// not available until its interface is up.
CallVerdict verdict_of_bind(int error_number) {
  const bool is_momentary = error_number == EADDRINUSE || error_number == EADDRNOTAVAIL;
  return is_momentary ? CallVerdict::retry_later : CallVerdict::ended;
}

}  // namespace

CallVerdict verdict_of(SystemCall call, int error_number) {
  if (error_number == EINTR) return CallVerdict::retry_now;
  if (is_shortage(error_number)) return CallVerdict::retry_later;
  if (call == SystemCall::connect) return verdict_of_connect(error_number);
  if (would_block(error_number)) return CallVerdict::wait_until_ready;
  switch (call) {
    case SystemCall::accept: return verdict_of_accept(error_number);
    case SystemCall::bind:
    case SystemCall::listen: return verdict_of_bind(error_number);
    case SystemCall::open_file:
    case SystemCall::read_file: return error_number == EIO ? CallVerdict::retry_later : CallVerdict::ended;
    default: return CallVerdict::ended;
  }
}

DispatchDecision may_dispatch(const DispatchFacts& facts) {
  if (!facts.client_present) return DispatchDecision::client_disconnected;
  if (facts.time_left <= Duration{0}) return DispatchDecision::deadline_exceeded;
  if (!facts.just_read && facts.since_client_was_read > client_read_validity)
    return DispatchDecision::read_client_first;
  return DispatchDecision::dispatch;
}

bool must_read_endpoint_events(const EndpointListFacts& facts) {
  if (facts.was_resumed) return true;
  return facts.event_loop_lag > endpoint_list_validity &&
         facts.since_events_were_read > endpoint_list_validity;
}

CloseDecision may_close(const CloseFacts& facts) {
  if (facts.open_requests > 0) return CloseDecision::has_open_requests;
  if (facts.unsent_bytes > 0) return CloseDecision::has_unsent_answers;
  if (facts.inside_message || !facts.input_is_read) return CloseDecision::has_unread_input;
  return CloseDecision::close;
}

std::string_view name_of(Violation violation) {
  constexpr std::array<std::string_view, static_cast<std::size_t>(Violation::count)> names{
      "begun_after_client_left", "deadline_beyond_client", "closed_with_open_requests", "second_attempt_out",
      "stream_id_used_twice"};
  return names[static_cast<std::size_t>(violation)];
}

bool ViolationCounter::add(Violation violation) {
  return ++counts_[static_cast<std::size_t>(violation)] == 1;
}

std::uint64_t ViolationCounter::count(Violation violation) const {
  return counts_[static_cast<std::size_t>(violation)];
}

std::uint64_t ViolationCounter::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

}  // namespace paddlestand::core
