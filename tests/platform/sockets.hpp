/// Loopback sockets for peers that tests control.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/hosted.hpp"

namespace paddlestand::platform::test {

using namespace paddlestand::test;

/// One connection of a peer, controlled byte by byte. Owns its socket.
class Wire {
 public:
  explicit Wire(int socket = -1) : socket_(socket) {}
  Wire(Wire&& other) noexcept : socket_(std::exchange(other.socket_, -1)) {}
  Wire& operator=(Wire&& other) noexcept {
    close();
    socket_ = std::exchange(other.socket_, -1);
    return *this;
  }
  ~Wire() { close(); }

  static Wire connect(std::uint16_t port) {
    Wire wire(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(wire.socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    return wire;
  }

  [[nodiscard]] bool is_open() const { return socket_ >= 0; }
  void close() {
    if (socket_ >= 0) ::close(socket_);
    socket_ = -1;
  }
  /// Closes the connection with a reset.
  void reset() {
    const linger no_linger{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
    close();
  }
  /// Returns false if the server has closed the connection.
  bool write(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }
  /// Writes as much as the socket's buffer takes and returns how many bytes that were.
  std::size_t write_available(std::string_view bytes) const {
    const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }
  /// Waits for bytes and returns them, or an empty string if none arrive in time. Returns std::nullopt at the
  /// end of the connection.
  std::optional<std::string> read(int wait_ms = client_timeout_ms) const {
    pollfd poll_entry{socket_, POLLIN, 0};
    if (::poll(&poll_entry, 1, wait_ms) <= 0) return std::string{};
    char part[65536];
    const ssize_t received = ::recv(socket_, part, sizeof(part), 0);
    if (received < 0) read_errno_ = errno;
    if (received <= 0) return std::nullopt;
    return std::string(part, static_cast<std::size_t>(received));
  }
  [[nodiscard]] bool has_input() const {
    pollfd poll_entry{socket_, POLLIN, 0};
    return ::poll(&poll_entry, 1, 0) > 0;
  }
  /// Waits until the server closes the connection. Returns false on a timeout.
  bool is_closed_by_peer() const {
    for (;;) {
      const auto more = read();
      if (!more) return true;
      if (more->empty()) return false;
    }
  }
  /// Whether the server closes the connection with a shutdown; a reset could lose the last answer.
  bool is_shut_down_by_peer() const {
    const bool ended = is_closed_by_peer();
    char byte{};
    return ended && ::recv(socket_, &byte, 1, 0) == 0 && read_errno_ == 0;
  }
  [[nodiscard]] bool was_reset() const { return read_errno_ == ECONNRESET; }
  /// Shuts down the sending direction.
  void shut_down() const { ::shutdown(socket_, SHUT_WR); }

 private:
  int socket_;
  mutable int read_errno_ = 0;
};

/// Listens for connections from a server.
class Listener {
 public:
  /// `receive_buffer`: size in bytes for accepted connections; zero for the system default. `port`: zero for
  /// any.
  explicit Listener(int backlog = 64, int receive_buffer = 0, std::uint16_t port = 0)
      : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;  // another listener may take over the port while connections are open
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (receive_buffer > 0)
      ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    EXPECT_EQ(::bind(socket_, reinterpret_cast<sockaddr*>(&address), size), 0);
    EXPECT_EQ(::listen(socket_, backlog), 0);
    EXPECT_EQ(::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size), 0);
    port_ = ntohs(address.sin_port);
  }
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  [[nodiscard]] std::uint16_t port() const { return port_; }
  /// Refuses further connections; those that were accepted stay.
  void close() {
    if (socket_ >= 0) ::close(socket_);
    socket_ = -1;
  }
  /// Waits for the next connection. The result is not open if none arrives.
  Wire accept(int wait_ms = client_timeout_ms) const {
    pollfd poll_entry{socket_, POLLIN, 0};
    if (::poll(&poll_entry, 1, wait_ms) <= 0) return Wire{};
    return Wire{::accept(socket_, nullptr, nullptr)};
  }

 private:
  int socket_;
  std::uint16_t port_ = 0;
};

/// A listener with a full backlog: no further connection is established until accept_all().
class FullListener : public Listener {
 public:
  FullListener() : Listener(0) {
    for (;;) {
      const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(port());
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      ::connect(filler, reinterpret_cast<sockaddr*>(&address), sizeof(address));
      pollfd poll_entry{filler, POLLOUT, 0};
      if (::poll(&poll_entry, 1, 300) <= 0) {
        ::close(filler);
        return;
      }
      fillers_.emplace_back(filler);
    }
  }
  void accept_all() {
    for (Wire& filler : fillers_) {
      accept();
      filler.close();
    }
    fillers_.clear();
  }

 private:
  std::vector<Wire> fillers_;
};

}  // namespace paddlestand::platform::test
