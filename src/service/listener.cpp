#include "listener.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "spawn.hpp"

namespace paddlestand::service {
namespace asio = boost::asio;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

constexpr int max_accepts_per_turn = 256;  // so that other work of the event loop can run
constexpr Duration min_backoff = 5ms;
constexpr Duration max_backoff = 50ms;
constexpr auto max_drain_time = 400ms;

TimePoint steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }

}  // namespace

Listener::Listener(asio::io_context& io, OnConnection on_connection, OnError on_error,
                   EventLoopLag event_loop_lag)
    : io_(io),
      on_connection_(std::move(on_connection)),
      on_error_(std::move(on_error)),
      event_loop_lag_(std::move(event_loop_lag)),
      acceptor_(io) {}

void Listener::open(const tcp::endpoint& at) {
  error_code ignored;
  acceptor_.close(ignored);
  protocol_ = at.protocol();
  try {
    acceptor_.open(protocol_);
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen();
    acceptor_.non_blocking(true);
    port_ = acceptor_.local_endpoint().port();
  } catch (const boost::system::system_error&) {
    acceptor_.close(ignored);
    throw;
  }
}

/// Registers an accepted socket with the event loop. Returns false on a transient failure; the next batch
/// retries it.
bool Listener::register_connection(int socket) {
  tcp::socket connection(io_);
  error_code error;
  connection.assign(protocol_, socket, error);
  if (error) {
    unregistered_ = socket;
    record_error(error);
    return false;
  }
  unregistered_ = -1;
  const Duration accept_delay = failing_since_ ? steady_now() - *failing_since_ : Duration{};
  on_connection_(std::move(connection), accept_delay);
  return true;
}

void Listener::record_error(const error_code& error) {
  if (failing_since_) return;
  // After a stall of the event loop, the queue had been waiting before this first failure was seen.
  failing_since_ = steady_now() - event_loop_lag_();
  on_error_(error.message() + "; pending connections wait in the accept queue");
}

Listener::Batch Listener::accept_pending() {
  int count = 0;
  while (count < max_accepts_per_turn && is_open()) {
    if (unregistered_ >= 0 && !register_connection(unregistered_)) return {IoStatus::retry_later, count};
    const Accepted accepted = service::accept(acceptor_.native_handle());
    if (accepted.status == IoStatus::progress) {
      ++count;
      register_connection(accepted.socket);
      continue;
    }
    if (accepted.status == IoStatus::would_block) {
      failing_since_.reset();
    } else {
      record_error(accepted.error);
    }
    return {accepted.status, count};
  }
  return {IoStatus::progress, count};
}

asio::awaitable<void> Listener::wait_until_pending(Duration pause_on_error) {
  error_code error;
  co_await acceptor_.async_wait(tcp::acceptor::wait_read, asio::redirect_error(asio::use_awaitable, error));
  if (error && is_open()) { co_await pause_for(io_, pause_on_error); }
}

asio::awaitable<void> Listener::run() {
  Duration backoff = min_backoff;
  while (is_open()) {
    const auto [status, accepted] = accept_pending();
    if (!is_open()) co_return;
    if (accepted > 0) backoff = min_backoff;
    if (status == IoStatus::would_block) {
      co_await wait_until_pending(backoff);
    } else if (status == IoStatus::progress) {
      co_await pause_for(io_, Duration{0});  // lets other work of the event loop run
    } else {
      co_await pause_for(io_, backoff);
      backoff = std::min(2 * backoff, max_backoff);
    }
  }
}

void Listener::close_when_drained() {
  if (!is_open()) return;
  if (accept_pending().status == IoStatus::would_block) {
    close();
    return;
  }
  spawn(io_, drain());
}

asio::awaitable<void> Listener::drain() {
  const auto end = std::chrono::steady_clock::now() + max_drain_time;
  while (is_open() && accept_pending().status != IoStatus::would_block &&
         std::chrono::steady_clock::now() < end) {
    co_await pause_for(io_, min_backoff);
  }
  close();
}

void Listener::close() {
  if (unregistered_ >= 0) ::close(std::exchange(unregistered_, -1));
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace paddlestand::service
