/// A connection to an engine that carries one query at a time: it connects, logs in, sends queries and reads
/// their answers.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "postgres_server.hpp"
#include "resume_monitor.hpp"

namespace paddlestand::service {

/// Owned by the server's channels and by the coroutines that run for it; used on the loop's thread. `server`
/// must outlive it.
class EngineChannel : public std::enable_shared_from_this<EngineChannel> {
 public:
  using tcp = boost::asio::ip::tcp;

  EngineChannel(PostgresServer& server, core::ChannelId id, tcp::endpoint endpoint);

  /// Connects and logs in; the core is notified of the outcome (ChannelOpened, ChannelLost).
  void start();
  /// Closes the connection. The core has dropped the channel: it is not notified of anything any more.
  void close();
  /// Writes a query. What the socket doesn't take now is written later, and QuerySent dispatched in the same
  /// turn as the last byte. Nothing, where the process was resumed since `facts_as_of`: not a byte was
  /// written.
  std::optional<core::WriteResult> send(std::string bytes, ResumeCount facts_as_of);
  /// Stops reading answers until resume(): the client's window is full.
  void pause() { is_paused_ = true; }
  void resume();

  [[nodiscard]] pg::BackendConnection& protocol() { return protocol_; }
  [[nodiscard]] tcp::endpoint endpoint() const { return endpoint_; }
  /// An update of the resource grant names this channel's backend, not its query: until the engine has
  /// answered it, it could apply to the next query, so that none follows on this channel.
  void on_grant_update_begun() { ++grant_updates_in_flight_; }
  void on_grant_update_ended() { --grant_updates_in_flight_; }
  /// The buffered part of the answer was delivered or discarded.
  void on_answer_consumed() { reported_bytes_ = 0; }

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<bool> connect();
  boost::asio::awaitable<void> write_remaining();
  boost::asio::awaitable<void> write_login(std::string bytes);
  boost::asio::awaitable<void> wait_until_resumed();
  IoStatus receive_some(std::string& reply);
  IoStatus write_pending();
  void report_loss(core::ChannelLossReason reason);
  void on_event(const pg::BackendEvent& event);
  void on_answer_part(std::size_t new_bytes);
  void on_answer_end(const pg::BackendAnswerEnd& end, std::size_t new_bytes);

  PostgresServer& server_;
  core::ChannelId id_;
  tcp::endpoint endpoint_;
  StreamSocket socket_;
  pg::BackendConnection protocol_;
  std::string writing_;
  std::size_t written_ = 0;  // of writing_
  ResumeCount facts_as_of_{};  // on which the query that is being written was sent
  std::size_t grant_updates_in_flight_ = 0;
  std::size_t reported_bytes_ = 0;  // of the buffered answer, that the core was notified of
  bool is_closed_ = false;
  bool is_paused_ = false;
  TimePoint opened_at_;
  boost::asio::steady_timer wakeup_;  // of the reader, while it is paused
};

}  // namespace paddlestand::service
