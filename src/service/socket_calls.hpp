/// Calls on connected sockets and listeners, never blocking, their errors read by core::verdict_of alone. An
/// interrupted call is made again here; what else fails is told to the caller by what it means.
#pragma once

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

enum class IoStatus : std::uint8_t {
  progress,  ///< `bytes` were transferred
  would_block,  ///< nothing now: wait until the socket is ready
  retry_later,  ///< nothing now, and waiting for readiness would not help: wait for a moment
  end_of_input,  ///< receive: the peer shut its side down
  ended  ///< the connection is broken; `error` says how
};

struct IoResult {
  IoStatus status{};
  std::size_t bytes = 0;
  boost::system::error_code error;
};

/// Reads what is here, as far as it fits.
IoResult receive(int socket, std::span<char> into);
/// As receive(), and leaves it there.
IoResult peek(int socket, std::span<char> into);
/// Writes what fits into the socket's buffer.
IoResult send(int socket, std::string_view bytes);
/// Ends this side of the connection; the other one may still write. False where the connection is gone.
bool shut_down_sending(int socket);
/// How much of what was written has not left this machine, since the peer does not read; zero where the
/// system can't tell.
std::size_t unsent_bytes(int socket);
/// Small writes leave at once. What fails for a moment is tried a few times; its loss costs only delay.
void set_no_delay(int socket);

struct Accepted {
  int socket = -1;  ///< non-blocking, closed on exec; the caller's
  IoStatus status{};
  boost::system::error_code error;
};
Accepted accept(int listener);

/// Why a connection did not come about; or nothing.
struct ConnectFailure {
  core::CallVerdict verdict{};  ///< retry_now and retry_later: this machine's trouble; refused: the peer's
  boost::system::error_code error;
};

/// A connected TCP socket whose calls may fail for a moment. Not thread-safe; the coroutines that wait on it
/// must keep it alive.
class StreamSocket {
 public:
  using tcp = boost::asio::ip::tcp;

  explicit StreamSocket(boost::asio::io_context& io) : socket_(io) {}
  explicit StreamSocket(tcp::socket socket);

  /// Connects, once. On a failure the socket is closed, and may be connected again.
  boost::asio::awaitable<std::optional<ConnectFailure>> connect(tcp::endpoint to);

  IoResult receive(std::span<char> into);
  IoResult peek(std::span<char> into);
  IoResult send(std::string_view bytes);
  bool shut_down_sending();
  void close();
  /// Ends the connection without waiting behind bytes that the peer does not read: they are dropped.
  void reset();
  [[nodiscard]] std::size_t unsent_bytes();
  [[nodiscard]] bool is_open() const { return socket_.is_open(); }
  [[nodiscard]] boost::asio::io_context& io();
  /// Whether nothing is here to be read; a look that failed is no such knowledge.
  [[nodiscard]] bool surely_empty();

  /// Waits until another receive() or send() is worthwhile, after one with this status. Returns soon after a
  /// close.
  boost::asio::awaitable<void> wait_to_receive(IoStatus last);
  boost::asio::awaitable<void> wait_to_send(IoStatus last);

 private:
  boost::asio::awaitable<void> wait(tcp::socket::wait_type what, IoStatus last);

  tcp::socket socket_;
};

/// Connects, again after what fails on this machine for a moment, until shortly before `limit`, a reading of
/// the steady clock at which the core gives the peer the blame. `given_up` ends it early: the socket is
/// closed then, and the failure means nothing. `on_failure` hears of each, and whether it is tried again.
boost::asio::awaitable<std::optional<ConnectFailure>> connect_before(
    StreamSocket& socket, boost::asio::ip::tcp::endpoint to, TimePoint limit, std::function<bool()> given_up,
    std::function<void(const ConnectFailure&, bool again)> on_failure);

/// For so long; errors of the timer shorten it.
boost::asio::awaitable<void> pause_for(boost::asio::io_context& io, Duration time);

/// How long to wait before a call is made again that failed for want of something.
inline constexpr Duration shortage_pause = std::chrono::milliseconds(5);

/// Ends this side of a connection and reads what still comes until the peer ends its own, for a bounded time
/// and a bounded number of bytes: a close over unread bytes would reset it, and what was said last with it.
boost::asio::awaitable<void> linger_and_close(StreamSocket socket);

}  // namespace paddlestand::service
