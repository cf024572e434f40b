#include "socket_calls.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>

#include "resume_monitor.hpp"

namespace paddlestand::service {
namespace asio = boost::asio;
using boost::system::error_code;
using core::CallVerdict;
using core::SystemCall;
using namespace std::chrono_literals;

namespace {

constexpr int max_repeats = 64;  // of one call in a row, so that other work of the event loop can run
constexpr auto linger_time = 1s;
constexpr Duration max_connect_backoff = 40ms;
constexpr Duration connect_margin = 20ms;  // no attempt starts within this time before the limit
constexpr int max_option_attempts = 8;
constexpr Duration linger_poll_period = 20ms;
constexpr std::size_t max_lingering_bytes = std::size_t{256} * 1024;

error_code last_error() { return {errno, boost::system::system_category()}; }

IoStatus status_of(SystemCall call, int error_number) {
  switch (core::verdict_of(call, error_number)) {
    case CallVerdict::wait_until_ready: return IoStatus::would_block;
    case CallVerdict::retry_now:
    case CallVerdict::retry_later: return IoStatus::retry_later;
    case CallVerdict::refused:
    case CallVerdict::ended: break;
  }
  return IoStatus::ended;
}

/// Repeats the call while its error has the verdict retry_now, up to max_repeats times. `call` returns the
/// system call's return value.
template <typename Call>
IoResult repeat(SystemCall kind, Call call) {
  IoResult result;
  for (int repeats = 0; repeats < max_repeats; ++repeats) {
    const ssize_t returned = call();
    if (returned >= 0) return {IoStatus::progress, static_cast<std::size_t>(returned), {}};
    result = {status_of(kind, errno), 0, last_error()};
    if (core::verdict_of(kind, result.error.value()) != CallVerdict::retry_now) return result;
  }
  return result;
}

IoResult receive_with(int socket, std::span<char> into, int flags) {
  IoResult result = repeat(SystemCall::receive,
                           [&] { return ::recv(socket, into.data(), into.size(), flags | MSG_DONTWAIT); });
  if (result.status == IoStatus::progress && result.bytes == 0) result.status = IoStatus::end_of_input;
  return result;
}

}  // namespace

IoResult receive(int socket, std::span<char> into) { return receive_with(socket, into, 0); }

IoResult peek(int socket, std::span<char> into) { return receive_with(socket, into, MSG_PEEK); }

IoResult send(int socket, std::string_view bytes) {
  return repeat(SystemCall::send,
                [&] { return ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT); });
}

IoResult send_message(int socket, const msghdr& message) {
  return repeat(SystemCall::send, [&] { return ::sendmsg(socket, &message, MSG_NOSIGNAL | MSG_DONTWAIT); });
}

int shut_down_sending(int socket) {
  return repeat(SystemCall::shut_down, [&] { return ::shutdown(socket, SHUT_WR); }).error.value();
}

bool is_broken_by_shutdown(int error_number) {
  return error_number != 0 && core::verdict_of(SystemCall::shut_down, error_number) == CallVerdict::ended;
}

std::size_t unsent_bytes(int socket) {
  int bytes = 0;
  if (::ioctl(socket, SIOCOUTQNSD, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

void set_no_delay(int socket) {
  const int on = 1;
  for (int attempt = 0; attempt < max_option_attempts; ++attempt)
    if (::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)) == 0) return;
}

Accepted accept(int listener) {
  Accepted accepted;
  const IoResult result = repeat(SystemCall::accept, [&] {
    accepted.socket = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    return accepted.socket;
  });
  accepted.status = result.status;
  accepted.error = result.error;
  return accepted;
}

asio::awaitable<void> pause_for(asio::io_context& io, Duration time) {
  asio::steady_timer timer(io, time);
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

StreamSocket::StreamSocket(tcp::socket socket) : socket_(std::move(socket)) {
  set_no_delay(socket_.native_handle());
}

asio::awaitable<std::optional<ConnectFailure>> StreamSocket::connect(tcp::endpoint to) {
  close();
  error_code error;
  SystemCall call = SystemCall::open_socket;
  socket_.open(to.protocol(), error);
  if (!error) {
    call = SystemCall::connect;
    co_await socket_.async_connect(to, asio::redirect_error(asio::use_awaitable, error));
  }
  if (!error) {
    set_no_delay(socket_.native_handle());
    co_return std::nullopt;
  }
  close();
  const CallVerdict verdict = core::verdict_of(call, error.value());
  co_return ConnectFailure{verdict == CallVerdict::ended ? CallVerdict::refused : verdict, error};
}

asio::awaitable<std::optional<ConnectFailure>> connect_before(
    StreamSocket& socket, asio::ip::tcp::endpoint to, TimePoint limit, std::function<bool()> given_up,
    std::function<void(const ConnectFailure&, bool again)> on_failure) {
  for (Duration backoff = shortage_pause;; backoff = std::min(2 * backoff, max_connect_backoff)) {
    const auto failure = co_await socket.connect(to);
    if (given_up()) {
      socket.close();
      co_return failure;
    }
    if (!failure) co_return std::nullopt;
    const TimePoint next = std::chrono::steady_clock::now().time_since_epoch() + backoff;
    const bool again = failure->verdict != CallVerdict::refused && next < limit - connect_margin;
    on_failure(*failure, again);
    if (!again) co_return failure;
    co_await pause_for(socket.io(), backoff);
    if (given_up()) co_return failure;
  }
}

IoResult StreamSocket::receive(std::span<char> into) {
  return service::receive(socket_.native_handle(), into);
}
IoResult StreamSocket::peek(std::span<char> into) { return service::peek(socket_.native_handle(), into); }
IoResult StreamSocket::send(std::string_view bytes) { return service::send(socket_.native_handle(), bytes); }
IoResult StreamSocket::send_unless_resumed(std::string_view bytes, ResumeCount facts_as_of) {
  return service::send_unless_resumed(socket_.native_handle(), bytes, facts_as_of);
}
bool StreamSocket::shut_down_sending() {
  return !is_broken_by_shutdown(service::shut_down_sending(socket_.native_handle()));
}
GuardedShutdown StreamSocket::shut_down_unless_resumed(ResumeCount facts_as_of) {
  return service::shut_down_unless_resumed(socket_.native_handle(), facts_as_of);
}

asio::io_context& StreamSocket::io() {
  // The executor's context is the io_context that the socket was created with.
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-static-cast-downcast): the class is not polymorphic
  return static_cast<asio::io_context&>(socket_.get_executor().context());
}

void StreamSocket::close() {
  error_code ignored;
  socket_.close(ignored);
}

void StreamSocket::reset() {
  const linger at_once{1, 0};
  for (int attempt = 0; attempt < max_option_attempts; ++attempt)
    if (::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once)) == 0) break;
  close();
}

std::size_t StreamSocket::unsent_bytes() {
  return is_open() ? service::unsent_bytes(socket_.native_handle()) : 0;
}

bool StreamSocket::is_receive_buffer_empty() {
  char next{};
  return is_open() && peek({&next, 1}).status == IoStatus::would_block;
}

asio::awaitable<void> StreamSocket::wait_to_receive(IoStatus last) {
  return wait(tcp::socket::wait_read, last);
}
asio::awaitable<void> StreamSocket::wait_to_send(IoStatus last) {
  return wait(tcp::socket::wait_write, last);
}

asio::awaitable<void> StreamSocket::wait(tcp::socket::wait_type readiness, IoStatus last) {
  error_code error;
  if (last != IoStatus::retry_later) {
    co_await socket_.async_wait(readiness, asio::redirect_error(asio::use_awaitable, error));
  }
  // A failed wait says nothing about the state of the connection: the next call detects that.
  const bool closed = error == asio::error::operation_aborted || !socket_.is_open();
  if (last == IoStatus::retry_later || (error && !closed)) { co_await pause_for(io(), shortage_pause); }
}

asio::awaitable<void> linger_and_close(StreamSocket socket) {
  const auto end = std::chrono::steady_clock::now() + linger_time;
  std::array<char, 4096> discarded{};
  std::size_t bytes = 0;
  if (!socket.shut_down_sending()) co_return;
  while (std::chrono::steady_clock::now() < end && bytes < max_lingering_bytes) {
    const IoResult last = socket.receive(discarded);
    if (last.status == IoStatus::end_of_input || last.status == IoStatus::ended) co_return;
    bytes += last.bytes;
    if (last.status == IoStatus::progress) continue;
    co_await pause_for(socket.io(), linger_poll_period);
  }
}

}  // namespace paddlestand::service
