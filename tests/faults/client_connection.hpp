/// A connection of a fault run's client, and the requests that are open on it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "event_log.hpp"
#include "monotonic_clock.hpp"
#include "sockets.hpp"

namespace paddlestand::faults {

/// A request without an answer. Times in nanoseconds, on the monotonic clock.
struct OpenRequest {
  std::uint64_t trace{};
  std::int64_t began{};  // just before the first byte was written
  std::int64_t sent{};  // zero: not written completely yet
  std::int64_t unanswered_at{};  // from then on it counts as unanswered
  std::optional<std::int64_t> cancel_at;
  bool cancelled = false;
};

/// The second part of a request that is written slowly.
struct DelayedWrite {
  std::string bytes;
  std::int64_t at = 0;
  std::int64_t request_id = 0;
};

/// One connection to a manager.
struct ClientConnection {
  ClientConnection(Connection connected, std::uint32_t to)
      : connection(std::move(connected)), manager(to), port(connection.own_port()) {}

  /// Whether nothing is open or waits to be written.
  [[nodiscard]] bool is_idle() const { return open.empty() && !delayed_write; }

  Connection connection;
  std::uint32_t manager;
  std::uint32_t port;
  std::string input;
  std::map<std::int64_t, OpenRequest> open;  // by the client's number
  std::map<std::int64_t, RunEvent> unsent;  // of these, the events of those not written completely yet
  std::int64_t last_id = 0;
  std::int64_t last_used = monotonic_now();
  std::optional<std::int64_t> disconnect_at;
  std::optional<DelayedWrite> delayed_write;
  bool stays_idle = false;  // one of many that never send anything
};

}  // namespace paddlestand::faults
