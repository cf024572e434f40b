/// Runs a callback after a delay on the host's event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "socket_calls.hpp"

namespace paddlestand::service {

/// Calls `callback` once, `delay` from now. It can't be cancelled, so the callback must check whether it
/// still applies. Everything that it refers to must live as long as the loop runs.
inline void run_after(boost::asio::io_context& io, Duration delay, std::function<void()> callback) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io, delay);
  timer->async_wait(
      [timer, callback = std::move(callback)](const boost::system::error_code&) { callback(); });
}

}  // namespace paddlestand::service
