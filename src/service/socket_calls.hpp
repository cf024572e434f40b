/// Non-blocking system calls on connected sockets and listeners. core::verdict_of classifies all errors:
/// interrupted calls are repeated here, other failures are returned as a status that tells the caller how to
/// proceed.
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

/// The result of a call, and how the caller should proceed.
enum class IoStatus : std::uint8_t {
  progress,  ///< `bytes` were transferred
  would_block,  ///< nothing was transferred: wait until the socket is ready
  retry_later,  ///< nothing was transferred, and waiting for readiness would not help: retry later
  end_of_input,  ///< receive: the peer shut down its sending side
  outdated,  ///< nothing was sent, because the process was stopped and resumed (resume_monitor.hpp)
  ended  ///< the connection is broken, with the reason in `error`
};

enum class GuardedShutdown : std::uint8_t;

/// The outcome of one call.
struct IoResult {
  IoStatus status{};
  std::size_t bytes = 0;
  boost::system::error_code error;
};

/// Reads received bytes, up to the size of `into`.
IoResult receive(int socket, std::span<char> into);
/// Like receive(), but the bytes stay in the socket's buffer.
IoResult peek(int socket, std::span<char> into);
/// Writes as many bytes as fit into the socket's buffer.
IoResult send(int socket, std::string_view bytes);
/// Like send(), for a message header.
IoResult send_message(int socket, const msghdr& message);
/// Shuts down the sending side; the peer may still write. Returns the errno of a failure, or zero.
int shut_down_sending(int socket);
/// Whether this result of shut_down_sending() means that the connection is broken.
bool is_broken_by_shutdown(int error_number);
/// The number of written bytes that have not been sent to the peer, because it does not read; zero if the
/// system doesn't report it.
std::size_t unsent_bytes(int socket);
/// Sets TCP_NODELAY, so that small writes are sent immediately. Retried a few times; a failure costs only
/// latency.
void set_no_delay(int socket);

/// The outcome of an accept().
struct Accepted {
  int socket = -1;  ///< non-blocking and close-on-exec; owned by the caller
  IoStatus status{};
  boost::system::error_code error;
};
/// Accepts one connection of a listening socket.
Accepted accept(int listener);

/// Why a connection could not be made.
struct ConnectFailure {
  /// `retry_now` and `retry_later`: a transient local error; `refused`: the peer refused the connection.
  core::CallVerdict verdict{};
  boost::system::error_code error;
};

/// A TCP socket whose system calls may fail transiently. Not thread-safe. Coroutines that wait on it must
/// keep it alive.
class StreamSocket {
 public:
  using tcp = boost::asio::ip::tcp;

  explicit StreamSocket(boost::asio::io_context& io) : socket_(io) {}
  explicit StreamSocket(tcp::socket socket);

  /// Makes one attempt to connect. A failure closes the socket, which may then be connected again.
  boost::asio::awaitable<std::optional<ConnectFailure>> connect(tcp::endpoint to);

  IoResult receive(std::span<char> into);
  IoResult peek(std::span<char> into);
  IoResult send(std::string_view bytes);
  /// Sends nothing if the process was resumed since `facts_as_of` (resume_monitor.hpp).
  IoResult send_unless_resumed(std::string_view bytes, std::uint32_t facts_as_of);
  /// Returns false if the connection is broken.
  bool shut_down_sending();
  /// Does nothing if the process was resumed since `facts_as_of` (resume_monitor.hpp).
  GuardedShutdown shut_down_unless_resumed(std::uint32_t facts_as_of);
  void close();
  /// Resets the connection: bytes that the peer has not read are discarded.
  void reset();
  [[nodiscard]] std::size_t unsent_bytes();
  [[nodiscard]] bool is_open() const { return socket_.is_open(); }
  [[nodiscard]] boost::asio::io_context& io();
  /// Whether no received bytes are pending. Returns false if the check itself fails.
  [[nodiscard]] bool is_receive_buffer_empty();

  /// Waits until the next receive() or send() may succeed, given the status of the last one. Returns soon
  /// after the socket is closed.
  boost::asio::awaitable<void> wait_to_receive(IoStatus last);
  boost::asio::awaitable<void> wait_to_send(IoStatus last);

 private:
  boost::asio::awaitable<void> wait(tcp::socket::wait_type readiness, IoStatus last);

  tcp::socket socket_;
};

/// Connects, and retries after transient local errors until shortly before `limit`, the time on the steady
/// clock at which the core attributes the failure to the peer. When `given_up` returns true the socket is
/// closed, and the returned failure is meaningless. `on_failure` is called after each failed attempt;
/// `again`: whether another attempt follows.
boost::asio::awaitable<std::optional<ConnectFailure>> connect_before(
    StreamSocket& socket, boost::asio::ip::tcp::endpoint to, TimePoint limit, std::function<bool()> given_up,
    std::function<void(const ConnectFailure&, bool again)> on_failure);

/// Waits for `time`, or less if the timer fails.
boost::asio::awaitable<void> pause_for(boost::asio::io_context& io, Duration time);

/// The pause before repeating a call that failed because of a shortage of memory, buffers or descriptors.
inline constexpr Duration shortage_pause = std::chrono::milliseconds(5);

/// Shuts down the sending side and discards input until the peer closes its side, for a bounded time and
/// number of bytes. Closing with unread input would reset the connection and discard the last output.
boost::asio::awaitable<void> linger_and_close(StreamSocket socket);

}  // namespace paddlestand::service
