/// Closed-loop clients that put load on one port and measure throughput and latency.
#pragma once

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "protocol/pg/frame.hpp"
#include "protocol/pg/messages.hpp"

namespace paddlestand::bench {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

inline tcp::endpoint loopback(std::uint16_t port) { return {asio::ip::address_v4::loopback(), port}; }

struct LoadResult {
  double answers_per_s = 0;
  double p50_us = 0;
  double p99_us = 0;
  std::size_t rejected_count = 0;
  double rejected_p50_us = 0;
};

/// Sorts `values`. Returns 0 if there are none.
inline double quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

inline const std::vector<std::pair<std::string, std::string>> session_parameters{{"user", "bench"},
                                                                                 {"database", "bench"}};

/// Runs clients that each send the next query when the last one is answered. All clients start together,
/// after every client has logged in.
class LoadGenerator {
 public:
  LoadGenerator(std::uint16_t port, int clients, std::string statement, std::chrono::milliseconds duration)
      : port_(port), client_count_(clients), statement_(std::move(statement)), duration_(duration) {}

  /// Blocks until the load has ended. May be called once.
  LoadResult run() {
    for (int i = 0; i < client_count_; ++i) asio::co_spawn(io_, run_client(), asio::detached);
    io_.run();
    LoadResult result;
    const double span_s = std::chrono::duration<double>(last_answer_ - start_).count();
    result.answers_per_s = static_cast<double>(served_us_.size() + rejected_us_.size()) / span_s;
    result.p50_us = quantile(served_us_, 0.5);
    result.p99_us = quantile(served_us_, 0.99);
    result.rejected_count = rejected_us_.size();
    result.rejected_p50_us = quantile(rejected_us_, 0.5);
    return result;
  }

 private:
  enum class Answer : std::uint8_t { served, rejected, connection_lost };

  struct Client {
    explicit Client(asio::io_context& io) : socket(io) {}

    tcp::socket socket;
    pg::FrameReader frames{16U << 20U};
    std::vector<char> buffer = std::vector<char>(std::size_t{64} * 1024);
  };

  asio::awaitable<void> run_client() {
    Client client(io_);
    error_code error;
    co_await client.socket.async_connect(loopback(port_), asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    client.socket.set_option(tcp::no_delay(true));
    std::string bytes;
    pg::put_startup(bytes, session_parameters);
    const Answer startup = co_await exchange(client, bytes);
    if (startup == Answer::connection_lost) co_return;
    co_await wait_for_all_clients();
    bytes.clear();
    pg::put_query(bytes, statement_);
    do {
      const auto sent_at = steady_clock::now();
      const Answer answer = co_await exchange(client, bytes);
      if (answer == Answer::connection_lost) co_return;
      record(answer, sent_at);
    } while (last_answer_ < end_);
  }

  asio::awaitable<void> wait_for_all_clients() {
    ++ready_client_count_;
    if (ready_client_count_ == client_count_) {
      start_ = steady_clock::now();
      end_ = start_ + duration_;
      all_clients_ready_.cancel();
    } else {
      error_code ignored;
      co_await all_clients_ready_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
  }

  /// Sends a message and reads messages up to ReadyForQuery.
  asio::awaitable<Answer> exchange(Client& client, const std::string& bytes) {
    error_code error;
    co_await asio::async_write(client.socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    Answer answer = Answer::served;
    bool is_ready = false;
    while (!is_ready && !error) {
      const std::size_t received = co_await client.socket.async_read_some(
          asio::buffer(client.buffer), asio::redirect_error(asio::use_awaitable, error));
      if (error) break;
      client.frames.feed({client.buffer.data(), received});
      while (const auto frame = client.frames.next()) {
        if (frame->type == 'Z') is_ready = true;
        if (frame->type == 'E') answer = Answer::rejected;
      }
    }
    co_return error ? Answer::connection_lost : answer;
  }

  void record(Answer answer, steady_clock::time_point sent_at) {
    const auto now = steady_clock::now();
    const double elapsed_us = std::chrono::duration<double, std::micro>(now - sent_at).count();
    last_answer_ = std::max(last_answer_, now);
    std::vector<double>& times = answer == Answer::rejected ? rejected_us_ : served_us_;
    times.push_back(elapsed_us);
  }

  asio::io_context io_{1};
  asio::steady_timer all_clients_ready_{
      io_, steady_clock::time_point::max()};  // cancelled when all clients are ready
  std::uint16_t port_;
  int client_count_;
  int ready_client_count_ = 0;
  std::string statement_;
  std::chrono::milliseconds duration_;
  steady_clock::time_point start_;
  steady_clock::time_point last_answer_;
  steady_clock::time_point end_;
  std::vector<double> served_us_;
  std::vector<double> rejected_us_;
};

}  // namespace paddlestand::bench
