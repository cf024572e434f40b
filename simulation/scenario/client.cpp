#include "client.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "client_connection.hpp"
#include "protocol/pg/messages.hpp"
#include "protocol/pg/sqlstate.hpp"
#include "trace_checker/log_words.hpp"

namespace paddlestand::simulation {
namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;
namespace answer_kind = trace_checker::answer_kind;
namespace log_event = trace_checker::log_event;

namespace {

/// How long a client waits after its timeout, to observe whether and when an answer arrives.
constexpr auto observation_time = std::chrono::seconds(3);
/// SQLSTATE codes of a manager's answers (docs/operators/answers.md).
constexpr std::string_view sqlstate_rejected = "53400";
constexpr std::string_view sqlstate_shutting_down = "57P01";
constexpr std::string_view sqlstate_cancelled = "57014";  // by the client, or because the deadline passed
constexpr std::string_view fatal_severity = "FATAL";
/// Size limit of a statement's numeric tags.
constexpr std::size_t max_tags_bytes = 640;

/// The clock that all logs of a day share, in nanoseconds.
std::int64_t shared_clock() { return steady_clock::now().time_since_epoch().count(); }
double milliseconds(Duration duration) { return static_cast<double>(duration.count()) * 1e-6; }

std::vector<std::unique_ptr<asio::steady_timer>> make_wake_timers(asio::io_context& io, std::size_t count) {
  std::vector<std::unique_ptr<asio::steady_timer>> timers(count);
  for (auto& timer : timers)
    timer = std::make_unique<asio::steady_timer>(io, steady_clock::time_point::max());
  return timers;
}

OutcomeKind outcome_of_error(const pg::Fields& fields, bool is_retry_safe) {
  if (fields.code == sqlstate_rejected) return OutcomeKind::rejected;
  if (fields.code == sqlstate_shutting_down)
    return is_retry_safe ? OutcomeKind::rejected : OutcomeKind::failed;
  if (fields.code == sqlstate_cancelled)
    return fields.message.starts_with("canceling") ? OutcomeKind::cancelled : OutcomeKind::timed_out;
  return OutcomeKind::failed;
}

/// Whether no client retries after this outcome, regardless of the answer's retry advice.
bool is_final(OutcomeKind kind) {
  return kind == OutcomeKind::served || kind == OutcomeKind::cancelled || kind == OutcomeKind::disconnected ||
         kind == OutcomeKind::unanswered;
}

}  // namespace

std::string_view name_of(OutcomeKind kind) {
  static constexpr std::array<std::string_view, static_cast<std::size_t>(OutcomeKind::count)> names{
      "",
      answer_kind::served,
      answer_kind::rejected,
      answer_kind::failed,
      answer_kind::late,
      answer_kind::cancelled,
      answer_kind::disconnected,
      answer_kind::lost,
      answer_kind::unanswered,
      answer_kind::unreached};
  return names[static_cast<std::size_t>(kind)];
}

/// The answer received for one query.
struct Clients::Answer {
  Outcome outcome;
  std::uint64_t rows = 0;
  bool is_complete = false;  // ReadyForQuery was received
  bool is_fatal = false;  // an error ended the session, so that no ReadyForQuery follows

  void add_frame(char type, std::string_view body);
  void add_error(std::string_view body);
};

/// How the client's timer ended the connection, if it did.
struct Clients::Interruption {
  bool has_disconnected = false;
  bool has_timed_out = false;
};

void Clients::Answer::add_frame(char type, std::string_view body) {
  switch (type) {
    case 'D': ++rows; break;
    case 'C': outcome.kind = OutcomeKind::served; break;
    case 'E': add_error(body); break;
    case 'Z': is_complete = true; break;
    default: break;
  }
}

void Clients::Answer::add_error(std::string_view body) {
  const auto fields = pg::parse_fields(body);
  const pg::Advice advice = pg::read_advice(fields->hint);
  outcome.is_retry_safe = advice.harmless.value_or(false);
  outcome.retry_after = advice.retry_after;
  outcome.kind = outcome_of_error(*fields, outcome.is_retry_safe);
  is_fatal = fields->severity == fatal_severity;
}

Clients::Clients(asio::io_context& io, const Day& day, std::vector<std::uint16_t> ports, std::FILE* log)
    : io_(io),
      day_(day),
      ports_(std::move(ports)),
      log_(log),
      max_connections_(std::max<std::uint32_t>(1, day.sessions / static_cast<std::uint32_t>(ports_.size()))),
      idle_connections_(ports_.size()),
      connections_(ports_.size()),
      connection_free_(make_wake_timers(io, ports_.size())),
      results_(day.classes.size()) {}

// ---- Requests ----

void Clients::start_request(const Arrival& arrival) {
  ++open_requests_;
  asio::co_spawn(io_, run_request(arrival), [this](const std::exception_ptr& problem) {
    --open_requests_;
    if (problem) std::rethrow_exception(problem);
  });
}

asio::awaitable<void> Clients::run_request(Arrival arrival) {
  const auto start = steady_clock::now();
  for (std::uint32_t number = 0; number <= day_.retries; ++number) {
    const Outcome outcome = co_await attempt(arrival, number);
    if (!may_retry(arrival, outcome, steady_clock::now() - start)) co_return;
    const bool uses_retry_after = arrival.respects_retry_after && outcome.retry_after;
    const Duration wait = uses_retry_after ? *outcome.retry_after : day_.retry_backoff * (number + 1);
    asio::steady_timer timer(io_, wait);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

// A request that may have been executed is retried only if it is idempotent.
bool Clients::may_retry(const Arrival& arrival, const Outcome& outcome, Duration elapsed) const {
  if (is_final(outcome.kind)) return false;
  const DayClass& day_class = day_.classes[arrival.class_index];
  const bool is_key_remembered =
      day_class.idempotency == Idempotency::idempotent_with_key && elapsed < day_class.idempotency_window / 2;
  if (!outcome.is_retry_safe && day_class.idempotency != Idempotency::idempotent && !is_key_remembered)
    return false;
  return elapsed <= day_class.deadline;
}

asio::awaitable<Clients::Outcome> Clients::attempt(const Arrival& arrival, std::uint32_t number) {
  const auto connection = co_await acquire_connection(arrival.manager);
  if (!connection) co_return Outcome{OutcomeKind::connect_failed, true, {}};
  const std::string id = std::to_string(arrival.request) + "." + std::to_string(number);
  std::string bytes;
  pg::put_query(bytes, statement_of(arrival, id));
  log_request(arrival, id);
  ++results_[arrival.class_index].attempts;
  const auto sent_at = steady_clock::now();
  asio::steady_timer timer(io_);
  const auto interruption = std::make_shared<Interruption>();
  schedule_interruption(arrival, connection, timer, interruption);
  const Answer answer = co_await exchange(id, connection, std::move(bytes));
  timer.cancel();
  const Outcome outcome = outcome_of(answer, *interruption);
  const double elapsed_ms = milliseconds(steady_clock::now() - sent_at);
  log_answer(id, outcome, answer.rows);
  record(arrival, outcome, elapsed_ms);
  if (!answer.is_complete) connection->close();
  release(connection);
  co_return outcome;
}

Clients::Outcome Clients::outcome_of(const Answer& answer, const Interruption& interruption) {
  Outcome outcome = answer.outcome;
  if (interruption.has_disconnected) {
    outcome.kind = OutcomeKind::disconnected;
  } else if (!answer.is_complete && !answer.is_fatal) {
    outcome.kind = interruption.has_timed_out ? OutcomeKind::unanswered : OutcomeKind::lost;
  }
  return outcome;
}

asio::awaitable<Clients::Answer> Clients::exchange(const std::string& id, ConnectionPtr connection,
                                                   std::string bytes) {
  Answer answer;
  error_code error;
  co_await asio::async_write(connection->socket, asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, error));
  while (!error && !answer.is_complete) {
    while (const auto frame = connection->frames.next()) {
      if (answer.is_complete) {
        on_frame_after_answer(id, *connection, frame->type, frame->body);
        break;
      }
      answer.add_frame(frame->type, frame->body);
    }
    if (answer.is_complete || connection->frames.bad()) break;
    const std::size_t received = co_await connection->socket.async_read_some(
        asio::buffer(connection->buffer), asio::redirect_error(asio::use_awaitable, error));
    if (!error) connection->frames.feed({connection->buffer.data(), received});
  }
  co_return answer;
}

// Only the end of the session may follow an answer.
void Clients::on_frame_after_answer(const std::string& id, Connection& connection, char type,
                                    std::string_view body) {
  const auto fields = type == 'E' ? pg::parse_fields(body) : std::nullopt;
  if (fields && fields->severity == fatal_severity) {
    connection.close();
    return;
  }
  write_log({{"t", shared_clock()}, {"what", std::string(log_event::surplus_message)}, {"id", id}});
}

// The handlers share ownership of the connection and the interruption, as they may run after the attempt has
// ended.
void Clients::schedule_interruption(const Arrival& arrival, const ConnectionPtr& connection,
                                    asio::steady_timer& timer,
                                    const std::shared_ptr<Interruption>& interruption) {
  if (arrival.cancel_after) {
    schedule_cancel(*arrival.cancel_after, connection, timer);
    return;
  }
  if (arrival.disconnect_after) {
    timer.expires_after(*arrival.disconnect_after);
    timer.async_wait([connection, interruption](const error_code& stopped) {
      if (stopped) return;
      interruption->has_disconnected = true;
      connection->close();
    });
    return;
  }
  timer.expires_after(arrival.client_timeout + observation_time);
  timer.async_wait([connection, interruption](const error_code& stopped) {
    if (stopped) return;
    interruption->has_timed_out = true;
    connection->close();
  });
}

void Clients::schedule_cancel(Duration delay, const ConnectionPtr& connection, asio::steady_timer& timer) {
  timer.expires_after(delay);
  timer.async_wait([this, connection](const error_code& stopped) {
    if (stopped) return;
    const pg::CancelKey key = connection->key;
    asio::co_spawn(io_, send_cancel(connection->manager, key.process, key.secret), asio::detached);
  });
}

void Clients::record(const Arrival& arrival, const Outcome& outcome, double elapsed_ms) {
  ClassResults& results = results_[arrival.class_index];
  ++results.by_outcome[static_cast<std::size_t>(outcome.kind)];
  if (outcome.kind == OutcomeKind::served) results.served_ms.push_back(elapsed_ms);
}

// ---- Logs and statements ----

std::string Clients::statement_of(const Arrival& arrival, const std::string& id) const {
  const DayClass& day_class = day_.classes[arrival.class_index];
  std::array<char, max_tags_bytes> tags{};
  std::snprintf(
      tags.data(), tags.size(),
      "select 1 /*class='%s',cost_ms='%.3f',memory_mb='%.1f',deadline_ms='%.0f',tables='%u',sim_id='%s',"
      "sim_work_ms='%.3f',sim_threads='%g',sim_memory_mb='%.1f',sim_reads='%g',sim_rows='%u',"
      "sim_row_bytes='%u',sim_write='%d'",
      day_class.name.c_str(), arrival.estimated_s * 1e3, day_class.memory_mb,
      milliseconds(arrival.client_timeout), arrival.tables, id.c_str(), arrival.work_s * 1e3,
      day_class.threads, day_class.memory_mb, day_class.read_share, day_class.rows, day_class.row_bytes,
      day_class.writes ? 1 : 0);
  std::string statement = tags.data();
  if (arrival.tenant) statement += ",tenant='" + day_.tenants[*arrival.tenant].name + "'";
  if (arrival.key > 0) statement += ",key='k" + std::to_string(arrival.key) + "'";
  return statement + "*/";
}

void Clients::log_request(const Arrival& arrival, const std::string& id) {
  nlohmann::json line{{"t", shared_clock()},
                      {"what", std::string(log_event::request_sent)},
                      {"id", id},
                      {"request", arrival.request},
                      {"manager", "m" + std::to_string(arrival.manager + 1)},
                      {"class", day_.classes[arrival.class_index].name},
                      {"patience_ms", milliseconds(arrival.client_timeout)}};
  if (arrival.key > 0) line["key"] = "k" + std::to_string(arrival.key);
  write_log(line);
}

void Clients::log_answer(const std::string& id, const Outcome& outcome, std::uint64_t rows) {
  write_log({{"t", shared_clock()},
             {"what", std::string(log_event::answer_received)},
             {"id", id},
             {"kind", std::string(name_of(outcome.kind))},
             {"rows", rows},
             {"harmless", outcome.is_retry_safe}});
}

void Clients::write_log(const nlohmann::json& line) {
  const std::string text = line.dump() + "\n";
  std::fwrite(text.data(), 1, text.size(), log_);
}

}  // namespace paddlestand::simulation
