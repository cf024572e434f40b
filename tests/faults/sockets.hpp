/// Non-blocking buffered sockets for the engines, clients and discovery service of fault runs, used with
/// poll().
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
  /// In the form "127.0.0.1:80".
  [[nodiscard]] std::string text() const;
};

/// Parses the form "127.0.0.1:80". Throws std::runtime_error if the address is invalid.
Endpoint parse_endpoint(const std::string& text);

/// Opens a non-blocking listening socket, which the caller owns. Throws std::runtime_error on failure.
int listen_on(const Endpoint& at, int backlog = 1024);

/// A connection. Owns its socket.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  Connection(Connection&& other) noexcept;
  Connection& operator=(Connection&& other) noexcept;
  ~Connection() { close(); }

  /// Connects, with a timeout for a local handshake. Returns nothing on failure.
  static std::optional<Connection> connect(const Endpoint& to);

  [[nodiscard]] int socket() const { return socket_; }
  [[nodiscard]] bool open() const { return socket_ >= 0; }
  [[nodiscard]] std::uint16_t own_port() const;
  void close();
  /// Closes the connection with a reset.
  void reset();
  /// Whether read() or flush() found that the connection ended by a reset rather than a shutdown.
  [[nodiscard]] bool was_reset() const { return was_reset_; }

  /// Appends all received bytes to `input`. Returns false if the connection has ended.
  bool read(std::string& input);
  /// As read(). Sets `received_at` to the time on the monotonic clock at which the last bytes arrived from
  /// the network; leaves it unchanged if there were none. Requires SO_TIMESTAMPNS on the socket.
  bool read_with_time(std::string& input, std::int64_t& received_at);
  /// Appends bytes to the output buffer.
  void queue(std::string_view bytes) { output_ += bytes; }
  [[nodiscard]] bool wants_to_write() const { return !output_.empty(); }
  /// Writes as much of the output buffer as the socket accepts. Returns false if the connection has ended.
  bool flush();

 private:
  int socket_;
  std::string output_;
  bool was_reset_ = false;
};

}  // namespace paddlestand::faults
