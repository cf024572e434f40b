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

/// A host whose reloads fail until it is told otherwise.
class FailingReloads {
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
  /// The shortest time between two attempts in a row, the first of which has this index.
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

// Guards against a second series of retries, which reads the file twice as often and gives up early.
TEST(ReloadRetry, AReloadThatIsAskedForBetweenTwoRetriesBeginsNoSecondSeries) {
  FailingReloads host;
  host.reload();
  host.run_for(retry_pause / 2);

  host.reload();
  host.run_for(8 * retry_pause);

  EXPECT_GE(host.attempts(), 4U);
  EXPECT_GE(host.shortest_pause_from(1), retry_pause);
}

// Guards against a retry that goes on after another attempt has succeeded, and reads the file once more.
TEST(ReloadRetry, ASuccessEndsARetryThatWaits) {
  FailingReloads host;
  host.reload();
  host.is_readable = true;
  host.reload();
  host.is_readable = false;
  host.reload();  // of a new series, the retry of which is the only one due

  host.is_readable = true;
  host.run_for(4 * retry_pause);

  EXPECT_EQ(host.attempts(), 4U);
}

TEST(ReloadRetry, GivesUpAfterAsManyRetriesAsAllowed) {
  FailingReloads host;
  host.reload();

  host.run_for(30 * retry_pause);

  EXPECT_EQ(host.attempts(), 21U);
  EXPECT_FALSE(host.retry.is_retrying());
}

}  // namespace
}  // namespace paddlestand::service::test
