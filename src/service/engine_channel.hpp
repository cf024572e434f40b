// A connection to an engine: connect, startup, one query after another.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "postgres_server.hpp"

namespace paddlestand::service {

class EngineChannel : public std::enable_shared_from_this<EngineChannel> {
 public:
  using tcp = boost::asio::ip::tcp;

  EngineChannel(PostgresServer& manager, core::ChannelId id, tcp::endpoint at);

  void start();
  void close();
  // What is written only partly goes on by itself, and QuerySent is told in the turn of the last byte.
  core::WriteResult send(std::string bytes);
  void pause() { paused_ = true; }
  void resume();

  [[nodiscard]] pg::BackendConnection& protocol() { return protocol_; }
  [[nodiscard]] tcp::endpoint at() const { return at_; }
  // A change of terms names this channel's process, not its query: until it is known to have been made or
  // dropped, it could strike the next query, so that none follows on this channel.
  void terms_change_begins() { ++terms_changes_; }
  void terms_change_ended() { --terms_changes_; }
  // What is kept of an answer, told to the core so far.
  void taken() { told_ = 0; }

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<bool> connect();
  boost::asio::awaitable<void> write_on();
  boost::asio::awaitable<void> write_reply(std::string bytes);
  boost::asio::awaitable<void> rest_until_resumed();
  IoStatus read_some(std::string& reply);
  IoStatus write_some();
  void lost(core::ChannelLossReason why);
  void on_events(const std::vector<pg::BackendEvent>& events);

  PostgresServer& manager_;
  core::ChannelId id_;
  tcp::endpoint at_;
  StreamSocket socket_;
  pg::BackendConnection protocol_;
  std::string writing_;
  std::size_t written_ = 0;
  std::size_t terms_changes_ = 0;  // on their way to the engine
  std::size_t told_ = 0;  // bytes of the kept answer that the core knows of
  bool closed_ = false, paused_ = false, writes_ = false;
  TimePoint opened_;
  boost::asio::steady_timer wake_;
};

}  // namespace paddlestand::service
