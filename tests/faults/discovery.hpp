// The command channel of a fault run: on a thread of its own, at two addresses, of which one is served.
#pragma once

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

class Discovery {
 public:
  /// Knows `engines` from the start, as event 1.
  Discovery(const Endpoint& first, const Endpoint& second, std::vector<discovery::Record> engines);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  [[nodiscard]] Endpoint address() const { return at_[served_]; }
  /// Serves the other address: the old one takes no connection, and ends those it has after a while.
  void move();
  /// Says nothing any more on connections that are open; new ones are served.
  void fall_silent();
  void change(const discovery::Record& engine);
  /// The "known" member of a configuration, as JSON.
  [[nodiscard]] std::string known() const;

 private:
  struct Watch {
    Connection connection;
    std::size_t address{};
    std::string in;
    std::uint64_t told = 0;
    bool subscribed = false, silent = false;
    std::int64_t beat_at = 0, ends_at = 0;
  };

  void run();
  void serve(Watch& watch);

  Endpoint at_[2];
  std::size_t served_ = 0;
  int listeners_[2] = {-1, -1};
  mutable std::mutex mutex_;
  std::map<EngineId, discovery::Record> engines_;
  std::vector<discovery::Event> events_;
  std::vector<Watch> watches_;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

}  // namespace paddlestand::faults
