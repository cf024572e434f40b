/// Starts detached coroutines. An exception that leaves one is rethrown from the loop's run(), because a
/// manager in an unknown state can't guarantee its invariants.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <utility>

namespace paddlestand::service {

inline constexpr auto rethrow = [](const std::exception_ptr& error) {
  if (error) std::rethrow_exception(error);
};

/// Runs `coroutine` on the loop. Everything that it refers to must live until it has ended.
inline void spawn(boost::asio::io_context& io, boost::asio::awaitable<void> coroutine) {
  boost::asio::co_spawn(io, std::move(coroutine), rethrow);
}

/// Runs the coroutine that `start` returns; `start` and what it captures live until the coroutine has ended.
template <typename Start>
void spawn_with(boost::asio::io_context& io, Start start) {
  boost::asio::co_spawn(io, std::move(start), rethrow);
}

}  // namespace paddlestand::service
