// Queries and settings of a session.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

#include "protocol/pg/sqlstate.hpp"
#include "protocol/sql/scan.hpp"
#include "session.hpp"
#include "sqlstates.hpp"

namespace paddlestand::test_engine {
namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t flush_threshold_bytes = std::size_t{256} * 1024;

/// select paddlestand.set_terms(PROCESS, PRIORITY, MEMORY_MB)
bool is_set_terms(const std::vector<std::string>& words) {
  return words[0] == "select" && words.size() > 4 && words[1] == "paddlestand" && words[3] == "set_terms";
}

}  // namespace

// ---- Settings ----

/// Executes SET, RESET, paddlestand.set_terms() and the empty query of a health check. Returns false for any
/// other statement.
bool Session::execute_setting(const std::string& text) {
  const auto scanned = sql::scan(text);
  if (scanned.statements.empty()) {
    pg::put_empty(output_, 'I');
    return true;
  }
  for (const auto& statement : scanned.statements) {
    if (is_set_terms(statement.tokens)) {
      execute_set_terms(text);
      return true;
    }
    if (statement.tokens[0] != "set" && statement.tokens[0] != "reset") return false;
    execute_set(statement.tokens);
  }
  return true;
}

void Session::execute_set_terms(const std::string& text) {
  std::string arguments = text.substr(text.find('(') + 1);
  std::erase(arguments, ',');
  std::istringstream in(arguments);
  std::uint32_t process = 0;
  unsigned priority = 0;
  double memory_mb = 0;
  in >> process >> priority >> memory_mb;
  if (const auto session = engine_->find_session(process))
    session->set_terms(static_cast<std::uint8_t>(priority), memory_mb);
  pg::put_complete(output_, "SELECT 0");
}

void Session::execute_set(const std::vector<std::string>& words) {
  const bool is_set = words[0] == "set";
  std::string name = words.size() > 1 ? words[1] : "";
  if (words.size() > 3 && words[2] == ".") name += "." + words[3];
  const std::string value = words.back().starts_with('\'') ? words.back().substr(1) : words.back();
  if (name == "paddlestand.priority")
    priority_ = is_set ? static_cast<std::uint8_t>(parse_number(value, 1)) : 1;
  if (name == "work_mem") memory_grant_mb_ = is_set ? parse_number(value, 0) : 0;
  pg::put_complete(output_, is_set ? "SET" : "RESET");
}

// ---- Queries ----

void Session::begin_query(const std::string& text, QueryProtocol protocol) {
  protocol_ = protocol;
  query_profile_ = read_profile(text);
  engine_->log.write(log_event::query_received, query_profile_.id,
                     {{"manager", manager_name_},
                      {"link", cancel_key_.process},
                      {"class", query_profile_.tag("class")},
                      {"key", query_profile_.tag("key")}});
  if (query_profile_.tags.contains("sim_error")) {
    fail(query_profile_.tag("sim_error"), "requested by the query");
  } else if (engine_->faults.overloaded) {
    reject_overloaded();
  } else if (engine_->draw_bernoulli(engine_->faults.failure_share)) {
    engine_->log.write(log_event::query_failed, query_profile_.id);
    fail(sqlstate::internal_error, "the engine fails fast");
  } else {
    start_job();
  }
}

void Session::start_job() {
  simulation::Job job = query_profile_.job;
  job.id = engine_->jobs.next_id();
  job.priority = priority_;
  job.granted_mb = memory_grant_mb_;
  switch (engine_->jobs.start(job, weak_from_this())) {
    case simulation::Admission::accepted: break;
    case simulation::Admission::overloaded: reject_overloaded(); return;
    case simulation::Admission::crashed:
      engine_->log.write(log_event::engine_crashed, query_profile_.id);
      fail(sqlstate::crash_shutdown, "the engine crashed");
      return;
  }
  engine_->log.write(log_event::query_started, query_profile_.id);
  job_id_ = job.id;
  has_query_ = true;
  asio::co_spawn(
      engine_->io_context, [self = shared_from_this()] { return self->finish_query(); }, asio::detached);
}

void Session::reject_overloaded() {
  engine_->log.write(log_event::query_rejected, query_profile_.id);
  fail(sqlstate::too_many_connections, "the engine is overloaded");
}

void Session::fail(const std::string& code, const std::string& message) {
  pg::put_error(output_, pg::error(code, message));
  if (protocol_ == QueryProtocol::extended) {
    skips_to_sync_ = true;
  } else {
    put_ready();
  }
}

asio::awaitable<void> Session::finish_query() {
  const auto self = shared_from_this();
  co_await wait_for_end();
  if (is_closed_) co_return;
  if (is_cancelled_) {
    is_cancelled_ = false;
    fail(sqlstate::query_canceled, "canceling statement due to user request");
  } else {
    // If a fault withholds the answer, the session stays open and sends nothing more.
    if (!co_await send_answer()) co_return;
  }
  has_query_ = false;
  process_messages();
  if (!output_.empty()) { co_await flush(); }
  if (engine_->faults.half_close) {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
}

asio::awaitable<void> Session::wait_for_end() {
  error_code woken;
  while (!is_closed_ && !is_cancelled_ && !job_end_) {
    co_await query_end_event_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    query_end_event_.expires_at(steady_clock::time_point::max());
  }
}

/// Returns false if a fault withheld the answer or a part of it.
asio::awaitable<bool> Session::send_answer() {
  const simulation::JobEnd end = *job_end_;
  job_end_.reset();
  engine_->log.write(log_event::query_applied, query_profile_.id);
  if (engine_->draw_bernoulli(engine_->faults.lost_answer_share)) {
    engine_->log.write(log_event::answer_lost, query_profile_.id);
    co_return false;
  }
  if (engine_->faults.stop_before_answer) co_return false;
  if (protocol_ == QueryProtocol::simple) put_description();
  if (!co_await send_rows()) co_return false;
  pg::put_complete(output_, "SELECT " + std::to_string(query_profile_.rows));
  pg::put_parameter(output_, "paddlestand.work_ms", std::to_string(end.work * 1000));
  pg::put_parameter(output_, "paddlestand.memory_mb", std::to_string(end.memory_mb));
  if (engine_->faults.stop_before_ready) {
    co_await flush();
    co_return false;
  }
  if (protocol_ == QueryProtocol::simple) put_ready();
  engine_->log.write(log_event::query_answered, query_profile_.id);
  co_return true;
}

asio::awaitable<bool> Session::send_rows() {
  const bool stops_halfway = engine_->faults.stop_mid_answer;
  const std::string value(query_profile_.row_bytes, 'x');
  const std::string_view cell = value;
  for (std::size_t i = 0; i < query_profile_.rows; ++i) {
    pg::put_row(output_, {&cell, 1});
    if (stops_halfway && i >= query_profile_.rows / 2) {
      co_await flush();
      engine_->log.write(log_event::answer_truncated, query_profile_.id);
      co_return false;
    }
    const bool is_buffer_full = output_.size() >= flush_threshold_bytes;
    if (is_buffer_full && !engine_->faults.hang && !co_await flush()) co_return false;
  }
  co_return true;
}

void Session::put_description() {
  pg::Column column;  // text of variable size
  column.name = "value";
  pg::put_row_description(output_, {&column, 1});
}

void Session::put_ready() {
  pg::put_parameter(output_, "paddlestand.inflight", engine_->load_report());
  pg::put_ready(output_, 'I');
}

}  // namespace paddlestand::test_engine
