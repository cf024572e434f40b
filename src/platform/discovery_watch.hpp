/// The subscription to the platform's command channel. Requests every event after the last known one, and
/// subscribes again whenever the connection ends, falls silent or skips an event. Temporary failures of
/// system calls do not end a subscription.
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

/// Holds at most one subscription at a time. Its coroutine ends after stop() or with the event loop, which
/// must outlive this object.
class DiscoveryWatch {
 public:
  using tcp = boost::asio::ip::tcp;

  struct Hooks {
    /// Returns the number of the last known event.
    std::function<std::uint64_t()> last_event;
    /// Applies an event. Returns false if an earlier event is missing.
    std::function<bool(const discovery::Event&)> on_event;
    /// Called when a subscription has ended and is retried: for the first one, and for each one that had
    /// received a frame.
    std::function<void(const std::string&)> on_failure;
  };

  DiscoveryWatch(boost::asio::io_context& io, tcp::endpoint address, Hooks hooks);

  void start();
  /// Drops the current subscription and subscribes at `address`, even if it is the same address.
  void move_to(tcp::endpoint address);
  void stop();
  /// Reads and applies the available events if a subscription is open. May be called while an event is being
  /// applied.
  void read_pending();

  /// When the channel was last read until no input was left, or found without a subscription.
  [[nodiscard]] TimePoint drained_at() const { return drained_at_; }
  /// The count of ResumeMonitor before that read.
  [[nodiscard]] service::ResumeCount drained_as_of() const { return drained_as_of_; }

 private:
  struct Subscription;

  /// Why a subscription ended.
  struct SubscriptionEnd {
    enum class Cause : std::uint8_t {
      local_failure,  ///< this machine lacked a resource needed to connect
      connect_failure,
      disconnected,
      timed_out,
      protocol_error,  ///< malformed bytes, or an event is missing
      closed_locally  ///< by stop() or move_to()
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
  void set_timeout(const std::shared_ptr<Subscription>& subscription, Duration timeout);

  boost::asio::io_context& io_;
  tcp::endpoint address_;
  Hooks hooks_;
  std::shared_ptr<Subscription> subscription_;  // the current one
  boost::asio::steady_timer retry_timer_;
  TimePoint drained_at_{};
  service::ResumeCount drained_as_of_ = 0;
  bool is_stopped_ = false;
  bool is_moved_ = false;  // during the current subscription
};

}  // namespace paddlestand::platform
