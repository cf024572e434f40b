// What every host of the desk on sockets shares: the loop, the clock, the one timer, the log. Which protocols
// are spoken at either side is the deriving host's.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "core/desk.hpp"
#include "observe/log.hpp"

namespace paddlestand::service {

// What it means for a link that its socket could not be opened: want of descriptors is this manager's
// trouble.
core::LinkLoss loss_of_opening(const boost::system::error_code& error);

class DeskHost : protected core::Hands {
 public:
  DeskHost(const DeskHost&) = delete;
  DeskHost& operator=(const DeskHost&) = delete;

  // Takes an event now, or right after the one that is being taken.
  void tell(core::CoreEvent event);

  [[nodiscard]] core::Counts counts() const { return desk_.counts(); }
  [[nodiscard]] observe::Log& log() { return log_; }
  [[nodiscard]] boost::asio::io_context& io() { return io_; }
  // One buffer for all reads: nothing keeps a view into it over a suspension.
  [[nodiscard]] std::span<char> scratch() { return scratch_; }

 protected:
  DeskHost(boost::asio::io_context& io, const observe::LogConfig& log, const std::string& name,
           const core::CoreSettings& core);
  ~DeskHost() override = default;

  TimePoint now() override;
  void carry_out(const core::Remark& effect) override;
  void broken(const core::Breach& breach) override;
  using core::Hands::carry_out;

  // A time since 1970 on the loop's clock. What lies before that clock's zero is long ago.
  [[nodiscard]] TimePoint on_loop(Duration since_1970) const;
  void stop();
  // Accepts until the acceptor is closed. Where no descriptor is free, who waits is taken when one is.
  boost::asio::awaitable<void> accept_on(boost::asio::ip::tcp::acceptor& acceptor,
                                         std::function<void(boost::asio::ip::tcp::socket)> take);

  boost::asio::io_context& io_;
  observe::Log log_;
  core::Desk desk_;
  bool stopped_ = false;

 private:
  void arm();

  boost::asio::steady_timer timer_;
  std::optional<TimePoint> armed_;
  Duration since_1970_{};  // 1970 on the loop's clock
  std::vector<char> scratch_;
};

}  // namespace paddlestand::service
