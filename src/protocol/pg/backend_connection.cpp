#include "backend_connection.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "bytes.hpp"
#include "sqlstate.hpp"

namespace paddlestand::pg {
namespace {

// Messages up to this size are buffered until they are complete. Larger messages of an answer are passed
// through as they arrive, so that a row of a gigabyte needs no buffer of that size. Messages that are parsed
// here are never that large.
constexpr std::size_t max_buffered_message = std::size_t{64} * 1024;
constexpr std::size_t header_bytes = 5;  // type and length
constexpr std::uint32_t length_bytes = 4;  // included in the length
constexpr std::uint32_t max_length = 0x40000000;  // PostgreSQL's limit: one gigabyte
constexpr double max_work_ms = 1e12;
constexpr double nanoseconds_per_ms = 1e6;
constexpr std::string_view engine_notice = "01P5T";  // SQLSTATE of notices about the query in flight

/// The length in the header of a message; the header must be complete.
std::uint32_t announced_length(std::string_view message) { return Reader(message.substr(1)).u32(); }

std::size_t message_size(std::uint32_t length) { return header_bytes - length_bytes + length; }

std::optional<double> read_number(std::string_view text) {
  double value = 0;
  const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (problem != std::errc{} || end != text.data() + text.size() || !std::isfinite(value) || value < 0)
    return std::nullopt;
  return value;
}

std::optional<Duration> read_work(std::string_view text) {
  const auto milliseconds = read_number(text);
  if (!milliseconds || *milliseconds >= max_work_ms) return std::nullopt;
  return Duration{std::llround(*milliseconds * nanoseconds_per_ms)};
}

/// Formats a value as an SQL string literal.
std::string quoted(std::string_view value) {
  std::string literal = "'";
  for (const char character : value) {
    if (character == '\'') literal.push_back('\'');
    if (character != '\0') literal.push_back(character);
  }
  literal.push_back('\'');
  return literal;
}

/// The settings for a query's resource grant.
std::map<std::string, std::string> grant_settings(std::uint8_t priority, double memory_mb) {
  std::map<std::string, std::string> settings;
  settings["paddlestand.priority"] = std::to_string(priority);
  if (memory_mb > 0) settings["work_mem"] = std::to_string(std::llround(std::ceil(memory_mb))) + "MB";
  return settings;
}

/// The size of the complete DataRow messages at the beginning of `bytes`.
std::size_t leading_rows(std::string_view bytes) {
  std::size_t rows = 0;
  while (rows + header_bytes <= bytes.size() && bytes[rows] == backend_message::data_row) {
    const std::size_t size = message_size(announced_length(bytes.substr(rows)));
    if (size < header_bytes || size > bytes.size() - rows) break;
    rows += size;
  }
  return rows;
}

}  // namespace

std::string settings_change(const std::map<std::string, std::string>& current,
                            const std::map<std::string, std::string>& target) {
  std::string statements;
  for (const auto& [name, value] : current)
    if (!target.contains(name)) statements += "RESET " + name + ";";
  for (const auto& [name, value] : target) {
    const auto found = current.find(name);
    if (found == current.end() || found->second != value)
      statements += "SET " + name + "=" + quoted(value) + ";";
  }
  return statements;
}

// ---- To the engine ----

std::string BackendConnection::start(EngineLogin login) {
  login_ = std::move(login);
  std::string bytes;
  const std::vector<std::pair<std::string, std::string>> parameters{
      {"user", login_.user}, {"database", login_.database}, {"application_name", login_.application}};
  put_startup(bytes, parameters);
  return bytes;
}

std::string BackendConnection::encode_query(const EngineQuery& query, std::uint8_t priority,
                                            double memory_mb) {
  auto target = grant_settings(priority, memory_mb);
  for (const auto& [name, value] : query.settings) target.emplace(name, value);
  const std::string change = settings_change(settings_, target);
  std::string bytes;
  if (!change.empty()) {
    bytes.reserve(change.size() + query.bytes.size() + header_bytes + 1);
    put_query(bytes, change);
    settings_ = std::move(target);
  }
  bytes += query.bytes;
  begin_answer(change.empty() ? State::answering : State::setting);
  parse_from_client_ = query.parse_from_client;
  return bytes;
}

std::string BackendConnection::probe() {
  std::string bytes;
  put_query(bytes, "");
  begin_answer(State::answering);
  return bytes;
}

void BackendConnection::begin_answer(State state) {
  state_ = state;
  parse_from_client_.clear();
  parses_completed_ = 0;
  has_rows_ = false;
  end_ = {};
}

// ---- From the engine ----

void BackendConnection::report_protocol_error(std::string reason, Events& events) {
  if (state_ == State::broken) return;
  state_ = State::broken;
  buffer_.clear();
  events.emplace_back(BackendProtocolError{std::move(reason)});
}

void BackendConnection::feed(std::string_view bytes, Events& events, std::string& reply) {
  const std::size_t answer_before = answer_.size();
  const std::size_t events_before = events.size();
  // Completes a buffered partial message first; the messages after it are read without copying.
  while (!buffer_.empty() && !bytes.empty() && state_ != State::broken) {
    const std::size_t required_bytes =
        buffer_.size() < header_bytes ? header_bytes : message_size(announced_length(buffer_));
    const std::size_t part = std::min(required_bytes - buffer_.size(), bytes.size());
    buffer_.append(bytes.substr(0, part));
    bytes.remove_prefix(part);
    std::string message;
    message.swap(buffer_);
    split(message, events, reply);
  }
  if (state_ != State::broken && !bytes.empty()) split(bytes, events, reply);
  if (state_ == State::broken) return;
  const bool has_ended =
      std::any_of(events.begin() + static_cast<std::ptrdiff_t>(events_before), events.end(),
                  [](const BackendEvent& event) { return std::holds_alternative<BackendAnswerEnd>(event); });
  if (!has_ended && answer_.size() > answer_before) events.emplace_back(BackendAnswerPart{});
}

/// Handles the complete messages and buffers a partial one after them.
void BackendConnection::split(std::string_view bytes, Events& events, std::string& reply) {
  while (!bytes.empty() && state_ != State::broken) {
    if (pass_through(bytes)) continue;
    if (bytes.size() < header_bytes) break;
    const char type = bytes[0];
    const std::uint32_t length = announced_length(bytes);
    if (length < length_bytes || length > max_length) {
      report_protocol_error("invalid message length " + std::to_string(length), events);
      return;
    }
    const std::size_t size = message_size(length);
    if (bytes.size() < size && size > max_buffered_message) {
      if (begin_pass_through(type, size)) continue;
      report_protocol_error("unexpected message of " + std::to_string(length) + " bytes", events);
      return;
    }
    if (bytes.size() < size) break;
    on_message(type, bytes.substr(header_bytes, size - header_bytes), events, reply);
    bytes.remove_prefix(size);
  }
  if (state_ != State::broken) buffer_.assign(bytes);
}

/// Moves the beginning of `bytes` to the answer if it needs no parsing: part of a large message, or rows,
/// which make up most of the input. Returns false if nothing was moved.
bool BackendConnection::pass_through(std::string_view& bytes) {
  std::size_t count = 0;
  if (pass_through_bytes_ > 0) {
    count = std::min(pass_through_bytes_, bytes.size());
    pass_through_bytes_ -= count;
  } else if (state_ == State::answering) {
    count = leading_rows(bytes);
    if (count > 0) has_rows_ = true;
  }
  answer_.append(bytes.substr(0, count));
  bytes.remove_prefix(count);
  return count > 0;
}

/// Starts to pass through a message that is too large to be buffered. Returns false if it can't be part of an
/// answer.
bool BackendConnection::begin_pass_through(char type, std::size_t message_bytes) {
  const bool may_be_large = type == backend_message::data_row || type == backend_message::row_description ||
                            type == backend_message::copy_data;
  if (state_ != State::answering || !may_be_large) return false;
  has_rows_ = true;
  pass_through_bytes_ = message_bytes;
  return true;
}

void BackendConnection::on_message(char type, std::string_view body, Events& events, std::string& reply) {
  switch (state_) {
    case State::starting: on_startup(type, body, events, reply); break;
    case State::idle: on_idle(type, body, events); break;
    case State::setting: on_setting_answer(type, body); break;
    case State::answering: on_answer(type, body, events); break;
    case State::broken: break;
  }
}

void BackendConnection::on_idle(char type, std::string_view body, Events& events) {
  switch (type) {
    case backend_message::parameter_status: on_parameter_status(body); break;
    case backend_message::notice_response:
    case backend_message::notification_response:
    case backend_message::error_response: break;  // sent before the engine closes the connection
    default: report_protocol_error(std::string("message '") + type + "' on an idle connection", events);
  }
}

/// Errors are ignored: if the engine rejects a setting, the query runs without it.
void BackendConnection::on_setting_answer(char type, std::string_view body) {
  if (type == backend_message::ready_for_query) state_ = State::answering;
  if (type == backend_message::parameter_status) on_parameter_status(body);
}

// ---- Login ----

void BackendConnection::on_startup(char type, std::string_view body, Events& events, std::string& reply) {
  switch (type) {
    case backend_message::authentication: on_authentication(body, events, reply); return;
    case backend_message::backend_key_data: {
      Reader reader(body);
      key_ = {reader.u32(), reader.u32()};
      if (!reader.done()) report_protocol_error("BackendKeyData has a wrong length", events);
      return;
    }
    case backend_message::parameter_status: on_parameter_status(body); return;
    case backend_message::notice_response: return;
    case backend_message::error_response: {
      const auto fields = parse_fields(body);
      if (!fields) {
        report_protocol_error("malformed ErrorResponse", events);
        return;
      }
      events.emplace_back(BackendLoginRejected{is_capacity_error(fields->code), *fields});
      state_ = State::broken;
      return;
    }
    case backend_message::ready_for_query:
      state_ = State::idle;
      events.emplace_back(BackendReady{});
      return;
    default: report_protocol_error(std::string("message '") + type + "' during startup", events);
  }
}

void BackendConnection::on_authentication(std::string_view body, Events& events, std::string& reply) {
  Reader reader(body);
  const std::uint32_t code = reader.u32();
  if (code == authentication::ok) return;
  if (code == authentication::sasl && !login_.password.empty() && body.find(scram_mechanism) != body.npos) {
    scram_.emplace(login_.password, login_.nonce);
    put_sasl_initial_response(reply, scram_mechanism, scram_->first());
    return;
  }
  if (code == authentication::sasl_continue && scram_) {
    if (const auto client_final = scram_->last(reader.remaining_bytes())) {
      put_password(reply, *client_final);
      return;
    }
  }
  if (code == authentication::sasl_final && scram_ && scram_->verify(reader.remaining_bytes())) return;
  report_protocol_error("authentication " + std::to_string(code) + " is not supported or failed", events);
}

// ---- Answers ----

void BackendConnection::on_answer(char type, std::string_view body, Events& events) {
  switch (type) {
    case backend_message::row_description:
    case backend_message::data_row:
      has_rows_ = true;
      put_raw(answer_, type, body);
      break;
    case backend_message::parameter_description:
    case backend_message::no_data:
    case backend_message::command_complete:
    case backend_message::empty_query_response:
    case backend_message::portal_suspended:
    case backend_message::bind_complete:
    case backend_message::close_complete: put_raw(answer_, type, body); break;
    case backend_message::parse_complete: on_parse_complete(body, events); break;
    case backend_message::error_response: on_error(body, events); break;
    case backend_message::notice_response:
      if (!on_engine_notice(body, events)) put_raw(answer_, type, body);
      break;
    case backend_message::parameter_status: on_parameter_status(body); break;
    case backend_message::notification_response: break;  // LISTEN is not supported
    case backend_message::ready_for_query: on_ready(body, events); break;
    default: report_protocol_error(std::string("message '") + type + "' in an answer", events);
  }
}

void BackendConnection::on_parse_complete(std::string_view body, Events& events) {
  if (parses_completed_ >= parse_from_client_.size()) {
    report_protocol_error("ParseComplete without a Parse message", events);
    return;
  }
  const bool is_from_client = parse_from_client_[parses_completed_];
  ++parses_completed_;
  if (!is_from_client) return;
  ++end_.client_parses_completed;
  put_raw(answer_, backend_message::parse_complete, body);
}

void BackendConnection::on_error(std::string_view body, Events& events) {
  const auto fields = parse_fields(body);
  if (!fields) {
    report_protocol_error("malformed ErrorResponse", events);
    return;
  }
  end_.ending = ending_of_error(fields->code, has_rows_);
  end_.error_code = fields->code;
  put_raw(answer_, backend_message::error_response, body);
}

void BackendConnection::on_ready(std::string_view body, Events& events) {
  if (body.size() != 1) {
    report_protocol_error("ReadyForQuery has a wrong length", events);
    return;
  }
  end_.reusable = body[0] == transaction_idle;
  state_ = State::idle;
  events.emplace_back(std::move(end_));
  end_ = {};
}

/// Reads the parameters with which an engine reports its load and the resources that the query used. No
/// parameter is forwarded: the manager reports all parameters of the client's session itself.
void BackendConnection::on_parameter_status(std::string_view body) {
  Reader reader(body);
  const std::string_view name = reader.text();
  const std::string_view value = reader.text();
  if (reader.bad()) return;
  if (name == "paddlestand.inflight") {
    end_.report.queries = read_number(value);
  } else if (name == "paddlestand.work_ms") {
    if (const auto work = read_work(value)) end_.work = work;
  } else if (name == "paddlestand.memory_mb") {
    end_.memory_mb = read_number(value);
  }
}

/// Handles a progress notice. Returns false for any other notice, which is for the client.
bool BackendConnection::on_engine_notice(std::string_view body, Events& events) {
  const auto fields = parse_fields(body);
  if (!fields || fields->code != engine_notice) return false;
  constexpr std::string_view progress = "progress=";
  const std::string_view text = fields->message;
  if (text.starts_with(progress)) {
    if (const auto level = read_number(text.substr(progress.size())))
      events.emplace_back(BackendProgress{ProgressKind::progress, *level});
  } else if (text == "spilling") {
    events.emplace_back(BackendProgress{ProgressKind::spilling, 1});
  } else if (text == "waiting") {
    events.emplace_back(BackendProgress{ProgressKind::waiting, 1});
  }
  return true;
}

}  // namespace paddlestand::pg
