/// A connection from a client process to a manager, with its open requests.
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

/// A request that has not been answered. Times are in nanoseconds on the monotonic clock.
struct OpenRequest {
  std::uint64_t trace{};
  std::int64_t began{};  // just before the first byte was written
  std::int64_t sent{};  // zero until it has been written completely
  std::int64_t unanswered_at{};  // when it is recorded as unanswered
  std::optional<std::int64_t> cancel_at;
  bool cancelled = false;
};

/// The second part of a request that is written in two parts.
struct DelayedWrite {
  std::string bytes;
  std::int64_t at = 0;
  std::int64_t request_id = 0;
};

/// One connection to a manager.
struct ClientConnection {
  ClientConnection(Connection connected, std::uint32_t to)
      : connection(std::move(connected)), manager(to), port(connection.own_port()) {}

  /// Whether there are no open requests and no delayed write.
  [[nodiscard]] bool is_idle() const { return open.empty() && !delayed_write; }

  Connection connection;
  std::uint32_t manager;
  std::uint32_t port;
  std::string input;
  std::map<std::int64_t, OpenRequest> open;  // by request id
  std::map<std::int64_t, RunEvent>
      unsent;  // request_sent events of open requests that are not yet written completely
  std::int64_t last_id = 0;
  std::int64_t last_used = monotonic_now();
  std::optional<std::int64_t> disconnect_at;
  std::optional<DelayedWrite> delayed_write;
  bool stays_idle = false;  // one of ClientOptions::idle_connections: never sends anything
};

}  // namespace paddlestand::faults
