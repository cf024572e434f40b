/// Non-blocking system calls on connected sockets and listeners. core::verdict_of alone decides what an error
/// means: interrupted calls are repeated here, other failures are returned as what the caller can do about
/// them.
#pragma once

#include <sys/socket.h>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <span>
#include <string_view>

#include "core/connection_policy.hpp"

namespace paddlestand::service {

/// What the caller can do after a call.
enum class IoStatus : std::uint8_t {
  progress,  ///< `bytes` were transferred
  would_block,  ///< nothing now: wait until the socket is ready
  retry_later,  ///< nothing now, and waiting for readiness would not help: wait for a moment
  end_of_input,  ///< receive: the peer shut its side down
  outdated,  ///< nothing was sent: the process was resumed since the bytes were made (resume_monitor.hpp)
  ended  ///< the connection is broken; `error` says how
};

enum class GuardedShutdown : std::uint8_t;

/// The outcome of one call.
struct IoResult {
  IoStatus status{};
  std::size_t bytes = 0;
  boost::system::error_code error;
};

/// Reads the bytes that have arrived, as far as they fit.
IoResult receive(int socket, std::span<char> into);
/// As receive(), but the bytes stay in the socket's buffer.
IoResult peek(int socket, std::span<char> into);
/// Writes what fits into the socket's buffer.
IoResult send(int socket, std::string_view bytes);
/// As send(), for a message that is described in memory.
IoResult send_message(int socket, const msghdr& message);
/// Shuts down the sending side; the peer may still write. Returns the errno of a failure, or zero.
int shut_down_sending(int socket);
/// Whether this result of shut_down_sending() says that the connection is broken.
bool is_broken_by_shutdown(int error_number);
/// The bytes written that have not left this machine, since the peer does not read; zero where the system
/// can't tell.
std::size_t unsent_bytes(int socket);
/// Sets TCP_NODELAY: small writes are sent at once. Retried a few times; a failure costs only latency.
void set_no_delay(int socket);

/// The outcome of an accept().
struct Accepted {
  int socket = -1;  ///< non-blocking, closed on exec; the caller's
  IoStatus status{};
  boost::system::error_code error;
};
/// Accepts one connection of a listening socket.
Accepted accept(int listener);

/// Why a connection could not be made.
struct ConnectFailure {
  core::CallVerdict verdict{};  ///< retry_now, retry_later: a transient fault here; refused: by the peer
  boost::system::error_code error;
};

/// A connected TCP socket whose system calls may fail for a moment. Not thread-safe; the coroutines that wait
/// on it must keep it alive.
class StreamSocket {
 public:
  using tcp = boost::asio::ip::tcp;

  explicit StreamSocket(boost::asio::io_context& io) : socket_(io) {}
  explicit StreamSocket(tcp::socket socket);

  /// Makes one attempt to connect. On a failure the socket is closed, and may be connected again.
  boost::asio::awaitable<std::optional<ConnectFailure>> connect(tcp::endpoint to);

  IoResult receive(std::span<char> into);
  IoResult peek(std::span<char> into);
  IoResult send(std::string_view bytes);
  /// Sends nothing where the process was resumed since `facts_as_of` (resume_monitor.hpp).
  IoResult send_unless_resumed(std::string_view bytes, std::uint32_t facts_as_of);
  /// False where the connection is broken.
  bool shut_down_sending();
  /// Does nothing where the process was resumed since `facts_as_of` (resume_monitor.hpp).
  GuardedShutdown shut_down_unless_resumed(std::uint32_t facts_as_of);
  void close();
  /// Resets the connection: bytes that the peer has not read are dropped.
  void reset();
  [[nodiscard]] std::size_t unsent_bytes();
  [[nodiscard]] bool is_open() const { return socket_.is_open(); }
  [[nodiscard]] boost::asio::io_context& io();
  /// Whether certainly no bytes wait to be read: false where the check itself fails.
  [[nodiscard]] bool surely_empty();

  /// Waits until another receive() or send() may succeed, after one with this status. Returns soon after a
  /// close.
  boost::asio::awaitable<void> wait_to_receive(IoStatus last);
  boost::asio::awaitable<void> wait_to_send(IoStatus last);

 private:
  boost::asio::awaitable<void> wait(tcp::socket::wait_type readiness, IoStatus last);

  tcp::socket socket_;
};

/// Connects, and retries after a transient fault of this machine until shortly before `limit`, a time of the
/// steady clock at which the core blames the peer. `given_up` ends it early: the socket is closed then, and
/// the failure returned means nothing. `on_failure` is called after each failed attempt, with whether another
/// follows.
boost::asio::awaitable<std::optional<ConnectFailure>> connect_before(
    StreamSocket& socket, boost::asio::ip::tcp::endpoint to, TimePoint limit, std::function<bool()> given_up,
    std::function<void(const ConnectFailure&, bool again)> on_failure);

/// Waits for `time`; an error of the timer shortens it.
boost::asio::awaitable<void> pause_for(boost::asio::io_context& io, Duration time);

/// The pause before a call is repeated that failed for want of memory, buffers or descriptors.
inline constexpr Duration shortage_pause = std::chrono::milliseconds(5);

/// Shuts down the sending side and discards input until the peer closes its own, for a bounded time and a
/// bounded number of bytes: a close over unread bytes would reset the connection and drop what was written
/// last.
boost::asio::awaitable<void> linger_and_close(StreamSocket socket);

}  // namespace paddlestand::service
