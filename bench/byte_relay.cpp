#include "byte_relay.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <vector>

#include "load_generator.hpp"
#include "print_port.hpp"

namespace paddlestand::bench {
namespace {

constexpr std::size_t buffer_bytes = std::size_t{64} * 1024;

/// Copies one direction of a connection until either side closes it.
asio::awaitable<void> copy_bytes(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to) {
  std::vector<char> buffer(buffer_bytes);
  error_code error;
  while (!error) {
    const std::size_t received = co_await from->async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    co_await asio::async_write(*to, asio::buffer(buffer.data(), received),
                               asio::redirect_error(asio::use_awaitable, error));
  }
  to->close(error);
}

asio::awaitable<void> accept_clients(asio::io_context& io, tcp::acceptor& acceptor,
                                     std::uint16_t server_port) {
  for (;;) {
    auto client = std::make_shared<tcp::socket>(co_await acceptor.async_accept(asio::use_awaitable));
    auto server = std::make_shared<tcp::socket>(io);
    co_await server->async_connect(loopback(server_port), asio::use_awaitable);
    client->set_option(tcp::no_delay(true));
    server->set_option(tcp::no_delay(true));
    asio::co_spawn(io, copy_bytes(client, server), asio::detached);
    asio::co_spawn(io, copy_bytes(server, client), asio::detached);
  }
}

}  // namespace

void run_byte_relay(std::uint16_t server_port) {
  asio::io_context io(1);
  tcp::acceptor acceptor(io, loopback(0));
  print_port(acceptor.local_endpoint().port());
  asio::co_spawn(io, accept_clients(io, acceptor, server_port), asio::detached);
  io.run();
}

}  // namespace paddlestand::bench
