/// A PostgreSQL connection to an engine that runs one query at a time: connects, logs in, sends queries and
/// reads their answers.
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

/// Owned by the server's channels and by its running coroutines. Used only on the event loop's thread.
/// `server` must outlive it.
class EngineChannel : public std::enable_shared_from_this<EngineChannel> {
 public:
  using tcp = boost::asio::ip::tcp;

  EngineChannel(PostgresServer& server, core::ChannelId id, tcp::endpoint endpoint);

  /// Connects and logs in, and notifies the core of the result (ChannelOpened or ChannelLost).
  void start();
  /// Closes the connection. The core has removed the channel and gets no further events about it.
  void close();
  /// Writes a query. Bytes that the socket does not accept now are written later, and QuerySent is dispatched
  /// in the same turn of the event loop as the last byte. Returns nullopt, with no byte written, if the
  /// process was resumed since `facts_as_of`.
  std::optional<core::WriteResult> send(std::string bytes, ResumeCount facts_as_of);
  /// Stops reading answers until resume(), because the client's window is full.
  void pause() { is_paused_ = true; }
  void resume();

  [[nodiscard]] pg::BackendConnection& protocol() { return protocol_; }
  [[nodiscard]] tcp::endpoint endpoint() const { return endpoint_; }
  /// An update of the resource grant addresses this channel's backend rather than its query. Until the engine
  /// has answered the update it could apply to the next query, so the channel is not reused before that.
  void on_grant_update_begun() { ++grant_updates_in_flight_; }
  void on_grant_update_ended() { --grant_updates_in_flight_; }
  /// Called when the buffered part of the answer was delivered or discarded.
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
  std::string writing_;  // the query being written
  std::size_t written_ = 0;  // bytes of writing_ already written
  ResumeCount facts_as_of_{};  // resume count when the decision to send the query was made
  std::size_t grant_updates_in_flight_ = 0;
  std::size_t reported_bytes_ = 0;  // bytes of the buffered answer that were reported to the core
  bool is_closed_ = false;
  bool is_paused_ = false;
  TimePoint opened_at_;
  boost::asio::steady_timer wakeup_;  // wakes the paused read loop
};

}  // namespace paddlestand::service
