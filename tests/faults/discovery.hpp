/// The discovery service of a fault run. It has two addresses, serves one of them at a time, and runs in its
/// own thread.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "protocol/discovery/events.hpp"
#include "sockets.hpp"

namespace paddlestand::faults {

/// Publishes endpoint events to the managers that subscribe. Thread-safe.
class Discovery {
 public:
  /// Publishes `engines` as event 1 and starts serving at `first`.
  Discovery(const Endpoint& first, const Endpoint& second, std::vector<discovery::Record> engines);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  /// The address that is currently served.
  [[nodiscard]] Endpoint address() const { return addresses_[served_]; }
  /// Switches to the other address. The previous one stops accepting, and its open connections are closed
  /// later.
  void move();
  /// Stops sending on all open connections; connections accepted later are served.
  void stop_sending();
  /// Publishes the new record of an engine as the next event.
  void publish(const discovery::Record& engine);
  /// The engine list after the last event, as JSON: the "known" member of a manager's configuration.
  [[nodiscard]] std::string known_engines() const;

 private:
  /// A connection from a manager.
  struct Watch {
    Connection connection;
    std::size_t address{};  // index of the address at which it was accepted
    std::string input;
    std::uint64_t last_event = 0;  // number of the last event that was sent or that the manager already knew
    bool subscribed = false;
    bool sending_stopped = false;
    std::int64_t next_heartbeat = 0;
    std::int64_t closes_at = 0;  // zero if the connection stays open
  };

  void run();
  void accept_one();
  void serve(Watch& watch);
  static void read_subscription(Watch& watch);
  void send_events(Watch& watch, std::int64_t now);

  std::array<Endpoint, 2> addresses_;
  std::size_t served_ = 0;  // index of the served address
  std::array<int, 2> listeners_ = {-1, -1};  // by address; negative if not served
  mutable std::mutex mutex_;
  std::map<EngineId, discovery::Record> engines_;
  std::vector<discovery::Event> events_;
  std::vector<Watch> watches_;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

}  // namespace paddlestand::faults
