// What runs on a loop of its own, on a thread of its own, for tests over sockets.
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

// Long enough for any machine; nothing is asserted of how long things take.
inline constexpr int client_timeout_ms = 20000;

template <typename Hosted>
class Thread {
 public:
  template <typename Make>
  explicit Thread(Make make) : io_(1) {
    hosted_ = make(io_);
    hosted_->start();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Thread() {
    io_.stop();
    thread_.join();
    hosted_.reset();
  }
  Thread(const Thread&) = delete;
  Thread& operator=(const Thread&) = delete;

  template <typename F>
  auto run(F f) {
    std::promise<decltype(f(*hosted_))> done;
    boost::asio::post(io_, [&] { done.set_value(f(*hosted_)); });
    return done.get_future().get();
  }
  Hosted& operator*() { return *hosted_; }
  Hosted* operator->() { return hosted_.get(); }

 private:
  boost::asio::io_context io_;
  std::unique_ptr<Hosted> hosted_;
  std::thread thread_;
};

// Until it is so, or long has passed.
inline bool comes_true(const std::function<bool()>& what) {
  for (int i = 0; i < client_timeout_ms / 5; ++i) {
    if (what()) return true;
    std::this_thread::sleep_for(5ms);
  }
  return false;
}

}  // namespace paddlestand::test
