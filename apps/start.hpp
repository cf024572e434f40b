/// Starts a host, with retries if system calls fail transiently.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/system/system_error.hpp>
#include <cerrno>
#include <chrono>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <system_error>
#include <thread>

#include "core/connection_policy.hpp"

namespace paddlestand::app {

/// How long a start is retried when memory, descriptors or similar resources are exhausted.
inline constexpr auto max_start_time = std::chrono::seconds(20);
/// How long a start is retried when the address is in use or not available, which is less likely to be
/// transient.
inline constexpr auto max_address_wait = std::chrono::seconds(3);
/// Time between two attempts to start.
inline constexpr auto start_retry_interval = std::chrono::milliseconds(20);

/// Whether a start that failed with this error may be retried. `elapsed`: the time since the first attempt.
[[nodiscard]] inline bool may_retry_start(int error_number, std::chrono::nanoseconds elapsed) {
  const auto verdict = core::verdict_of(core::SystemCall::bind, error_number);
  if (verdict != core::CallVerdict::retry_now && verdict != core::CallVerdict::retry_later) return false;
  const bool is_address_error = error_number == EADDRINUSE || error_number == EADDRNOTAVAIL;
  const std::chrono::nanoseconds limit = is_address_error ? max_address_wait : max_start_time;
  return elapsed < limit;
}

/// Calls `start` until it succeeds. Rethrows the first error that is not transient or that occurs after the
/// retry time.
inline void start_with_retries(const std::function<void()>& start) {
  const auto first_attempt = std::chrono::steady_clock::now();
  const auto elapsed = [first_attempt] { return std::chrono::steady_clock::now() - first_attempt; };
  for (;;) {
    try {
      start();
      return;
    } catch (const boost::system::system_error& error) {
      if (!may_retry_start(error.code().value(), elapsed())) throw;
    } catch (const std::system_error&) {  // a thread could not be created
      if (!may_retry_start(ENOMEM, elapsed())) throw;
    }
    std::this_thread::sleep_for(start_retry_interval);
  }
}

/// A host with its event loop. Both are recreated for each attempt to start; the host is destroyed first.
template <typename Host>
struct Hosted {
  std::unique_ptr<boost::asio::io_context> io;
  std::unique_ptr<Host> host;

  void reset() {
    host.reset();
    io.reset();
  }
};

/// Creates a host with `make`, which receives the event loop, and starts it. If that fails, prints an error
/// with the `address` on standard error and returns false.
template <typename Host, typename Make>
[[nodiscard]] bool start_host(Hosted<Host>& hosted, const std::string& address, Make make) {
  try {
    start_with_retries([&] {
      hosted.reset();
      hosted.io = std::make_unique<boost::asio::io_context>(1);
      hosted.host = make(*hosted.io);
      hosted.host->start();
    });
  } catch (const std::exception& error) {
    hosted.reset();
    std::cerr << "paddlestand: cannot listen on " << address << ": " << error.what() << "\n";
    return false;
  }
  return true;
}

}  // namespace paddlestand::app
