/// All connections to engines: which one a stream goes on, which are opened and closed within the bound of
/// descriptors, and what attempts engines may have on them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <vector>

#include "core/connection_choice.hpp"
#include "core/wire_attempts.hpp"
#include "engine_connection.hpp"

namespace paddlestand::platform {

class PlatformServer;

class EngineConnections {
 public:
  using tcp = boost::asio::ip::tcp;
  using Connection = std::shared_ptr<EngineConnection>;

  EngineConnections(PlatformServer& platform, std::size_t streams_per_connection)
      : platform_(platform), streams_per_connection_(streams_per_connection) {}

  /// So many at the most, to all engines together.
  void allow(std::size_t most) { most_ = most; }
  [[nodiscard]] std::size_t most() const { return most_; }
  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] const std::map<EngineId, std::vector<Connection>>& all() const { return all_; }

  /// Where a stream with this id goes (core::choose_connection), or nothing. It may be one that still has to
  /// come up. `engines`: how many there are, which share the bound.
  Connection place(EngineId engine, const tcp::endpoint& at, core::ChannelUse use, core::StreamId id,
                   std::size_t engines);
  [[nodiscard]] Connection find(core::ConnectionId number) const;
  /// Closes it, which gives up what is open on it.
  void drop(const Connection& connection);
  /// They lead to a process that is no more: nothing goes out on them to the one that comes after it.
  void retire_all_of(EngineId engine);

  [[nodiscard]] core::WireAttempts& attempts() { return attempts_; }

 private:
  Connection open(EngineId engine, const tcp::endpoint& at);
  [[nodiscard]] Connection longest_idle() const;

  PlatformServer& platform_;
  std::size_t streams_per_connection_;
  std::size_t most_ = 0, size_ = 0;
  std::map<EngineId, std::vector<Connection>> all_;  // no entry is empty
  core::WireAttempts attempts_;
  core::ConnectionId last_ = 0;
};

}  // namespace paddlestand::platform
