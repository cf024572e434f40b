/// The subscription to the command channel of the platform: requests every event after the last known one,
/// and again whenever the connection ends, falls silent or skips an event. A call that fails temporarily ends
/// nothing.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "protocol/discovery/events.hpp"
#include "service/resume_monitor.hpp"
#include "service/socket_calls.hpp"

namespace paddlestand::platform {

/// One subscription at a time. Its coroutine ends after stop(), or with the event loop, which must outlive
/// it.
class DiscoveryWatch {
 public:
  using tcp = boost::asio::ip::tcp;

  struct Hooks {
    /// The number of the last known event.
    std::function<std::uint64_t()> last_event;
    /// Applies an event; false where one before it is missing.
    std::function<bool(const discovery::Event&)> on_event;
    /// A subscription ended and is repeated; called for the first, and for each that had received anything.
    std::function<void(const std::string&)> on_trouble;
  };

  DiscoveryWatch(boost::asio::io_context& io, tcp::endpoint address, Hooks hooks);

  void start();
  /// Subscribes there from now on, at once, also where the address is the same.
  void move_to(tcp::endpoint address);
  void stop();
  /// Reads the events that are here and applies them, where a subscription is open. May be called while an
  /// event is being applied.
  void read_pending();

  /// When the channel was last read until it had no more, or could not be read for lack of a subscription.
  [[nodiscard]] TimePoint drained_at() const { return drained_at_; }
  /// ResumeMonitor's count from before that.
  [[nodiscard]] service::ResumeCount drained_as_of() const { return drained_as_of_; }

 private:
  struct Subscription;

  /// Why a subscription has ended.
  struct SubscriptionEnd {
    enum class Cause : std::uint8_t {
      local_failure,  ///< this machine could not connect, for want of something
      connect_failure,
      disconnected,
      timed_out,
      protocol_error,  ///< malformed bytes, or an event is missing
      closed_here  ///< by stop() or move_to()
    };
    Cause cause{};
    std::string description;  ///< for the log
  };

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<SubscriptionEnd> subscribe(std::shared_ptr<Subscription> subscription);
  boost::asio::awaitable<std::optional<SubscriptionEnd>> write_cursor(
      std::shared_ptr<Subscription> subscription);
  boost::asio::awaitable<SubscriptionEnd> read_events(std::shared_ptr<Subscription> subscription);
  service::IoStatus receive_events(Subscription& subscription);
  std::optional<SubscriptionEnd> process_events(Subscription& subscription);
  void limit(const std::shared_ptr<Subscription>& subscription, Duration time);

  boost::asio::io_context& io_;
  tcp::endpoint address_;
  Hooks hooks_;
  std::shared_ptr<Subscription> subscription_;  // the present one
  boost::asio::steady_timer retry_timer_;
  TimePoint drained_at_{};
  service::ResumeCount drained_as_of_ = 0;
  bool is_stopped_ = false;
  bool is_moved_ = false;  // during the present subscription
};

}  // namespace paddlestand::platform
