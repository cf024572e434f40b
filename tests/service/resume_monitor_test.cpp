/// Guarded calls, which take effect only if the process was not resumed since the state that they depend on
/// was read. A stop right before the system call is tested with separate processes (tests/incidents).
#include "service/resume_monitor.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>

namespace paddlestand::service::test {
namespace {

/// Both ends of a connection, non-blocking.
class ConnectedSockets : public ::testing::Test {
 protected:
  ConnectedSockets() {
    ResumeMonitor::install();
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends_.data()), 0);
  }
  ~ConnectedSockets() override {
    for (const int end : ends_) ::close(end);
  }
  [[nodiscard]] int near_end() const { return ends_[0]; }
  /// What the far end receives: bytes, "" at the end of input, or "nothing" if no input is pending.
  [[nodiscard]] std::string received() const {
    std::array<char, 64> buffer{};
    const IoResult result = receive(ends_[1], buffer);
    if (result.status == IoStatus::would_block) return "nothing";
    return {buffer.data(), result.bytes};
  }

 private:
  std::array<int, 2> ends_{};
};

TEST_F(ConnectedSockets, GuardedCallsTakeEffectWithoutAResume) {
  const ResumeCount facts_as_of = ResumeMonitor::count();

  EXPECT_EQ(send_unless_resumed(near_end(), "abc", facts_as_of).status, IoStatus::progress);
  EXPECT_EQ(received(), "abc");
  EXPECT_EQ(shut_down_unless_resumed(near_end(), facts_as_of), GuardedShutdown::done);
  EXPECT_EQ(received(), "");
}

// Guards against calls that are based on state from before a stop.
TEST_F(ConnectedSockets, GuardedCallsDoNothingAfterAResume) {
  const ResumeCount facts_as_of = ResumeMonitor::count();
  ::raise(SIGCONT);

  EXPECT_EQ(send_unless_resumed(near_end(), "abc", facts_as_of).status, IoStatus::outdated);
  EXPECT_EQ(shut_down_unless_resumed(near_end(), facts_as_of), GuardedShutdown::outdated);
  EXPECT_EQ(received(), "nothing");
}

}  // namespace
}  // namespace paddlestand::service::test
