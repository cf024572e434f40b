/// A client's connection: feeds its bytes to the frontend session, and writes the answers of the session and
/// of the engines.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "postgres_server.hpp"

namespace paddlestand::service {

/// Reads, writes and closes the connection of one client. Owned by the server's registry and by its running
/// coroutines. Used only on the event loop's thread. `server` must outlive it.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  using tcp = boost::asio::ip::tcp;
  using Clock = std::chrono::steady_clock;

  ClientSession(PostgresServer& server, tcp::socket socket, core::SessionId id, pg::CancelKey key);

  /// Starts the read loop.
  void start();
  /// Closes the connection immediately. Input that was not read resets it, so this is only for clients that
  /// have closed their side or do not read.
  void close();

  /// Queues an engine's answer, or part of it, for the client and leaves `bytes` empty. `mid_message`: its
  /// last message is incomplete.
  void deliver(std::string& bytes, bool mid_message);
  /// Handles the final answer to the request in flight. `end`: what the engine reported at the end of its
  /// answer, if it served the request.
  void on_answer(const core::Answer& answer, const pg::BackendAnswerEnd* end);

  /// Whether the client's side is open, as far as this machine knows. Closes the session if it is not.
  bool check_connected();

  /// Notifies the client of the server's shutdown and closes the connection, once no request is in flight.
  void begin_shutdown();

  /// Answers a request that was not passed to the core with an error.
  void reject_request(const pg::Fields& error);

  /// Closes the session if the client did not log in or read its answers within the time limits.
  void sweep(Clock::time_point now);

  [[nodiscard]] core::SessionId id() const { return id_; }
  [[nodiscard]] pg::CancelKey key() const { return key_; }
  [[nodiscard]] const pg::FrontendSession& frontend() const { return frontend_; }

  /// The query of the request in flight, stored until its final answer because a retry sends it again.
  void set_query(pg::EngineQuery query) { query_ = std::move(query); }
  [[nodiscard]] const pg::EngineQuery& query() const { return query_; }

 private:
  enum class State : std::uint8_t {
    open,
    closing,  ///< no longer reads; closes once all output is written
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
  std::string output_;  // to be written after writing_
  std::string writing_;  // the output being written
  std::size_t written_ = 0;  // bytes of writing_ already written
  std::size_t undelivered_bytes_ = 0;  // bytes of engines' answers that are not written yet
  State state_ = State::open;
  bool is_opened_ = false;  // SessionOpened was dispatched to the core
  bool is_processing_ = false;  // inside process_input()
  bool is_writing_ = false;  // output is being written, or waits for the socket
  bool is_output_full_ = false;  // the next request waits until the client reads its output
  bool is_mid_message_ = false;  // the last delivered message is incomplete
  bool is_server_shutting_down_ = false;
  Clock::time_point opened_at_;
  Clock::time_point last_write_progress_;
  boost::asio::steady_timer wakeup_;  // wakes the read loop while it does not wait for the socket
};

}  // namespace paddlestand::service
