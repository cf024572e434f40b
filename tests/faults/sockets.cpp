#include "sockets.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <stdexcept>
#include <utility>

#include "monotonic_clock.hpp"

namespace paddlestand::faults {
namespace {

constexpr std::size_t read_size = 65536;  // bytes per call

/// Nanoseconds since the message arrived from the network, from its kernel timestamp; zero if it has none.
std::int64_t time_in_kernel(msghdr& message) {
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  std::int64_t elapsed = 0;
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr; header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_TIMESTAMPNS) continue;
    timespec received{};
    std::memcpy(&received, CMSG_DATA(header), sizeof(received));
    if (received.tv_sec == 0) continue;
    elapsed += (now.tv_sec - received.tv_sec) * ns_per_second + (now.tv_nsec - received.tv_nsec);
  }
  return elapsed;
}

}  // namespace

sockaddr_in Endpoint::address() const {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(port);
  at.sin_addr.s_addr = htonl(host);
  return at;
}

std::string Endpoint::text() const {
  const in_addr raw{htonl(host)};
  std::array<char, INET_ADDRSTRLEN> text{};
  ::inet_ntop(AF_INET, &raw, text.data(), text.size());
  return std::string(text.data()) + ":" + std::to_string(port);
}

Endpoint parse_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  in_addr raw{};
  if (colon == std::string::npos || ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &raw) != 1)
    throw std::runtime_error("'" + text + "': expected an address such as 127.0.0.1:80");
  return {ntohl(raw.s_addr), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

int listen_on(const Endpoint& at, int backlog) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enable = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  const sockaddr_in address = at.address();
  if (socket < 0 || ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(socket, backlog) != 0)
    throw std::runtime_error(at.text() + ": " + std::strerror(errno));
  return socket;
}

Connection::Connection(Connection&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)), output_(std::move(other.output_)) {}

Connection& Connection::operator=(Connection&& other) noexcept {
  close();
  socket_ = std::exchange(other.socket_, -1);
  output_ = std::move(other.output_);
  return *this;
}

std::optional<Connection> Connection::connect(const Endpoint& to) {
  constexpr int handshake_ms = 200;
  Connection connection(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int socket = connection.socket_;
  const int enable = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
  const sockaddr_in address = to.address();
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) return connection;
  if (errno != EINPROGRESS) return std::nullopt;
  pollfd connected{socket, POLLOUT, 0};
  if (::poll(&connected, 1, handshake_ms) != 1) return std::nullopt;
  int error = 0;
  socklen_t size = sizeof(error);
  if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) return std::nullopt;
  return connection;
}

std::uint16_t Connection::own_port() const {
  sockaddr_in own{};
  socklen_t size = sizeof(own);
  ::getsockname(socket_, reinterpret_cast<sockaddr*>(&own), &size);
  return ntohs(own.sin_port);
}

void Connection::close() {
  if (socket_ >= 0) ::close(socket_);
  socket_ = -1;
}

void Connection::reset() {
  const linger no_linger{1, 0};
  ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
  close();
}

bool Connection::read(std::string& input) {
  std::array<char, read_size> part{};
  for (;;) {
    const ssize_t size = ::recv(socket_, part.data(), part.size(), 0);
    if (size > 0) input.append(part.data(), static_cast<std::size_t>(size));
    if (size > 0 || (size < 0 && errno == EINTR)) continue;
    was_reset_ = size < 0 && errno != EAGAIN;
    return size < 0 && errno == EAGAIN;
  }
}

bool Connection::read_with_time(std::string& input, std::int64_t& received_at) {
  std::array<char, read_size> part{};
  for (;;) {
    iovec bytes{part.data(), part.size()};
    alignas(cmsghdr) std::array<char, 256> control{};
    msghdr message{};
    message.msg_iov = &bytes;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    const ssize_t size = ::recvmsg(socket_, &message, 0);
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) return size < 0 && errno == EAGAIN;
    input.append(part.data(), static_cast<std::size_t>(size));
    const std::int64_t now = monotonic_now();
    received_at = now - time_in_kernel(message);
  }
}

bool Connection::flush() {
  while (!output_.empty()) {
    const ssize_t sent = ::send(socket_, output_.data(), output_.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    was_reset_ = sent < 0 && errno != EAGAIN;
    if (sent < 0) return errno == EAGAIN;
    output_.erase(0, static_cast<std::size_t>(sent));
  }
  return true;
}

}  // namespace paddlestand::faults
