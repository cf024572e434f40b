/// One PostgreSQL connection to a test engine: its messages, session settings and current query.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "engine_context.hpp"
#include "protocol/pg/frame.hpp"
#include "protocol/pg/messages.hpp"
#include "query_profile.hpp"

namespace paddlestand::test_engine {

/// Kept alive by its coroutines. Used only on the thread of the event loop.
class Session final : public std::enable_shared_from_this<Session>, public JobOwner {
 public:
  using tcp = boost::asio::ip::tcp;

  Session(std::shared_ptr<EngineContext> engine, tcp::socket socket, pg::CancelKey key);
  ~Session() override;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Reads and processes messages until the connection ends.
  boost::asio::awaitable<void> run();

  /// Cancels the running query, if any.
  void cancel();
  void on_job_end(const simulation::JobEnd& end) override;
  /// Sends a notice with the progress of the running query, if any.
  void send_progress();
  /// Replaces the priority and the memory grant of the running query, if any.
  void set_terms(std::uint8_t priority, double memory_mb);
  /// Sends the output that was withheld while the engine hung.
  void send_withheld_output();
  /// Resets the connection, as happens when the process of an engine ends.
  void abort();

  [[nodiscard]] const pg::CancelKey& cancel_key() const { return cancel_key_; }

 private:
  enum class QueryProtocol : std::uint8_t { simple, extended };

  // Connection (session.cpp).
  bool read_frames();
  bool on_startup(std::string_view body);
  void accept_session();
  void reject_session();
  boost::asio::awaitable<bool> flush();
  void process_messages();
  void process_message(char type, const std::string& body);
  void on_simple_query(const std::string& statement);
  void on_describe(const std::string& body);
  void on_closed();

  // Queries (session_query.cpp).
  bool execute_setting(const std::string& text);
  void execute_set_terms(const std::string& text);
  void execute_set(const std::vector<std::string>& words);
  void begin_query(const std::string& text, QueryProtocol protocol);
  void start_job();
  void reject_overloaded();
  void fail(const std::string& code, const std::string& message);
  boost::asio::awaitable<void> finish_query();
  boost::asio::awaitable<void> wait_for_end();
  boost::asio::awaitable<bool> send_answer();
  boost::asio::awaitable<bool> send_rows();
  void put_description();
  void put_ready();

  std::shared_ptr<EngineContext> engine_;
  tcp::socket socket_;
  pg::CancelKey cancel_key_;
  pg::FrameReader frames_;
  boost::asio::steady_timer query_end_event_;  // cancelled when the query or the session ends
  std::deque<std::pair<char, std::string>> pending_messages_;  // received completely, not processed yet
  std::string output_;
  std::string manager_name_;  // the application_name of the connection
  std::string statement_;  // of the last Parse message
  std::uint8_t priority_ = 1;
  double memory_grant_mb_ = 0;
  QueryProfile query_profile_;
  simulation::JobId job_id_ = 0;  // 0: no job is running
  std::optional<simulation::JobEnd> job_end_;
  QueryProtocol protocol_ = QueryProtocol::simple;
  bool is_logged_in_ = false;
  bool has_query_ = false;
  bool is_cancelled_ = false;
  bool skips_to_sync_ = false;  // after an error in the extended query protocol
  bool is_writing_ = false;
  bool is_closed_ = false;
};

}  // namespace paddlestand::test_engine
