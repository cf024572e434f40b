/// Sockets of the fault runs' own processes: non-blocking, buffered, for loops over poll().
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace paddlestand::faults {

/// An IPv4 address and port.
struct Endpoint {
  std::uint32_t host{};  // in host byte order
  std::uint16_t port{};
  [[nodiscard]] sockaddr_in address() const;
  /// As in "127.0.0.1:80".
  [[nodiscard]] std::string text() const;
};

/// "127.0.0.1:80"; throws std::runtime_error on anything else.
Endpoint parse_endpoint(const std::string& text);

/// A listening socket, non-blocking, which the caller owns. Throws std::runtime_error where the address can't
/// be bound.
int listen_on(const Endpoint& at, int backlog = 1024);

/// One connection. Owns its socket.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  Connection(Connection&& other) noexcept;
  Connection& operator=(Connection&& other) noexcept;
  ~Connection() { close(); }

  /// Connects, within the time of a local handshake. Nothing where that fails.
  static std::optional<Connection> connect(const Endpoint& to);

  [[nodiscard]] int socket() const { return socket_; }
  [[nodiscard]] bool open() const { return socket_ >= 0; }
  [[nodiscard]] std::uint16_t own_port() const;
  void close();
  /// Closes so that the peer sees a reset.
  void reset();
  /// Whether its end, found by read() or flush(), was a reset and not a shutdown.
  [[nodiscard]] bool was_reset() const { return was_reset_; }

  /// Appends what has arrived to `input`. False at the connection's end.
  bool read(std::string& input);
  /// As read(); `received_at` is when the last of it arrived from the network, on the monotonic clock. Needs
  /// SO_TIMESTAMPNS on the socket; unchanged where nothing has arrived.
  bool read_with_time(std::string& input, std::int64_t& received_at);
  /// Adds bytes to what flush() writes.
  void queue(std::string_view bytes) { output_ += bytes; }
  [[nodiscard]] bool wants_to_write() const { return !output_.empty(); }
  /// Writes what is queued, as far as the socket accepts it. False at the connection's end.
  bool flush();

 private:
  int socket_;
  std::string output_;
  bool was_reset_ = false;
};

}  // namespace paddlestand::faults
