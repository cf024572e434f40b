/// All connections to engines: which one a stream is placed on, which are opened and closed within the bound
/// of descriptors, and what attempts engines may have on them.
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
  /// By engine; no entry is empty.
  [[nodiscard]] const std::map<EngineId, std::vector<Connection>>& all() const { return connections_; }

  /// The connection for a stream with this id (core::choose_connection), which may still have to be
  /// established; null where there is none. `engines`: how many share the bound.
  Connection place(EngineId engine, const tcp::endpoint& address, core::ChannelUse use, core::StreamId stream,
                   std::size_t engines);
  /// Null where there is none with this number.
  [[nodiscard]] Connection find(core::ConnectionId number) const;
  /// Closes a connection, which gives up the streams on it.
  void drop(const Connection& connection);
  /// The engine's process has ended: its connections accept no further streams, and are closed once they
  /// carry none, so that nothing reaches a successor on them.
  void retire_all_of(EngineId engine);

  /// The attempts that engines may have.
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
