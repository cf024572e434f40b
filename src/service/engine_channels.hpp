/// The channels of a PostgreSQL host to its engines, and the engines' addresses.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

#include "core/event_dispatcher.hpp"
#include "protocol/pg/backend_connection.hpp"

namespace paddlestand::service {

class EngineChannel;
class PostgresServer;

/// Owns the open channels. Used only on the event loop's thread.
class EngineChannels {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  /// Sets the address for new channels to this engine. Returns true if the engine had another address before.
  bool set_endpoint(EngineId engine, const Endpoint& endpoint);
  /// Removes the endpoints of all other engines. No channel to them may be opened afterwards.
  void forget_endpoints_except(const std::set<EngineId>& engines);
  [[nodiscard]] bool has_endpoint(EngineId engine) const { return endpoints_.contains(engine); }
  /// The number of engines with a known endpoint.
  [[nodiscard]] std::size_t endpoint_count() const { return endpoints_.size(); }

  /// Creates and starts a channel to an engine whose endpoint is known.
  void open(PostgresServer& server, core::ChannelId id, EngineId engine);
  void close(core::ChannelId id);
  /// Returns null if the channel is closed.
  [[nodiscard]] std::shared_ptr<EngineChannel> find(core::ChannelId id) const;

 private:
  std::unordered_map<core::ChannelId, std::shared_ptr<EngineChannel>> channels_;
  std::unordered_map<EngineId, Endpoint> endpoints_;
};

/// Protocol-specific details that engines report at the end of an answer, for the sessions that receive it.
/// The core's AnswerEnd event does not carry them: they are stored when the event is queued, and are current
/// while it is dispatched.
class AnswerEnds {
 public:
  /// To be called before the AnswerEnd of this channel is dispatched.
  void add(core::ChannelId channel, const pg::BackendAnswerEnd& end) { pending_[channel] = end; }
  /// To be called at the start of each event.
  void begin_event(const core::CoreEvent& event);
  /// The details of the AnswerEnd being dispatched; null for any other event.
  [[nodiscard]] const pg::BackendAnswerEnd* current() const { return current_ ? &*current_ : nullptr; }

 private:
  std::unordered_map<core::ChannelId, pg::BackendAnswerEnd> pending_;
  std::optional<pg::BackendAnswerEnd> current_;
};

}  // namespace paddlestand::service
