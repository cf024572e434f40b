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

constexpr int most_at_once = 256;  // connections taken in one turn of the loop
constexpr Duration shortest_trouble_pause = 5ms, longest_trouble_pause = 50ms;
constexpr auto longest_drain = 400ms;

TimePoint steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }

}  // namespace

Listener::Listener(asio::io_context& io, OnConnection on_connection, OnTrouble on_trouble,
                   Lateness event_loop_lag)
    : io_(io),
      on_connection_(std::move(on_connection)),
      on_trouble_(std::move(on_trouble)),
      lateness_(std::move(event_loop_lag)),
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

bool Listener::hand_over(int socket) {
  tcp::socket connection(io_);
  error_code error;
  connection.assign(protocol_, socket, error);
  if (error) {
    unregistered_ = socket;
    note_trouble(error);
    return false;
  }
  unregistered_ = -1;
  const Duration waited = in_trouble_since_ ? steady_now() - *in_trouble_since_ : Duration{};
  on_connection_(std::move(connection), waited);
  return true;
}

void Listener::note_trouble(const error_code& error) {
  if (in_trouble_since_) return;
  // Behind a stall the first failure comes late itself: what is in the queue has waited since before it.
  in_trouble_since_ = steady_now() - lateness_();
  on_trouble_(error.message() + "; connections wait");
}

Listener::Turn Listener::accept_pending() {
  int taken = 0;
  while (taken < most_at_once && is_open()) {
    if (unregistered_ >= 0 && !hand_over(unregistered_)) return {IoStatus::retry_later, taken};
    const Accepted accepted = service::accept(acceptor_.native_handle());
    if (accepted.status != IoStatus::progress) {
      if (accepted.status == IoStatus::would_block) {
        in_trouble_since_.reset();
      } else {
        note_trouble(accepted.error);
      }
      return {accepted.status, taken};
    }
    ++taken;
    hand_over(accepted.socket);
  }
  return {IoStatus::progress, taken};
}

asio::awaitable<void> Listener::run() {
  Duration pause = shortest_trouble_pause;
  while (is_open()) {
    const auto [status, taken] = accept_pending();
    if (!is_open()) co_return;
    if (taken > 0) pause = shortest_trouble_pause;
    if (status == IoStatus::would_block) {
      error_code error;
      co_await acceptor_.async_wait(tcp::acceptor::wait_read,
                                    asio::redirect_error(asio::use_awaitable, error));
      if (error && is_open()) co_await pause_for(io_, pause);
    } else if (status == IoStatus::progress) {
      co_await pause_for(io_, Duration{0});  // the others have their turn
    } else {
      co_await pause_for(io_, pause);
      pause = std::min(2 * pause, longest_trouble_pause);
    }
  }
}

void Listener::close_when_drained() {
  if (!is_open()) return;
  if (accept_pending().status == IoStatus::would_block) return close();
  spawn(io_, drain());
}

asio::awaitable<void> Listener::drain() {
  const auto end = std::chrono::steady_clock::now() + longest_drain;
  while (is_open() && accept_pending().status != IoStatus::would_block &&
         std::chrono::steady_clock::now() < end)
    co_await pause_for(io_, shortest_trouble_pause);
  close();
}

void Listener::close() {
  if (unregistered_ >= 0) ::close(std::exchange(unregistered_, -1));
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace paddlestand::service
