#include "discovery_watch.hpp"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "service/spawn.hpp"

namespace paddlestand::platform {
namespace asio = boost::asio;
using boost::system::error_code;
using service::IoResult;
using service::IoStatus;
using namespace std::chrono_literals;

namespace {

constexpr Duration connect_limit = 500ms;
constexpr Duration silence_limit = 2s;  // two heartbeats
constexpr Duration local_pause = 10ms;
constexpr Duration first_pause = 20ms, longest_pause = 250ms;

}  // namespace

// Its socket is closed by the timer when it takes too long, or by the watch when it is to be asked anew.
struct DiscoveryWatch::Round {
  explicit Round(asio::io_context& io) : socket(io), timer(io) {}
  service::StreamSocket socket;
  asio::steady_timer timer;
  discovery::EventReader reader;
  bool timed_out = false, closed = false, heard = false;

  void close() {
    closed = true;
    socket.close();
    timer.cancel();
  }
};

DiscoveryWatch::DiscoveryWatch(asio::io_context& io, tcp::endpoint at, Hooks hooks)
    : io_(io), at_(std::move(at)), hooks_(std::move(hooks)), pause_(io) {}

void DiscoveryWatch::start() { service::spawn(io_, run()); }

void DiscoveryWatch::move_to(tcp::endpoint at) {
  at_ = std::move(at);
  moved_ = true;
  pause_.cancel();
  if (round_) round_->close();
}

void DiscoveryWatch::stop() {
  stopped_ = true;
  pause_.cancel();
  if (round_) round_->close();
}

void DiscoveryWatch::limit(const std::shared_ptr<Round>& round, Duration time) {
  round->timer.expires_after(time);
  round->timer.async_wait([round](const error_code& error) {
    if (error || round->closed) return;
    round->timed_out = true;
    round->close();
  });
}

asio::awaitable<void> DiscoveryWatch::run() {
  Duration pause{};
  bool logged = false;
  while (!stopped_) {
    moved_ = false;
    const auto round = std::make_shared<Round>(io_);
    round_ = round;
    const std::string why = co_await subscribe(round);
    round->close();
    round_.reset();
    if (stopped_) co_return;
    if (moved_) {
      pause = {};
      continue;
    }
    if (round->heard || !logged) hooks_.on_trouble(why + "; asked again");
    logged = true;
    // What fails here for a moment says nothing of the other side, which needs no sparing.
    pause = local_failure_ ? local_pause
            : round->heard ? first_pause
                           : std::min(2 * pause + first_pause, longest_pause);
    pause_.expires_after(pause);
    error_code ignored;
    co_await pause_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

// Why it ended.
asio::awaitable<std::string> DiscoveryWatch::subscribe(std::shared_ptr<Round> round) {
  local_failure_ = false;
  limit(round, connect_limit);
  const auto failure = co_await round->socket.connect(at_);
  if (round->closed) {
    round->socket.close();
    co_return round->timed_out ? "no connection" : "left";
  }
  local_failure_ = failure && failure->verdict != core::CallVerdict::refused;
  if (failure) co_return failure->error.message();
  if (!co_await write_cursor(round)) co_return round->timed_out ? "it does not read" : "it is gone";
  co_return co_await read_events(round);
}

asio::awaitable<bool> DiscoveryWatch::write_cursor(std::shared_ptr<Round> round) {
  std::string cursor;
  discovery::put_cursor(cursor, hooks_.last_event());
  while (!cursor.empty()) {
    const IoResult sent = round->socket.send(cursor);
    if (sent.status == IoStatus::ended) co_return false;
    cursor.erase(0, sent.bytes);
    if (sent.status == IoStatus::progress) continue;
    co_await round->socket.wait_to_send(sent.status);
    if (round->closed) co_return false;
  }
  co_return true;
}

asio::awaitable<std::string> DiscoveryWatch::read_events(std::shared_ptr<Round> round) {
  std::array<char, 4096> buffer;
  limit(round, silence_limit);
  IoStatus last = IoStatus::would_block;
  for (;;) {
    co_await round->socket.wait_to_receive(last);
    if (round->closed) co_return round->timed_out ? "silent" : "left";
    const IoResult got = round->socket.receive(buffer);
    last = got.status;
    if (got.status == IoStatus::end_of_input) co_return "it closed the connection";
    if (got.status == IoStatus::ended) co_return got.error.message();
    if (got.status != IoStatus::progress) continue;
    limit(round, silence_limit);
    round->reader.feed({buffer.data(), got.bytes});
    if (const std::string wrong = take_events(*round); !wrong.empty()) co_return wrong;
    if (round->closed) co_return "left";
  }
}

// What is wrong, or nothing.
std::string DiscoveryWatch::take_events(Round& round) {
  for (;;) {
    auto next = round.reader.next();
    if (std::holds_alternative<std::monostate>(next)) return {};
    if (const auto* on_violation = std::get_if<discovery::Broken>(&next)) return on_violation->what;
    round.heard = true;
    const auto* event = std::get_if<discovery::Event>(&next);
    if (event != nullptr && !hooks_.on_event(*event)) return "an event is missing";
    if (round.closed) return {};
  }
}

}  // namespace paddlestand::platform
