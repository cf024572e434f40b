/// Guards against losing a request on an idle connection during graceful shutdown: the manager's process is
/// stopped between its last check for input on the connection and the shutdown() call, and the request
/// arrives during the stop (docs/incidents/038-stopped-before-a-close.md). call_faults stops the process just
/// before the call.
#include <deque>

#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t first_trace = 0x7a00000000000000;

class StoppedBeforeShutdownCall : public IncidentTest {
 protected:
  StoppedBeforeShutdownCall() : IncidentTest(1, {.call_faults = "shutdown stop:250 0.3"}) {}

  /// A client that sends no further request until the manager is stopped.
  struct IdleClient {
    explicit IdleClient(std::uint16_t port) : connection(port) {}
    RawClient connection;
    bool has_request = false;
    bool has_ended = false;  // the connection ended before the client sent the request
  };

  void open_idle_clients() {
    constexpr std::size_t idle_clients = 12;
    for (std::size_t i = 0; i < idle_clients; ++i) {
      RawClient& connection = clients_.emplace_back(manager().port()).connection;
      connection.send_request(1, ++last_trace_);
      ASSERT_EQ(outcome_while(connection, serve_request), "served:a\tb\tc\n");
    }
  }

  /// Sends a request on each connection that has not ended; returns the number of requests sent.
  int send_on_open_connections() {
    int sent = 0;
    for (IdleClient& client : clients_) {
      client.has_ended = client.has_ended || (!client.has_request && client.connection.wire().has_input());
      if (client.has_request || client.has_ended) continue;
      EXPECT_TRUE(client.connection.wire().write(RawClient::request_line(2, ++last_trace_)));
      client.has_request = true;
      ++sent;
    }
    return sent;
  }

  void expect_requests_answered() {
    for (IdleClient& client : clients_) {
      if (!client.has_request) continue;
      EXPECT_NE(outcome_while(client.connection, serve_request), "nothing") << manager().log();
    }
  }

 private:
  std::deque<IdleClient> clients_;
  std::uint64_t last_trace_ = first_trace;
};

// A connection must not be ended while a request that arrived during the stop is unread.
TEST_F(StoppedBeforeShutdownCall, RequestsReceivedDuringTheStopAreAnswered) {
  open_idle_clients();
  manager().terminate();
  ASSERT_TRUE(run_until([&] { return manager().is_stopped(); }, serve_request));
  EXPECT_GT(send_on_open_connections(), 0);
  expect_requests_answered();
}

}  // namespace
}  // namespace paddlestand::platform::test
