/// The discovery service of a fault run: it has two addresses and serves one of them, on a thread of its own.
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

/// Publishes endpoint events to managers that watch it. Thread-safe.
class Discovery {
 public:
  /// Publishes `engines` as event 1 and starts to serve at `first`.
  Discovery(const Endpoint& first, const Endpoint& second, std::vector<discovery::Record> engines);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  /// The address that is served.
  [[nodiscard]] Endpoint address() const { return addresses_[served_]; }
  /// Serves the other address. The old one accepts no connection, and closes those it has after a while.
  void move();
  /// Sends nothing any more on connections that are open; new ones are served.
  void fall_silent();
  /// Publishes an engine's new record as the next event.
  void change(const discovery::Record& engine);
  /// The engines up to the last event: the "known" member of a manager's configuration, as JSON.
  [[nodiscard]] std::string known() const;

 private:
  /// A connection of a manager.
  struct Watch {
    Connection connection;
    std::size_t address{};  // index of the address at which it was accepted
    std::string input;
    std::uint64_t last_event = 0;  // number of the last one that was sent, or that the manager knew
    bool subscribed = false;
    bool silent = false;
    std::int64_t next_heartbeat = 0;
    std::int64_t closes_at = 0;  // zero: stays open
  };

  void run();
  void accept_one();
  void serve(Watch& watch);
  static void read_subscription(Watch& watch);
  void send_events(Watch& watch, std::int64_t now);

  std::array<Endpoint, 2> addresses_;
  std::size_t served_ = 0;  // index of the address
  std::array<int, 2> listeners_ = {-1, -1};  // by address; negative: not served
  mutable std::mutex mutex_;
  std::map<EngineId, discovery::Record> engines_;
  std::vector<discovery::Event> events_;
  std::vector<Watch> watches_;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

}  // namespace paddlestand::faults
