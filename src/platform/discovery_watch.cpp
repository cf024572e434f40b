#include "discovery_watch.hpp"

#include <algorithm>
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

constexpr Duration connect_timeout = 500ms;
constexpr Duration silence_timeout = 2s;  // two heartbeat periods
constexpr Duration local_failure_pause = 10ms;
constexpr Duration min_backoff = 20ms;
constexpr Duration max_backoff = 250ms;

}  // namespace

/// One connection to the command channel. Closed by its timer or by the watch.
struct DiscoveryWatch::Subscription {
  using Cause = SubscriptionEnd::Cause;

  explicit Subscription(asio::io_context& io) : socket(io), timer(io) {}

  void close() {
    is_closed = true;
    socket.close();
    timer.cancel();
  }
  /// Why this closed subscription ended: by its timer, with `timeout` as the description, or by the watch.
  [[nodiscard]] SubscriptionEnd end_after_close(const char* timeout) const {
    if (is_timed_out) return {Cause::timed_out, timeout};
    return {Cause::closed_locally, "closed locally"};
  }

  service::StreamSocket socket;
  asio::steady_timer timer;
  discovery::EventReader reader;
  bool is_timed_out = false;
  bool is_closed = false;
  bool has_received = false;  // at least one event or heartbeat
  bool is_subscribed = false;  // events may be read
  std::optional<SubscriptionEnd> end;  // detected while reading
};

DiscoveryWatch::DiscoveryWatch(asio::io_context& io, tcp::endpoint address, Hooks hooks)
    : io_(io), address_(std::move(address)), hooks_(std::move(hooks)), retry_timer_(io) {}

void DiscoveryWatch::start() { service::spawn(io_, run()); }

void DiscoveryWatch::move_to(tcp::endpoint address) {
  address_ = std::move(address);
  is_moved_ = true;
  retry_timer_.cancel();
  if (subscription_) subscription_->close();
}

void DiscoveryWatch::stop() {
  is_stopped_ = true;
  retry_timer_.cancel();
  if (subscription_) subscription_->close();
}

// Closes the subscription after `timeout`; replaces the previous timeout.
void DiscoveryWatch::set_timeout(const std::shared_ptr<Subscription>& subscription, Duration timeout) {
  subscription->timer.expires_after(timeout);
  subscription->timer.async_wait([subscription](const error_code& error) {
    if (error || subscription->is_closed) return;
    subscription->is_timed_out = true;
    subscription->close();
  });
}

asio::awaitable<void> DiscoveryWatch::run() {
  Duration backoff{};
  bool is_logged = false;
  while (!is_stopped_) {
    is_moved_ = false;
    const auto subscription = std::make_shared<Subscription>(io_);
    subscription_ = subscription;
    const SubscriptionEnd end = co_await subscribe(subscription);
    subscription->close();
    subscription_.reset();
    if (is_stopped_) co_return;
    if (is_moved_) {
      backoff = {};
      continue;
    }
    if (subscription->has_received || !is_logged) hooks_.on_failure(end.description + "; retrying");
    is_logged = true;
    if (end.cause == SubscriptionEnd::Cause::local_failure) {
      backoff = local_failure_pause;  // not a fault of the peer, so no exponential backoff
    } else if (subscription->has_received) {
      backoff = min_backoff;
    } else {
      backoff = std::min(2 * backoff + min_backoff, max_backoff);
    }
    retry_timer_.expires_after(backoff);
    error_code ignored;
    co_await retry_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<DiscoveryWatch::SubscriptionEnd> DiscoveryWatch::subscribe(
    std::shared_ptr<Subscription> subscription) {
  using Cause = SubscriptionEnd::Cause;
  set_timeout(subscription, connect_timeout);
  const auto failure = co_await subscription->socket.connect(address_);
  if (subscription->is_closed) {
    subscription->socket.close();
    co_return subscription->end_after_close("connect timeout");
  }
  if (failure) {
    const bool is_refused = failure->verdict == core::CallVerdict::refused;
    co_return SubscriptionEnd{is_refused ? Cause::connect_failure : Cause::local_failure,
                              failure->error.message()};
  }
  if (auto end = co_await write_cursor(subscription)) co_return std::move(*end);
  co_return co_await read_events(subscription);
}

asio::awaitable<std::optional<DiscoveryWatch::SubscriptionEnd>> DiscoveryWatch::write_cursor(
    std::shared_ptr<Subscription> subscription) {
  const auto failed = [&] {
    if (subscription->is_timed_out)
      return subscription->end_after_close("timeout while sending the subscription");
    return SubscriptionEnd{SubscriptionEnd::Cause::disconnected, "connection lost"};
  };
  std::string cursor;
  discovery::put_cursor(cursor, hooks_.last_event());
  while (!cursor.empty()) {
    const IoResult sent = subscription->socket.send(cursor);
    if (sent.status == IoStatus::ended) co_return failed();
    cursor.erase(0, sent.bytes);
    if (sent.status == IoStatus::progress) continue;
    co_await subscription->socket.wait_to_send(sent.status);
    if (subscription->is_closed) co_return failed();
  }
  co_return std::nullopt;
}

asio::awaitable<DiscoveryWatch::SubscriptionEnd> DiscoveryWatch::read_events(
    std::shared_ptr<Subscription> subscription) {
  using Cause = SubscriptionEnd::Cause;
  set_timeout(subscription, silence_timeout);
  subscription->is_subscribed = true;
  IoStatus last = IoStatus::would_block;
  for (;;) {
    co_await subscription->socket.wait_to_receive(last);
    if (subscription->end) co_return std::move(*subscription->end);
    if (subscription->is_closed) co_return subscription->end_after_close("no heartbeat");
    last = receive_events(*subscription);
    if (subscription->end) co_return std::move(*subscription->end);
    if (subscription->is_closed) co_return SubscriptionEnd{Cause::closed_locally, "closed locally"};
    if (last == IoStatus::progress) set_timeout(subscription, silence_timeout);
  }
}

// Stores an end of the subscription in `subscription.end`, where its coroutine handles it.
IoStatus DiscoveryWatch::receive_events(Subscription& subscription) {
  using Cause = SubscriptionEnd::Cause;
  std::array<char, 4096> buffer{};
  const service::ResumeCount as_of = service::ResumeMonitor::count();
  const TimePoint began = std::chrono::steady_clock::now().time_since_epoch();
  const IoResult received = subscription.socket.receive(buffer);
  switch (received.status) {
    case IoStatus::progress:
      subscription.reader.feed({buffer.data(), received.bytes});
      // Applying an event may have re-entered this function and found an end, which is kept.
      if (auto end = process_events(subscription)) subscription.end = std::move(end);
      break;
    case IoStatus::would_block:
      drained_at_ = began;
      drained_as_of_ = as_of;
      break;
    case IoStatus::end_of_input:
      subscription.end = SubscriptionEnd{Cause::disconnected, "closed by the peer"};
      break;
    case IoStatus::ended:
      subscription.end = SubscriptionEnd{Cause::disconnected, received.error.message()};
      break;
    case IoStatus::outdated:
    case IoStatus::retry_later: break;
  }
  return received.status;
}

void DiscoveryWatch::read_pending() {
  const auto subscription = subscription_;
  if (!subscription || !subscription->is_subscribed) {
    drained_at_ = std::chrono::steady_clock::now().time_since_epoch();
    drained_as_of_ = service::ResumeMonitor::count();
    return;
  }
  while (!subscription->is_closed && !subscription->end &&
         receive_events(*subscription) == IoStatus::progress) {}
  if (subscription->end) subscription->close();  // wakes its coroutine
}

std::optional<DiscoveryWatch::SubscriptionEnd> DiscoveryWatch::process_events(Subscription& subscription) {
  using Cause = SubscriptionEnd::Cause;
  for (;;) {
    auto next = subscription.reader.next();
    if (std::holds_alternative<std::monostate>(next)) return std::nullopt;
    if (const auto* malformed = std::get_if<discovery::ProtocolViolation>(&next))
      return SubscriptionEnd{Cause::protocol_error, malformed->what};
    subscription.has_received = true;
    const auto* event = std::get_if<discovery::Event>(&next);
    if (event != nullptr && !hooks_.on_event(*event))
      return SubscriptionEnd{Cause::protocol_error, "an event is missing"};
    if (subscription.is_closed) return std::nullopt;
  }
}

}  // namespace paddlestand::platform
