/// A client's connection: its bytes to the frontend session, and what that and the engines answer back to it.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "postgres_server.hpp"

namespace paddlestand::service {

/// Reads, writes and closes the connection of one client. Owned by the server's registry and by the
/// coroutines that run for it; used on the loop's thread. `server` must outlive it.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  using tcp = boost::asio::ip::tcp;
  using Clock = std::chrono::steady_clock;

  ClientSession(PostgresServer& server, tcp::socket socket, core::SessionId id, pg::CancelKey key);

  /// Begins to read.
  void start();
  /// Closes the connection at once. Unread bytes reset it: for clients that have closed or that don't read.
  void close();

  /// Queues an engine's answer, or part of it, for the client; `bytes` is empty then. `mid_message`: the last
  /// message of it is incomplete.
  void deliver(std::string& bytes, bool mid_message);
  /// The final answer of the request in flight. `end`: what the engine reported at its end, if it served the
  /// request.
  void on_answer(const core::Answer& answer, const pg::BackendAnswerEnd* end);

  /// Whether the client has not closed its side, as far as this machine knows. Closes the session if it has.
  bool check_connected();

  /// The server shuts down: the client is notified and the connection closed, once no request is in flight.
  void begin_shutdown();

  /// Answers a request that never reached the core with an error.
  void reject_request(const pg::Fields& error);

  /// Closes a client that does not log in or does not read in time.
  void sweep(Clock::time_point now);

  [[nodiscard]] core::SessionId id() const { return id_; }
  [[nodiscard]] pg::CancelKey key() const { return key_; }
  [[nodiscard]] const pg::FrontendSession& frontend() const { return frontend_; }

  /// The query of the request in flight, kept until its final answer: it may have to be sent again.
  void set_query(pg::EngineQuery query) { query_ = std::move(query); }
  [[nodiscard]] const pg::EngineQuery& query() const { return query_; }

 private:
  enum class State : std::uint8_t {
    open,
    closing,  ///< reads no more, and closes once everything is written
    closed
  };

  boost::asio::awaitable<void> read_loop();
  boost::asio::awaitable<void> write_remaining();
  boost::asio::awaitable<void> wait_until_woken();
  [[nodiscard]] bool is_read_ahead_full() const;
  IoStatus receive_some();
  IoStatus write_pending();
  void begin_closing();
  void close_gracefully();
  void process_input();
  void handle(pg::FrontendEvent& event);
  void queue_frontend_output();
  [[nodiscard]] bool has_output_capacity() const;
  void resume_if_capacity();
  void flush();
  void on_bytes_written(std::size_t bytes);

  PostgresServer& server_;
  StreamSocket socket_;
  core::SessionId id_;
  pg::CancelKey key_;
  pg::FrontendSession frontend_;
  pg::EngineQuery query_;
  std::string output_;  // queued behind writing_
  std::string writing_;
  std::size_t written_ = 0;  // of writing_
  std::size_t undelivered_bytes_ = 0;  // of engines' answers, not written yet
  State state_ = State::open;
  bool is_opened_ = false;  // the core knows of it
  bool is_processing_ = false;  // inside process_input()
  bool is_writing_ = false;  // write_pending() runs, or waits for the socket
  bool is_output_full_ = false;  // the next request waits until the client has read
  bool is_mid_message_ = false;  // the last message delivered is incomplete
  bool is_server_shutting_down_ = false;
  Clock::time_point opened_at_;
  Clock::time_point last_write_progress_;
  boost::asio::steady_timer wakeup_;  // of the reader, while it waits for something other than bytes
};

}  // namespace paddlestand::service
