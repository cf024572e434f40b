#include "frontend_session.hpp"

#include <algorithm>

#include "bytes.hpp"
#include "sqlstate.hpp"
#include "statements.hpp"

namespace paddlestand::pg {
namespace {

// Nothing that a client sends before it is known may be large.
constexpr std::size_t most_startup = 10000;

std::string lower_name(const Parameter& parameter) {
  std::string name(parameter.name);
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return name;
}

bool is_utf8(std::string_view text) {
  std::size_t i = 0;
  while (i < text.size()) {
    const auto c = static_cast<unsigned char>(text[i]);
    const std::size_t more = c < 0x80                ? 0
                             : c >= 0xc2 && c < 0xe0 ? 1
                             : c >= 0xe0 && c < 0xf0 ? 2
                             : c >= 0xf0 && c < 0xf5 ? 3
                                                     : 9;
    if (more == 9 || i + more >= text.size() + (more == 0 ? 1 : 0)) return false;
    for (std::size_t k = 1; k <= more; ++k)
      if ((static_cast<unsigned char>(text[i + k]) & 0xc0U) != 0x80) return false;
    const auto next = more > 0 ? static_cast<unsigned char>(text[i + 1]) : 0U;
    if ((c == 0xe0 && next < 0xa0) || (c == 0xed && next >= 0xa0)) return false;  // overlong; surrogates
    if ((c == 0xf0 && next < 0x90) || (c == 0xf4 && next >= 0x90)) return false;
    i += more + 1;
  }
  return true;
}

// "-c name=value --name=value", as libpq's option `options` passes it; a backslash guards a blank.
bool read_options(std::string_view text, std::map<std::string, std::string>& wanted) {
  std::vector<std::string> words(1);
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '\\' && i + 1 < text.size()) {
      words.back().push_back(text[++i]);
    } else if (text[i] == ' ') {
      if (!words.back().empty()) words.emplace_back();
    } else {
      words.back().push_back(text[i]);
    }
  }
  if (words.back().empty()) words.pop_back();
  for (std::size_t i = 0; i < words.size(); ++i) {
    std::string word = words[i];
    if (word == "-c") {
      if (++i >= words.size()) return false;
      word = words[i];
    } else if (word.starts_with("-c") || word.starts_with("--")) {
      word.erase(0, 2);
    } else {
      return false;
    }
    const auto equals = word.find('=');
    if (equals == word.npos || equals == 0) return false;
    wanted[word.substr(0, equals)] = word.substr(equals + 1);
  }
  return true;
}

// Every statement in the text, or the error that one of them deserves.
std::optional<Fields> refuse_not_carried(const sql::Scanned& scanned) {
  if (scanned.too_many)
    return error("54000", "more than " + std::to_string(sql::most_statements) + " statements in one query");
  for (const sql::Statement& statement : scanned.statements) {
    const StatementReading reading = read_statement(statement.words);
    if (reading.kind == StatementKind::not_carried)
      return error("0A000", reading.what + " is not carried by this workload manager");
  }
  return std::nullopt;
}

bool all_settings(const sql::Scanned& scanned) {
  return !scanned.statements.empty() &&
         std::all_of(scanned.statements.begin(), scanned.statements.end(), [](const sql::Statement& s) {
           return read_statement(s.words).kind == StatementKind::setting;
         });
}

bool any_setting(const sql::Scanned& scanned) {
  return std::any_of(scanned.statements.begin(), scanned.statements.end(), [](const sql::Statement& s) {
    return read_statement(s.words).kind == StatementKind::setting;
  });
}

const Fields& mixed() {
  static const Fields fields =
      error("0A000", "SET, SHOW and RESET can't share a request with other statements here");
  return fields;
}

}  // namespace

FrontendSession::FrontendSession(const FrontendSettings& settings, std::shared_ptr<const Users> users,
                                 CancelKey key, std::string nonce)
    : settings_(settings),
      users_(std::move(users)),
      key_(key),
      nonce_(std::move(nonce)),
      frames_(most_startup) {}

std::optional<FrontendEvent> FrontendSession::next() {
  while (!busy_) {
    if (state_ == State::ended) return std::nullopt;
    const bool typed = state_ != State::startup;
    const auto frame = frames_.next(typed);
    if (!frame) {
      if (frames_.bad()) return fatal("08P01", frames_.problem());
      return std::nullopt;
    }
    auto event = typed ? on_message(*frame) : on_startup(frame->body);
    if (event) return event;
  }
  return std::nullopt;
}

std::optional<FrontendEvent> FrontendSession::fatal(std::string_view sqlstate, std::string message) {
  Fields fields = error(sqlstate, std::move(message));
  fields.severity = "FATAL";
  put_error(out_, fields);
  state_ = State::ended;
  return FrontendClosed{};
}

// ---- Startup ----

std::optional<FrontendEvent> FrontendSession::on_startup(std::string_view body) {
  const auto message = parse_startup(body);
  if (!message) return fatal("08P01", "malformed startup message");
  if (message->code == ssl_code || message->code == gss_code) {
    out_.push_back('N');
    return std::nullopt;
  }
  if (message->code == cancel_code) {
    state_ = State::ended;
    return FrontendCancelRequest{message->key};
  }
  if (message->code >> 16U != 3) {
    return fatal("0A000", "protocol " + std::to_string(message->code >> 16U) + "." +
                              std::to_string(message->code & 0xffffU) + " is not carried; wanted: 3.0");
  }
  std::vector<std::string> unknown_options;
  std::map<std::string, std::string> wanted;
  for (const auto& [name, value] : message->parameters) {
    if (!is_utf8(name) || !is_utf8(value)) return fatal("22021", "startup parameter that is not UTF-8");
    if (name == "user") {
      user_ = value;
    } else if (name == "database") {
      database_ = value;
    } else if (name == "replication") {
      if (value != "false" && value != "off" && value != "0" && value != "no")
        return fatal("0A000", "replication is not carried by this workload manager");
    } else if (name.starts_with("_pq_.")) {
      unknown_options.push_back(name);
    } else if (name == "options") {
      if (!read_options(value, wanted))
        return fatal("22023", "malformed options in the startup message; wanted: -c name=value");
    } else {
      wanted[name] = value;
    }
  }
  if (user_.empty()) return fatal("28000", "no user name in the startup message");
  if (database_.empty()) database_ = user_;
  if ((message->code & 0xffffU) != 0 || !unknown_options.empty()) {
    std::string list;
    Writer w(list);
    w.u32(protocol_3 & 0xffffU).u32(static_cast<std::uint32_t>(unknown_options.size()));
    for (const std::string& option : unknown_options) w.text(option);
    put_raw(out_, 'v', list);
  }
  for (const auto& [name, value] : wanted) {
    std::string unused;
    if (const auto problem = set(name, value, unused)) return fatal(problem->code, problem->message);
  }
  if (users_->trust) return welcome();
  std::string mechanisms;
  Writer(mechanisms).text("SCRAM-SHA-256").u8(0);
  put_authentication(out_, 10, mechanisms);
  state_ = State::password;
  return std::nullopt;
}

std::optional<FrontendEvent> FrontendSession::on_password(std::string_view body) {
  Reader in(body);
  const std::string_view mechanism = in.text();
  const std::int32_t length = in.i32();
  const std::string_view first = in.rest();
  if (in.bad() || mechanism != "SCRAM-SHA-256" || length < 0 ||
      static_cast<std::size_t>(length) != first.size())
    return fatal("28000", "wanted: SASL with SCRAM-SHA-256");
  const auto known = users_->verifiers.find(user_);
  const bool is_known = known != users_->verifiers.end();
  scram_.emplace(is_known ? known->second : Verifier::mock(user_, users_->mock_secret), is_known, nonce_);
  const auto answer = scram_->first(first);
  if (!answer) return fatal("28000", "malformed SCRAM message");
  put_authentication(out_, 11, *answer);
  state_ = State::password_last;
  return std::nullopt;
}

std::optional<FrontendEvent> FrontendSession::on_password_last(std::string_view body) {
  const auto answer = scram_->last(body);
  scram_.reset();
  if (!answer) return fatal("28P01", "password authentication failed for user \"" + user_ + "\"");
  put_authentication(out_, 12, *answer);
  return welcome();
}

FrontendEvent FrontendSession::welcome() {
  // From here on messages may be large; what came too early is kept.
  FrameReader frames(settings_.most_message);
  frames.feed(frames_.take_waiting());
  frames_ = std::move(frames);
  state_ = State::ready;
  put_authentication(out_, 0);
  for (const Parameter& parameter : reported_parameters())
    put_parameter(out_, parameter.name, shown(lower_name(parameter)));
  put_key(out_, key_);
  put_ready(out_, 'I');
  return FrontendStarted{user_, database_, application_};
}

// ---- Requests ----

std::optional<FrontendEvent> FrontendSession::on_message(const Frame& frame) {
  if (state_ == State::password || state_ == State::password_last) {
    if (frame.type != 'p') return fatal("08P01", "wanted: a password message");
    return state_ == State::password ? on_password(frame.body) : on_password_last(frame.body);
  }
  if (frame.type == 'X') {
    state_ = State::ended;
    return FrontendClosed{};
  }
  if (state_ == State::skipping) {
    if (frame.type != 'S') return std::nullopt;
    state_ = State::ready;
    flushed_ = false;
    put_ready(out_, 'I');
    return std::nullopt;
  }
  switch (frame.type) {
    case 'Q': return on_query(frame.body);
    case 'P': on_parse(frame.body); break;
    case 'B': on_bind(frame.body); break;
    case 'D': on_describe(frame.body); break;
    case 'E': on_execute(frame.body); break;
    case 'C': on_close(frame.body); break;
    case 'S':
      if (!frame.body.empty()) return fatal("08P01", "Sync with a body");
      return finish_batch(true);
    case 'H': return finish_batch(false);
    case 'F': {
      put_error(out_, error("0A000", "function calls are not carried by this workload manager"));
      put_ready(out_, 'I');
      return std::nullopt;
    }
    case 'd':
    case 'c':
    case 'f': return std::nullopt;  // of a COPY that was refused: passed over, as PostgreSQL does
    default: {
      const auto code = static_cast<unsigned char>(frame.type);
      return fatal("08P01", "message of unknown type " + std::to_string(code));
    }
  }
  if (batch_ && batch_->query.bytes.size() > settings_.most_batch)
    reject_batch(
        error("54000", "more than " + std::to_string(settings_.most_batch) + " bytes before a Sync"));
  return std::nullopt;
}

FrontendEvent FrontendSession::hand_over(EngineQuery query, std::string text, const sql::Scanned& scanned) {
  busy_ = true;
  FrontendRequest request;
  for (const auto& [name, value] : set_) {
    const Parameter* parameter = find_parameter(name);
    if (parameter != nullptr && parameter->carried && value != parameter->usual) query.settings[name] = value;
  }
  request.query = std::move(query);
  for (const std::string_view comment : scanned.comments) {
    auto tags = sql::read_tags(comment);
    std::move(tags.begin(), tags.end(), std::back_inserter(request.tags));
  }
  request.text = std::move(text);
  if (const auto found = set_.find("statement_timeout"); found != set_.end()) {
    const auto ms = read_milliseconds(found->second);
    if (ms && *ms > 0) request.statement_timeout = std::chrono::milliseconds(*ms);
  }
  return request;
}

std::optional<FrontendEvent> FrontendSession::on_query(std::string_view body) {
  if (batch_) {  // a simple query ends what was not synced
    batch_.reset();
  }
  Reader in(body);
  const std::string_view text = in.text();
  if (!in.done()) return fatal("08P01", "malformed Query message");
  const auto fail = [this](const Fields& fields) {
    put_error(out_, fields);
    put_ready(out_, 'I');
    return std::nullopt;
  };
  if (!is_utf8(text)) return fail(error("22021", "the query is not UTF-8"));
  const sql::Scanned scanned = sql::scan(text);
  if (const auto problem = refuse_not_carried(scanned)) return fail(*problem);
  if (scanned.statements.empty()) {
    put_empty(out_, 'I');
    put_ready(out_, 'I');
    return std::nullopt;
  }
  if (all_settings(scanned)) {
    for (const sql::Statement& statement : scanned.statements) {
      if (const auto problem = answer_setting(statement.words, out_, false)) {
        put_error(out_, *problem);
        break;
      }
    }
    put_ready(out_, 'I');
    return std::nullopt;
  }
  if (any_setting(scanned)) return fail(mixed());
  EngineQuery query;
  put_query(query.bytes, text);
  extended_ = flushed_ = false;
  return hand_over(std::move(query), std::string(text), scanned);
}

const FrontendSession::Prepared* FrontendSession::find(const std::string& statement) const {
  if (batch_) {
    for (auto it = batch_->parsed.rbegin(); it != batch_->parsed.rend(); ++it)
      if (it->first == statement) return &it->second;
  }
  const auto found = statements_.find(statement);
  return found == statements_.end() ? nullptr : &found->second;
}

void FrontendSession::reject_batch(const Fields& fields) {
  // What was answered before the error stays answered, in order.
  if (batch_) out_ += batch_->local;
  batch_.reset();
  put_error(out_, fields);
  state_ = State::skipping;
}

// From here on this batch's messages go to an engine, unless it has been answered here already.
bool FrontendSession::needs_engine() {
  if (!batch_->local_portals.empty()) {
    reject_batch(mixed());
    return false;
  }
  batch_->needs_engine = true;
  return true;
}

void FrontendSession::on_parse(std::string_view body) {
  if (!batch_) batch_ = Batch{};
  const auto message = parse_parse(body);
  if (!message) return reject_batch(error("08P01", "malformed Parse message"));
  if (!is_utf8(message->query)) return reject_batch(error("22021", "the statement is not UTF-8"));
  const std::string name(message->statement);
  const sql::Scanned scanned = sql::scan(message->query);
  if (scanned.statements.size() > 1)
    return reject_batch(error("42601", "cannot insert multiple commands into a prepared statement"));
  if (const auto problem = refuse_not_carried(scanned)) return reject_batch(*problem);
  if (!name.empty() && find(name) != nullptr)
    return reject_batch(error("42P05", "prepared statement \"" + name + "\" already exists"));
  if (statements_.size() + batch_->parsed.size() >= settings_.most_statements ||
      statement_bytes_ + message->query.size() > settings_.most_statement_bytes)
    return reject_batch(error("54000", "too many prepared statements in this session; wanted: at most " +
                                           std::to_string(settings_.most_statements)));
  Prepared prepared{std::string(message->query), std::string(message->types)};
  if (all_settings(scanned)) {
    if (batch_->needs_engine) return reject_batch(mixed());
    put_empty(batch_->local, '1');
    adopt_one(name, std::move(prepared));
    return;
  }
  if (!needs_engine()) return;
  put_parse(batch_->query.bytes, "", message->query, message->types);
  batch_->query.parse_shown.push_back(true);
  batch_->engine_statement = name;
  batch_->has_engine_statement = true;
  if (batch_->text.empty()) batch_->text = prepared.text;
  batch_->parsed.emplace_back(name, std::move(prepared));
}

bool FrontendSession::prepare(const std::string& statement) {
  const Prepared* prepared = find(statement);
  if (prepared == nullptr) {
    reject_batch(error("26000", "prepared statement \"" + statement + "\" does not exist"));
    return false;
  }
  if (!needs_engine()) return false;
  if (batch_->text.empty()) batch_->text = prepared->text;
  if (batch_->has_engine_statement && batch_->engine_statement == statement) return true;
  put_parse(batch_->query.bytes, "", prepared->text, prepared->types);
  batch_->query.parse_shown.push_back(false);
  batch_->engine_statement = statement;
  batch_->has_engine_statement = true;
  return true;
}

void FrontendSession::on_bind(std::string_view body) {
  if (!batch_) batch_ = Batch{};
  const auto message = parse_bind(body);
  if (!message) return reject_batch(error("08P01", "malformed Bind message"));
  const std::string statement(message->statement);
  if (const Prepared* prepared = find(statement);
      prepared != nullptr && !batch_->needs_engine && all_settings(sql::scan(prepared->text))) {
    batch_->local_portals[std::string(message->portal)] = prepared->text;
    put_empty(batch_->local, '2');
    return;
  }
  if (prepare(statement)) put_bind(batch_->query.bytes, message->portal, "", message->rest);
}

void FrontendSession::on_describe(std::string_view body) {
  if (!batch_) batch_ = Batch{};
  const auto message = parse_named(body);
  if (!message) return reject_batch(error("08P01", "malformed Describe message"));
  const std::string name(message->name);
  std::string_view setting;
  if (message->what == 'P') {
    if (const auto found = batch_->local_portals.find(name); found != batch_->local_portals.end())
      setting = found->second;
  } else if (const Prepared* prepared = find(name);
             prepared != nullptr && all_settings(sql::scan(prepared->text))) {
    if (batch_->needs_engine) return reject_batch(mixed());
    setting = prepared->text;
  }
  if (!setting.empty()) {
    if (message->what == 'S') {
      std::string none;
      Writer(none).u16(0);
      put_raw(batch_->local, 't', none);
    }
    const sql::Scanned scanned = sql::scan(setting);
    const auto& words = scanned.statements[0].words;
    if (words[0] == "show" && words.size() > 1) {
      const Column column{words[1], 25, -1};
      put_row_description(batch_->local, {&column, 1});
    } else {
      put_empty(batch_->local, 'n');
    }
    return;
  }
  if (message->what == 'S') {
    if (prepare(name)) put_named(batch_->query.bytes, 'D', 'S', "");
    return;
  }
  if (needs_engine()) put_named(batch_->query.bytes, 'D', 'P', name);
}

void FrontendSession::on_execute(std::string_view body) {
  if (!batch_) batch_ = Batch{};
  const auto message = parse_execute(body);
  if (!message) return reject_batch(error("08P01", "malformed Execute message"));
  if (const auto found = batch_->local_portals.find(std::string(message->portal));
      found != batch_->local_portals.end()) {
    const sql::Scanned scanned = sql::scan(found->second);
    if (const auto problem = answer_setting(scanned.statements[0].words, batch_->local, true))
      return reject_batch(*problem);
    return;
  }
  if (!batch_->needs_engine)
    return reject_batch(error("34000", "portal \"" + std::string(message->portal) + "\" does not exist"));
  put_raw(batch_->query.bytes, 'E', body);
}

void FrontendSession::on_close(std::string_view body) {
  if (!batch_) batch_ = Batch{};
  const auto message = parse_named(body);
  if (!message) return reject_batch(error("08P01", "malformed Close message"));
  const std::string name(message->name);
  if (message->what == 'S') {
    std::erase_if(batch_->parsed, [&](const auto& one) { return one.first == name; });
    if (const auto found = statements_.find(name); found != statements_.end()) {
      statement_bytes_ -= found->second.text.size();
      statements_.erase(found);
    }
  } else {
    batch_->local_portals.erase(name);
  }
  if (!batch_->needs_engine) return put_empty(batch_->local, '3');
  put_named(batch_->query.bytes, 'C', message->what, message->what == 'S' ? "" : name);
  if (message->what == 'S') batch_->has_engine_statement = false;
}

// At a Sync; or at a Flush, where the client waits for what came so far before it goes on.
std::optional<FrontendEvent> FrontendSession::finish_batch(bool sync) {
  if (!batch_ || !batch_->needs_engine) {
    if (batch_) out_ += batch_->local;
    if (sync) {
      batch_.reset();
      put_ready(out_, 'I');
    } else if (batch_) {
      batch_->local.clear();
    }
    return std::nullopt;
  }
  Batch batch = std::move(*batch_);
  batch_.reset();
  out_ += batch.local;
  put_empty(batch.query.bytes, 'S');
  under_way_ = std::move(batch.parsed);
  extended_ = true;
  flushed_ = !sync;
  const sql::Scanned scanned = sql::scan(batch.text);
  return hand_over(std::move(batch.query), batch.text, scanned);
}

void FrontendSession::adopt_one(const std::string& name, Prepared prepared) {
  if (const auto found = statements_.find(name); found != statements_.end())
    statement_bytes_ -= found->second.text.size();
  statement_bytes_ += prepared.text.size();
  statements_[name] = std::move(prepared);
}

// Statements live from the completion of their Parse on, whatever comes after it.
void FrontendSession::adopt(std::uint32_t count) {
  for (std::size_t i = 0; i < under_way_.size() && i < count; ++i)
    adopt_one(under_way_[i].first, std::move(under_way_[i].second));
  under_way_.clear();
}

void FrontendSession::request_done(const BackendAnswerEnd& end) {
  busy_ = false;
  adopt(end.parses_shown);
  if (!extended_ || !flushed_) return put_ready(out_, 'I');
  if (!end.error_code.empty()) state_ = State::skipping;
}

void FrontendSession::request_failed(const Fields& fields) {
  busy_ = false;
  adopt(0);
  put_error(out_, fields);
  if (!extended_ || !flushed_) return put_ready(out_, 'I');
  state_ = State::skipping;
}

// ---- Settings ----

std::string FrontendSession::shown(const std::string& name) const {
  if (name == "session_authorization") return user_;
  if (const auto found = set_.find(name); found != set_.end()) return found->second;
  const Parameter* parameter = find_parameter(name);
  return parameter == nullptr ? std::string{} : std::string(parameter->usual);
}

std::optional<Fields> FrontendSession::set(const std::string& name, const std::string& value,
                                           std::string& out) {
  const Parameter* parameter = find_parameter(name);
  if (parameter == nullptr)
    return error("0A000", "parameter \"" + name + "\" can't be set through this workload manager");
  const std::string key = lower_name(*parameter);
  const auto only = [&](std::string_view wanted) -> std::optional<Fields> {
    std::string have = value;
    std::transform(have.begin(), have.end(), have.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    if (have == wanted) return std::nullopt;
    return error("0A000", "parameter \"" + key + "\" can only be " + std::string(wanted) + " here");
  };
  if (key == "client_encoding") {
    if (value != "utf8" && value != "UTF8" && value != "utf-8" && value != "UTF-8" && value != "unicode")
      return error("0A000", "client_encoding can only be UTF8 here");
    return std::nullopt;
  }
  if (key == "standard_conforming_strings" || key == "integer_datetimes") return only("on");
  if (key == "default_transaction_read_only" || key == "transaction_read_only") return only("off");
  if (key.ends_with("_isolation")) return only("read committed");
  if (key == "server_version" || key == "server_encoding" || key == "is_superuser" ||
      key == "session_authorization")
    return error("55P02", "parameter \"" + key + "\" cannot be changed");
  if (key.ends_with("_timeout") && !read_milliseconds(value))
    return error("22023",
                 "invalid value for parameter \"" + key + "\": \"" + value + "\"; wanted: a time, as 500ms");
  if (value.size() > 256) return error("22023", "value of parameter \"" + key + "\" is too long");
  if (key == "application_name") application_ = value;
  set_[key] = value;
  if (parameter->reported) put_parameter(out, parameter->name, value);
  return std::nullopt;
}

std::optional<Fields> FrontendSession::answer_setting(const std::vector<std::string>& words, std::string& out,
                                                      bool described) {
  const auto bare = [](std::string word) {
    if (word.starts_with('\'')) word.erase(0, 1);
    if (word.size() > 1 && word.starts_with('"')) word = word.substr(1, word.size() - 2);
    return word;
  };
  const auto joined = [&](std::size_t from) {
    std::string value;
    for (std::size_t i = from; i < words.size(); ++i) {
      const bool tight = words[i] == "," || value.empty() || value.ends_with('-') || value.ends_with('+');
      value += (tight ? "" : " ") + bare(words[i]);
    }
    return value;
  };
  const std::string command = words[0];
  std::size_t at = 1;
  if (command == "set" && words.size() > at && words[at] == "session") ++at;
  if (words.size() <= at) return error("42601", "a parameter's name is missing");
  if (words[at] == "local" || words[at] == "transaction" || words[at] == "characteristics" ||
      words[at] == "constraints" || words[at] == "role" || words[at] == "authorization") {
    if (command != "show")
      return error("0A000", "SET " + words[at] + " is not carried by this workload manager");
  }
  std::string name = bare(words[at]);
  ++at;
  if (name == "time" && words.size() > at && words[at] == "zone") {
    name = "timezone";
    ++at;
  } else if (name == "transaction" && words.size() > at + 1 && words[at] == "isolation") {
    name = "transaction_isolation";
    at += 2;
  } else if (name == "names") {
    name = "client_encoding";
  } else if (command == "set") {
    if (words.size() <= at || (words[at] != "=" && words[at] != "to"))
      return error("42601", "wanted: SET name = value");
    ++at;
  }
  if (command == "show") {
    if (find_parameter(name) == nullptr)
      return error("42704", "parameter \"" + name + "\" is not known to this workload manager");
    const std::string value = shown(lower_name(*find_parameter(name)));
    const Column column{name, 25, -1};
    const std::string_view cell = value;
    if (!described) put_row_description(out, {&column, 1});
    put_row(out, {&cell, 1});
    put_complete(out, "SHOW");
    return std::nullopt;
  }
  if (command == "reset") {
    const Parameter* parameter = find_parameter(name);
    if (name != "all" && parameter == nullptr)
      return error("42704", "parameter \"" + name + "\" is not known to this workload manager");
    for (const Parameter& one : reported_parameters()) {
      const std::string key = lower_name(one);
      if (set_.contains(key) && (name == "all" || parameter->name == one.name))
        put_parameter(out, one.name, one.usual);
    }
    if (name == "all") {
      set_.clear();
    } else {
      set_.erase(lower_name(*parameter));
    }
    put_complete(out, "RESET");
    return std::nullopt;
  }
  if (words.size() <= at) return error("42601", "wanted: SET name = value");
  const std::string value = joined(at);
  if (value == "default" && words[at] == "default") {
    const Parameter* parameter = find_parameter(name);
    if (parameter == nullptr)
      return error("0A000", "parameter \"" + name + "\" can't be set through this workload manager");
    set_.erase(lower_name(*parameter));
  } else if (const auto problem = set(name, value, out)) {
    return problem;
  }
  put_complete(out, "SET");
  return std::nullopt;
}

}  // namespace paddlestand::pg
