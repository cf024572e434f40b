/// The channels of a PostgreSQL host to its engines, and where these are reached.
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

/// Owns the open channels. Used on the loop's thread.
class EngineChannels {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  /// Where channels to this engine connect from now on. True: it was known at another address before.
  bool set_endpoint(EngineId engine, const Endpoint& endpoint);
  /// Forgets the endpoints of all engines but these, once no channel to another one will be opened.
  void forget_endpoints_except(const std::set<EngineId>& engines);
  [[nodiscard]] bool has_endpoint(EngineId engine) const { return endpoints_.contains(engine); }
  /// The number of endpoints that are kept.
  [[nodiscard]] std::size_t endpoint_count() const { return endpoints_.size(); }

  /// Opens a channel to an engine whose endpoint is known, and starts it.
  void open(PostgresServer& server, core::ChannelId id, EngineId engine);
  void close(core::ChannelId id);
  /// Null where the channel is closed.
  [[nodiscard]] std::shared_ptr<EngineChannel> find(core::ChannelId id) const;

 private:
  std::unordered_map<core::ChannelId, std::shared_ptr<EngineChannel>> channels_;
  std::unordered_map<EngineId, Endpoint> endpoints_;
};

/// What engines reported at the end of their answers, for the sessions that get these. The core doesn't know
/// the protocol's part of it: it is set aside when the AnswerEnd is queued, and is current while that is
/// dispatched.
class AnswerEnds {
 public:
  /// Before the AnswerEnd of this channel is dispatched.
  void add(core::ChannelId channel, const pg::BackendAnswerEnd& end) { pending_[channel] = end; }
  /// At the beginning of each event.
  void begin_event(const core::CoreEvent& event);
  /// The end that belongs to the event being dispatched; null where it is no AnswerEnd.
  [[nodiscard]] const pg::BackendAnswerEnd* current() const { return current_ ? &*current_ : nullptr; }

 private:
  std::unordered_map<core::ChannelId, pg::BackendAnswerEnd> pending_;
  std::optional<pg::BackendAnswerEnd> current_;
};

}  // namespace paddlestand::service
