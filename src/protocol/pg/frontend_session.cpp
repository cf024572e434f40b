#include "frontend_session.hpp"

#include <iterator>
#include <utility>

#include "bytes.hpp"
#include "sqlstate.hpp"
#include "statements.hpp"
#include "text.hpp"

namespace paddlestand::pg {
namespace {

constexpr std::size_t max_login_message =
    10000;  // bytes; limits the memory of clients that are not authenticated

}  // namespace

FrontendSession::FrontendSession(const FrontendSettings& settings, std::shared_ptr<const Users> users,
                                 CancelKey key, std::string nonce)
    : limits_(settings), key_(key), frames_(max_login_message), login_(std::move(users), std::move(nonce)) {}

std::optional<FrontendEvent> FrontendSession::next() {
  while (!busy_ && state_ != State::ended) {
    const auto frame = frames_.next(login_.expects_typed_message() || state_ != State::login);
    if (!frame) {
      if (frames_.bad()) return end_session(error("08P01", frames_.problem()));
      return std::nullopt;
    }
    if (auto event = on_frame(*frame)) return event;
  }
  return std::nullopt;
}

std::optional<FrontendEvent> FrontendSession::on_frame(const Frame& frame) {
  if (state_ == State::login) return on_login_message(frame);
  if (frame.type == frontend_message::terminate) {
    state_ = State::ended;
    return FrontendClosed{};
  }
  if (state_ == State::skipping) {
    on_skipped_message(frame.type);
    return std::nullopt;
  }
  return on_message(frame);
}

std::optional<FrontendEvent> FrontendSession::end_session(Fields error) {
  error.severity = "FATAL";
  put_error(out_, error);
  state_ = State::ended;
  return FrontendClosed{};
}

// ---- Login ----

std::optional<FrontendEvent> FrontendSession::on_login_message(const Frame& frame) {
  LoginResult result = login_.on_message(frame, parameters_, out_);
  if (std::holds_alternative<LoginComplete>(result)) return complete_login();
  if (const auto* cancel = std::get_if<FrontendCancelRequest>(&result)) {
    state_ = State::ended;
    return *cancel;
  }
  if (auto* error = std::get_if<Fields>(&result)) return end_session(std::move(*error));
  return std::nullopt;
}

FrontendEvent FrontendSession::complete_login() {
  // Allows large messages from here on, and keeps the bytes that are already buffered.
  FrameReader frames(limits_.max_message);
  frames.feed(frames_.extract_buffered());
  frames_ = std::move(frames);
  state_ = State::ready;
  put_authentication(out_, authentication::ok);
  parameters_.report_all(out_);
  put_key(out_, key_);
  put_ready(out_, transaction_idle);
  return FrontendStarted{user(), database(), application()};
}

// ---- Requests ----

std::optional<FrontendEvent> FrontendSession::on_message(const Frame& frame) {
  switch (frame.type) {
    case frontend_message::query: return on_query(frame.body);
    case frontend_message::parse:
    case frontend_message::bind:
    case frontend_message::describe:
    case frontend_message::execute:
    case frontend_message::close: on_batch_message(frame); return std::nullopt;
    case frontend_message::sync: return on_sync(frame.body);
    case frontend_message::flush: return end_batch(BatchEnd::flush);
    case frontend_message::function_call:
      answer_error(error("0A000", "function calls are not supported by this workload manager"));
      return std::nullopt;
    case frontend_message::copy_data:
    case frontend_message::copy_done:
    case frontend_message::copy_fail:
      return std::nullopt;  // left over from a rejected COPY: ignored, as in PostgreSQL
    default: {
      const auto code = static_cast<unsigned char>(frame.type);
      return end_session(error("08P01", "message of unknown type " + std::to_string(code)));
    }
  }
}

void FrontendSession::answer_error(const Fields& error) {
  put_error(out_, error);
  put_ready(out_, transaction_idle);
}

FrontendEvent FrontendSession::submit(EngineQuery query, std::string text, const sql::Scanned& scanned) {
  busy_ = true;
  FrontendRequest request;
  request.query = std::move(query);
  request.query.settings = parameters_.engine_settings();
  for (const std::string_view comment : scanned.comments) {
    auto tags = sql::read_tags(comment);
    std::move(tags.begin(), tags.end(), std::back_inserter(request.tags));
  }
  request.text = std::move(text);
  request.statement_timeout = parameters_.statement_timeout();
  return request;
}

void FrontendSession::request_done(const BackendAnswerEnd& end) {
  busy_ = false;
  keep_parsed_statements(end.client_parses_completed);
  if (request_end_ == BatchEnd::sync) {
    put_ready(out_, transaction_idle);
  } else if (!end.error_code.empty()) {
    state_ = State::skipping;
  }
}

void FrontendSession::request_failed(const Fields& error) {
  busy_ = false;
  keep_parsed_statements(0);
  put_error(out_, error);
  if (request_end_ == BatchEnd::sync) {
    put_ready(out_, transaction_idle);
  } else {
    state_ = State::skipping;
  }
}

// ---- Simple query ----

std::optional<FrontendEvent> FrontendSession::on_query(std::string_view body) {
  batch_.reset();  // a simple query discards extended messages without a Sync
  Reader reader(body);
  const std::string_view text = reader.text();
  if (!reader.done()) return end_session(error("08P01", "malformed Query message"));
  if (!is_utf8(text)) {
    answer_error(error("22021", "the query is not valid UTF-8"));
    return std::nullopt;
  }
  const sql::Scanned scanned = sql::scan(text);
  if (const auto problem = find_unsupported(scanned)) {
    answer_error(*problem);
    return std::nullopt;
  }
  if (scanned.statements.empty()) {
    put_empty(out_, backend_message::empty_query_response);
    put_ready(out_, transaction_idle);
    return std::nullopt;
  }
  if (are_all_settings(scanned)) {
    answer_settings(scanned);
    return std::nullopt;
  }
  if (has_setting(scanned)) {
    answer_error(mixed_statements_error());
    return std::nullopt;
  }
  EngineQuery query;
  put_query(query.bytes, text);
  request_end_ = BatchEnd::sync;
  return submit(std::move(query), std::string(text), scanned);
}

void FrontendSession::answer_settings(const sql::Scanned& scanned) {
  for (const sql::Statement& statement : scanned.statements) {
    if (const auto problem = parameters_.execute(statement.tokens, RowDescription::include, out_)) {
      put_error(out_, *problem);
      break;
    }
  }
  put_ready(out_, transaction_idle);
}

// ---- Extended query ----

void FrontendSession::on_batch_message(const Frame& frame) {
  if (!batch_) batch_.emplace(limits_, statements_, parameters_);
  if (const auto problem = add_to_batch(frame)) {
    reject_batch(*problem);
    return;
  }
  if (batch_->query_bytes() > limits_.max_batch)
    reject_batch(error("54000", "more than " + std::to_string(limits_.max_batch) + " bytes before a Sync"));
}

std::optional<Fields> FrontendSession::add_to_batch(const Frame& frame) {
  switch (frame.type) {
    case frontend_message::parse: return batch_->on_parse(frame.body);
    case frontend_message::bind: return batch_->on_bind(frame.body);
    case frontend_message::describe: return batch_->on_describe(frame.body);
    case frontend_message::execute: return batch_->on_execute(frame.body);
    default: return batch_->on_close(frame.body);
  }
}

/// Discards the batch: sends one error now and skips messages up to the Sync.
void FrontendSession::reject_batch(const Fields& error) {
  out_ += batch_->local_answers();  // answers from before the error precede it
  batch_.reset();
  put_error(out_, error);
  state_ = State::skipping;
}

void FrontendSession::on_skipped_message(char type) {
  if (type != frontend_message::sync) return;
  state_ = State::ready;
  put_ready(out_, transaction_idle);
}

std::optional<FrontendEvent> FrontendSession::on_sync(std::string_view body) {
  if (!body.empty()) return end_session(error("08P01", "Sync with a body"));
  return end_batch(BatchEnd::sync);
}

/// Called at a Sync, or at a Flush, where the client waits for the answers so far before it continues.
std::optional<FrontendEvent> FrontendSession::end_batch(BatchEnd end) {
  if (batch_) {
    out_ += batch_->local_answers();
    batch_->local_answers().clear();
  }
  if (!batch_ || !batch_->needs_engine()) {
    if (end == BatchEnd::sync) {
      batch_.reset();
      put_ready(out_, transaction_idle);
    }
    return std::nullopt;
  }
  EngineQuery query = std::move(batch_->query());
  const std::string text = batch_->text();
  parsed_in_flight_ = std::move(batch_->parsed_statements());
  batch_.reset();
  put_empty(query.bytes, frontend_message::sync);
  request_end_ = end;
  return submit(std::move(query), text, sql::scan(text));
}

/// Stores the statements whose Parse has completed, even if a later message of the batch failed.
void FrontendSession::keep_parsed_statements(std::uint32_t completed) {
  for (std::size_t i = 0; i < parsed_in_flight_.size() && i < completed; ++i)
    statements_.put(parsed_in_flight_[i].first, std::move(parsed_in_flight_[i].second));
  parsed_in_flight_.clear();
}

}  // namespace paddlestand::pg
