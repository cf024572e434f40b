/// A channel of the core as a stream on a connection to an engine.
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
  core::QueryId query = 0;  ///< of an attempt
  double memory_mb = 0;  ///< granted to an attempt; zero: the engine's choice
  std::uint8_t priority = 0;
  bool is_sent = false;  ///< its frame was sent, or waits in the connection's queue
  bool is_ended = false;  ///< its answer was read, or it was given up
  TimePoint last_progress{};  ///< when it was sent, or a page of its answer arrived
  PagedAnswer answer;
};

}  // namespace paddlestand::platform
