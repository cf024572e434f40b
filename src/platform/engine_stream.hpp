/// The stream on a connection to an engine that implements a channel of the core.
#pragma once

#include <cstdint>
#include <memory>

#include "core/stream_table.hpp"
#include "core/types.hpp"
#include "paged_answer.hpp"

namespace paddlestand::platform {

class EngineConnection;

/// One stream: an attempt of a query, or a probe.
struct EngineStream {
  [[nodiscard]] bool is_probe() const { return use == core::ChannelUse::probe; }
  /// Whether the engine may be working on it.
  [[nodiscard]] bool is_active() const { return is_sent && !is_ended; }

  EngineId engine{};
  core::ChannelUse use{};
  std::shared_ptr<EngineConnection> connection;
  core::StreamId id = 0;
  core::QueryId query = 0;  ///< of an attempt; unused for a probe
  double memory_mb = 0;  ///< granted to an attempt; zero lets the engine choose
  std::uint8_t priority = 0;
  bool is_sent = false;  ///< its frame was sent or is in the connection's queue
  bool is_ended = false;  ///< its answer was read, or it was cancelled
  TimePoint last_progress{};  ///< when it was sent, or a page of its answer last arrived
  PagedAnswer answer;
};

}  // namespace paddlestand::platform
