/// All connections to engines: places streams on connections, opens and closes connections within the limit
/// of descriptors, and tracks the attempts that engines may still be working on.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <vector>

#include "core/connection_choice.hpp"
#include "core/wire_attempts.hpp"
#include "engine_connection.hpp"

namespace paddlestand::platform {

class PlatformHost;

/// Owns the connections. `host` and `listener` must outlive it.
class EngineConnections {
 public:
  using tcp = boost::asio::ip::tcp;
  using Connection = std::shared_ptr<EngineConnection>;

  struct Settings {
    std::size_t streams_per_connection = 1;
    std::size_t max_connections = 0;  ///< to all engines together
    Duration connect_timeout{};
  };

  EngineConnections(PlatformHost& host, EngineConnectionListener& listener, Settings settings)
      : host_(host), listener_(listener), settings_(settings) {}

  [[nodiscard]] std::size_t size() const { return size_; }
  /// Connections by engine; no entry is empty.
  [[nodiscard]] const std::map<EngineId, std::vector<Connection>>& all() const { return connections_; }

  /// Chooses or opens the connection for a stream with this id (core::choose_connection), which may not be
  /// established yet. Returns null if none can be used or opened. `engines`: how many engines share the
  /// limit.
  Connection place(EngineId engine, const tcp::endpoint& address, core::ChannelUse use, core::StreamId stream,
                   std::size_t engines);
  /// Returns null if there is no connection with this number.
  [[nodiscard]] Connection find(core::ConnectionId number) const;
  /// Closes a connection, which cancels the streams on it.
  void drop(const Connection& connection);
  /// Handles the end of the engine's process: its connections accept no further streams and are closed once
  /// they carry none, so that nothing on them reaches a successor.
  void retire_all_of(EngineId engine);

  /// The attempts that engines may be working on.
  [[nodiscard]] core::WireAttempts& attempts() { return attempts_; }
  [[nodiscard]] const core::WireAttempts& attempts() const { return attempts_; }

 private:
  [[nodiscard]] core::ConnectionLimits limits_for(std::size_t engines) const;
  Connection open(EngineId engine, const tcp::endpoint& address);
  [[nodiscard]] Connection longest_idle() const;

  PlatformHost& host_;
  EngineConnectionListener& listener_;
  Settings settings_;
  std::size_t size_ = 0;
  std::map<EngineId, std::vector<Connection>> connections_;
  core::WireAttempts attempts_;
  core::ConnectionId last_number_ = 0;
};

}  // namespace paddlestand::platform
