#include "side_connections.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "engine_channel.hpp"

namespace paddlestand::service {
namespace asio = boost::asio;
using asio::experimental::awaitable_operators::operator||;  // NOLINT(misc-unused-using-decls): of awaitables
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto side_connection_timeout = std::chrono::seconds(1);
constexpr std::size_t read_buffer_bytes = 4096;
constexpr std::uint8_t update_priority = 3;  // of the statement that performs the update

asio::awaitable<void> run_with_timeout(asio::io_context& io, asio::awaitable<void> exchange) {
  error_code ignored;
  asio::steady_timer timeout(io, side_connection_timeout);
  co_await (std::move(exchange) || timeout.async_wait(asio::redirect_error(asio::use_awaitable, ignored)));
}

asio::awaitable<void> exchange_cancel(asio::io_context& io, tcp::endpoint engine, pg::CancelKey key) {
  error_code error;
  tcp::socket socket(io);
  co_await socket.async_connect(engine, asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  std::string bytes;
  pg::put_cancel_request(bytes, key);
  co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  std::array<char, 16> unused{};
  co_await socket.async_read_some(asio::buffer(unused), asio::redirect_error(asio::use_awaitable, error));
}

/// Handles the engine's events and appends the bytes to send next to `out`. Returns whether the exchange
/// continues.
bool continue_update(const std::vector<pg::BackendEvent>& events, EngineChannel& channel,
                     pg::BackendConnection& connection, const std::string& statement, std::string& out) {
  for (const pg::BackendEvent& event : events) {
    if (std::holds_alternative<pg::BackendAnswerEnd>(event)) channel.on_grant_update_ended();
    if (!std::holds_alternative<pg::BackendReady>(event)) return false;
    pg::EngineQuery query;
    pg::put_query(query.bytes, statement);
    out += connection.encode_query(query, update_priority, 0);
  }
  return true;
}

asio::awaitable<void> exchange_update(asio::io_context& io, std::shared_ptr<EngineChannel> channel,
                                      pg::EngineLogin login, std::string statement) {
  error_code error;
  tcp::socket socket(io);
  co_await socket.async_connect(channel->endpoint(), asio::redirect_error(asio::use_awaitable, error));
  pg::BackendConnection connection;
  std::string out = connection.start(std::move(login));
  std::vector<pg::BackendEvent> events;
  std::vector<char> buffer(read_buffer_bytes);
  while (!error) {
    co_await asio::async_write(socket, asio::buffer(out), asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    out.clear();
    const std::size_t received = co_await socket.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    events.clear();
    connection.feed({buffer.data(), received}, events, out);
    if (!continue_update(events, *channel, connection, statement, out)) co_return;
  }
}

}  // namespace

asio::awaitable<void> send_cancel_request(asio::io_context& io, tcp::endpoint engine, pg::CancelKey key) {
  co_await run_with_timeout(io, exchange_cancel(io, std::move(engine), key));
}

std::string resource_grant_statement(std::uint32_t process, const core::UpdateResourceGrant& grant) {
  return "SELECT paddlestand.set_terms(" + std::to_string(process) + ", " + std::to_string(grant.priority) +
         ", " + std::to_string(grant.memory_mb) + ")";
}

asio::awaitable<void> update_resource_grant(asio::io_context& io, std::shared_ptr<EngineChannel> channel,
                                            pg::EngineLogin login, std::string statement) {
  co_await run_with_timeout(io,
                            exchange_update(io, std::move(channel), std::move(login), std::move(statement)));
}

}  // namespace paddlestand::service
