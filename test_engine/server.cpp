#include "server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <istream>
#include <nlohmann/json.hpp>
#include <utility>

#include "engine_context.hpp"
#include "session.hpp"

namespace paddlestand::test_engine {
namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t max_unserved_sockets = 1024;
constexpr std::size_t max_command_bytes = 4096;

void listen_on(asio::ip::tcp::acceptor& acceptor, const std::string& address, std::uint16_t port) {
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address), port);
  acceptor.open(endpoint.protocol());
  acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  acceptor.bind(endpoint);
  acceptor.listen();
}

}  // namespace

Server::Server(asio::io_context& io, TestEngineSettings settings)
    : settings_(std::move(settings)),
      engine_(std::make_shared<EngineContext>(io, settings_)),
      control_acceptor_(io) {}

Server::~Server() = default;

void Server::start() {
  listen();
  listen_on(control_acceptor_, settings_.address, settings_.control_port);
  control_port_ = control_acceptor_.local_endpoint().port();
  asio::co_spawn(engine_->io_context, accept_control(), asio::detached);
  if (settings_.progress_period_s > 0)
    asio::co_spawn(engine_->io_context, send_progress_periodically(), asio::detached);
  engine_->log.write(log_event::engine_started, "", {{"cold", settings_.starts_in_slow_start}});
}

void Server::listen() {
  acceptor_ = std::make_unique<tcp::acceptor>(engine_->io_context);
  listen_on(*acceptor_, settings_.address, port_ != 0 ? port_ : settings_.port);
  port_ = acceptor_->local_endpoint().port();
  asio::co_spawn(engine_->io_context, accept_sessions(), asio::detached);
}

asio::awaitable<void> Server::accept_sessions() {
  tcp::acceptor* const acceptor = acceptor_.get();
  for (;;) {
    error_code error;
    tcp::socket socket = co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;  // the command `refuse` closed the acceptor
    if (engine_->faults.vanish) {
      if (unserved_sockets_.size() < max_unserved_sockets) unserved_sockets_.push_back(std::move(socket));
      continue;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto process = ++last_process_number_;
    const pg::CancelKey key{process, static_cast<std::uint32_t>(engine_->random())};
    const auto session = std::make_shared<Session>(engine_, std::move(socket), key);
    engine_->sessions[process] = session;
    asio::co_spawn(
        engine_->io_context, [session] { return session->run(); }, asio::detached);
  }
}

asio::awaitable<void> Server::send_progress_periodically() {
  const std::chrono::nanoseconds period(static_cast<std::int64_t>(settings_.progress_period_s * 1e9));
  asio::steady_timer timer(engine_->io_context);
  for (;;) {
    timer.expires_after(period);
    error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    if (engine_->faults.hang || engine_->faults.vanish) continue;
    for (const auto& session : engine_->live_sessions()) session->send_progress();
  }
}

asio::awaitable<void> Server::accept_control() {
  for (;;) {
    error_code error;
    tcp::socket socket =
        co_await control_acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    asio::co_spawn(engine_->io_context, serve_control(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> Server::serve_control(tcp::socket socket) {
  asio::streambuf buffer(max_command_bytes);
  for (;;) {
    error_code error;
    co_await asio::async_read_until(socket, buffer, '\n', asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    std::istream in(&buffer);
    std::string line;
    std::getline(in, line);
    const std::string answer = execute_command(line) + "\n";
    co_await asio::async_write(socket, asio::buffer(answer),
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
  }
}

}  // namespace paddlestand::test_engine
