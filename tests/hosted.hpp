// Runs a server on its own event loop and thread, for tests over sockets.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <thread>

namespace paddlestand::test {

using namespace std::chrono_literals;

// Long enough for slow machines; tests assert no durations with it.
inline constexpr int client_timeout_ms = 20000;

// Owns a server created by `make`, with its event loop and thread.
template <typename Server>
class EventLoopThread {
 public:
  template <typename Make>
  explicit EventLoopThread(Make make) : io_(1) {
    server_ = make(io_);
    server_->start();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~EventLoopThread() {
    io_.stop();
    thread_.join();
    server_.reset();
  }
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  // Runs `f` on the event loop and returns its result.
  template <typename F>
  auto run(F f) {
    std::promise<decltype(f(*server_))> done;
    boost::asio::post(io_, [&] { done.set_value(f(*server_)); });
    return done.get_future().get();
  }
  Server& operator*() { return *server_; }
  Server* operator->() { return server_.get(); }

 private:
  boost::asio::io_context io_;
  std::unique_ptr<Server> server_;
  std::thread thread_;
};

// Waits until the condition is true. Returns false if it is not within client_timeout_ms.
inline bool wait_until(const std::function<bool()>& condition) {
  for (int i = 0; i < client_timeout_ms / 5; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(5ms);
  }
  return false;
}

}  // namespace paddlestand::test
