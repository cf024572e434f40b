#include "client_connection.hpp"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>

namespace paddlestand::simulation {
namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t cancel_key_bytes = 8;  // process and secret in BackendKeyData

std::uint32_t big_endian(const unsigned char* bytes) {
  return static_cast<std::uint32_t>(bytes[0]) << 24U | static_cast<std::uint32_t>(bytes[1]) << 16U |
         static_cast<std::uint32_t>(bytes[2]) << 8U | bytes[3];
}

pg::CancelKey read_key(std::string_view body) {
  const auto* bytes = reinterpret_cast<const unsigned char*>(body.data());
  return {big_endian(bytes), big_endian(bytes + sizeof(std::uint32_t))};
}

std::string startup_message() {
  const std::vector<std::pair<std::string, std::string>> parameters{{"user", "desk"}, {"database", "day"}};
  std::string bytes;
  pg::put_startup(bytes, parameters);
  return bytes;
}

}  // namespace

/// Returns an idle connection, a new one, or one that another request releases. Null if none can be opened.
asio::awaitable<Clients::ConnectionPtr> Clients::acquire_connection(std::uint32_t manager) {
  for (;;) {
    if (auto idle = pop_idle_connection(manager)) co_return idle;
    if (connections_[manager] < max_connections_) break;
    error_code woken;
    co_await connection_free_[manager]->async_wait(asio::redirect_error(asio::use_awaitable, woken));
  }
  ++connections_[manager];
  auto connection = std::make_shared<Connection>(io_, manager);
  if (co_await open(*connection)) co_return connection;
  --connections_[manager];
  connection_free_[manager]->cancel();
  co_return nullptr;
}

// A connection that was closed while idle, or on which the end of the session was announced, is discarded.
Clients::ConnectionPtr Clients::pop_idle_connection(std::uint32_t manager) {
  auto& idle = idle_connections_[manager];
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    error_code error;
    char peeked = 0;
    connection->socket.non_blocking(true, error);
    connection->socket.receive(asio::buffer(&peeked, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block || error == asio::error::try_again) return connection;
    connection->close();
    --connections_[manager];
  }
  return nullptr;
}

/// Opens a session. Returns whether that succeeded.
asio::awaitable<bool> Clients::open(Connection& connection) {
  error_code error;
  co_await connection.socket.async_connect({asio::ip::address_v4::loopback(), ports_[connection.manager]},
                                           asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return false;
  connection.socket.set_option(tcp::no_delay(true), error);
  const std::string startup = startup_message();
  co_await asio::async_write(connection.socket, asio::buffer(startup),
                             asio::redirect_error(asio::use_awaitable, error));
  while (!error) {
    const std::size_t received = co_await connection.socket.async_read_some(
        asio::buffer(connection.buffer), asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    connection.frames.feed({connection.buffer.data(), received});
    while (const auto frame = connection.frames.next()) {
      if (frame->type == 'K' && frame->body.size() == cancel_key_bytes)
        connection.key = read_key(frame->body);
      if (frame->type == 'E') error = asio::error::connection_refused;
      if (frame->type == 'Z') co_return true;
    }
  }
  co_return false;
}

void Clients::release(const ConnectionPtr& connection) {
  if (connection->socket.is_open()) {
    idle_connections_[connection->manager].push_back(connection);
  } else {
    --connections_[connection->manager];
  }
  connection_free_[connection->manager]->cancel();
}

/// Sends a CancelRequest on a separate connection and waits until the manager closes it.
asio::awaitable<void> Clients::send_cancel(std::uint32_t manager, std::uint32_t process,
                                           std::uint32_t secret) {
  tcp::socket socket(io_);
  error_code error;
  co_await socket.async_connect({asio::ip::address_v4::loopback(), ports_[manager]},
                                asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  std::string bytes;
  pg::put_cancel_request(bytes, {process, secret});
  co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  std::array<char, 8> unused{};
  co_await socket.async_read_some(asio::buffer(unused), asio::redirect_error(asio::use_awaitable, error));
}

}  // namespace paddlestand::simulation
