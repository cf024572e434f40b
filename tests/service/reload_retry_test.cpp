/// Retries of a reload whose file could not be read.
#include "service/reload_retry.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <vector>

namespace paddlestand::service::test {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto retry_pause = 40ms;

/// A host whose reloads succeed only while is_readable is true.
class ReloadingHost {
 public:
  void reload() {
    attempts_.push_back(Clock::now());
    if (is_readable) {
      retry.on_success();
    } else {
      retry.on_failure();
    }
  }
  void run_for(Clock::duration time) {
    io.restart();
    io.run_for(time);
  }
  [[nodiscard]] std::size_t attempts() const { return attempts_.size(); }
  /// The shortest time between two consecutive attempts, from the attempt with index `first` on.
  [[nodiscard]] Clock::duration shortest_pause_from(std::size_t first) const {
    Clock::duration shortest = Clock::duration::max();
    for (std::size_t i = first + 1; i < attempts_.size(); ++i)
      shortest = std::min(shortest, attempts_[i] - attempts_[i - 1]);
    return shortest;
  }

  boost::asio::io_context io;
  ReloadRetry retry{io, {retry_pause, 20}, [this] { reload(); }};
  bool is_readable = false;

 private:
  std::vector<Clock::time_point> attempts_;
};

// Guards against two series of retries at once, which read the file twice as often and give up early.
TEST(ReloadRetry, AReloadRequestedBetweenTwoRetriesBeginsNoSecondSeries) {
  ReloadingHost host;
  host.reload();
  host.run_for(retry_pause / 2);

  host.reload();
  host.run_for(8 * retry_pause);

  EXPECT_GE(host.attempts(), 4U);
  EXPECT_GE(host.shortest_pause_from(1), retry_pause);
}

// Guards against a scheduled retry that still reads the file after another attempt has succeeded.
TEST(ReloadRetry, ASuccessCancelsAScheduledRetry) {
  ReloadingHost host;
  host.reload();
  host.is_readable = true;
  host.reload();
  host.is_readable = false;
  host.reload();  // begins a new series, whose retry is the only one scheduled

  host.is_readable = true;
  host.run_for(4 * retry_pause);

  EXPECT_EQ(host.attempts(), 4U);
}

TEST(ReloadRetry, GivesUpAfterTheMaximumNumberOfRetries) {
  ReloadingHost host;
  host.reload();

  host.run_for(30 * retry_pause);

  EXPECT_EQ(host.attempts(), 21U);
  EXPECT_FALSE(host.retry.is_retrying());
}

}  // namespace
}  // namespace paddlestand::service::test
