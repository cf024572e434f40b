#include "backend_connection.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "bytes.hpp"
#include "sqlstate.hpp"

namespace paddlestand::pg {
namespace {

// Messages up to this size are held until they are whole; larger ones of an answer pass on as they come, so
// that one of a gigabyte takes no memory. Those that are read here are never larger.
constexpr std::size_t most_held = 64 * 1024;
constexpr std::size_t header = 5;
constexpr std::uint32_t most_length = 0x40000000;  // PostgreSQL's own bound: a gigabyte

std::uint32_t announced(std::string_view message) { return Reader(message.substr(1)).u32(); }

std::optional<double> number(std::string_view text) {
  double value = 0;
  const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (problem != std::errc{} || end != text.data() + text.size() || !std::isfinite(value) || value < 0)
    return std::nullopt;
  return value;
}

std::string quoted(std::string_view value) {
  std::string out = "'";
  for (const char c : value) {
    if (c == '\'') out.push_back('\'');
    if (c != '\0') out.push_back(c);
  }
  out.push_back('\'');
  return out;
}

}  // namespace

std::map<std::string, std::string> terms(std::uint8_t priority, double memory_mb) {
  std::map<std::string, std::string> out;
  out["paddlestand.priority"] = std::to_string(priority);
  if (memory_mb > 0) out["work_mem"] = std::to_string(std::llround(std::ceil(memory_mb))) + "MB";
  return out;
}

std::string settings_change(const std::map<std::string, std::string>& has,
                            const std::map<std::string, std::string>& wants) {
  std::string text;
  for (const auto& [name, value] : has)
    if (!wants.contains(name)) text += "RESET " + name + ";";
  for (const auto& [name, value] : wants) {
    const auto found = has.find(name);
    if (found == has.end() || found->second != value) text += "SET " + name + "=" + quoted(value) + ";";
  }
  return text;
}

std::string BackendConnection::start(EngineLogin login) {
  login_ = std::move(login);
  std::string out;
  const std::vector<std::pair<std::string, std::string>> parameters{
      {"user", login_.user}, {"database", login_.database}, {"application_name", login_.application}};
  put_startup(out, parameters);
  return out;
}

std::string BackendConnection::flight(const EngineQuery& query, std::uint8_t priority, double memory_mb) {
  auto wants = terms(priority, memory_mb);
  for (const auto& [name, value] : query.settings) wants.emplace(name, value);
  const std::string change = settings_change(set_, wants);
  std::string out;
  if (!change.empty()) {
    out.reserve(change.size() + query.bytes.size() + 8);
    put_query(out, change);
    set_ = std::move(wants);
  }
  out += query.bytes;
  state_ = change.empty() ? State::answering : State::prefix;
  parse_shown_ = query.parse_shown;
  parses_ = 0;
  rows_ = false;
  end_ = {};
  return out;
}

std::string BackendConnection::probe() {
  std::string out;
  put_query(out, "");
  state_ = State::answering;
  parse_shown_.clear();
  parses_ = 0;
  rows_ = false;
  end_ = {};
  return out;
}

void BackendConnection::break_off(std::string what, std::vector<BackendEvent>& events) {
  if (state_ == State::broken) return;
  state_ = State::broken;
  buffer_.clear();
  events.emplace_back(BackendBroken{std::move(what)});
}

void BackendConnection::feed(std::string_view bytes, std::vector<BackendEvent>& events, std::string& reply) {
  const std::size_t before = answer_.size(), told = events.size();
  // A message whose beginning came before is made whole first; what follows it is read where it lies.
  while (!buffer_.empty() && !bytes.empty() && state_ != State::broken) {
    const std::size_t wanted = buffer_.size() < header ? header : header - 4 + announced(buffer_);
    const std::size_t part = std::min(wanted - buffer_.size(), bytes.size());
    buffer_.append(bytes.substr(0, part));
    bytes.remove_prefix(part);
    std::string whole;
    whole.swap(buffer_);
    cut(whole, events, reply);
  }
  if (state_ != State::broken && !bytes.empty()) cut(bytes, events, reply);
  if (state_ == State::broken) return;
  const bool ended = std::any_of(events.begin() + static_cast<std::ptrdiff_t>(told), events.end(),
                                 [](const auto& e) { return std::holds_alternative<BackendAnswerEnd>(e); });
  if (!ended && answer_.size() > before) events.emplace_back(BackendAnswerPart{});
}

// Handles what is whole, and keeps the rest.
void BackendConnection::cut(std::string_view bytes, std::vector<BackendEvent>& events, std::string& reply) {
  while (!bytes.empty() && state_ != State::broken) {
    if (pass_left_ > 0) {
      const std::size_t part = std::min(pass_left_, bytes.size());
      answer_.append(bytes.substr(0, part));
      pass_left_ -= part;
      bytes.remove_prefix(part);
      continue;
    }
    // Rows are by far the most of what comes: a run of them goes on in one piece.
    std::size_t run = 0;
    while (state_ == State::answering && run + header <= bytes.size() && bytes[run] == 'D') {
      const std::size_t whole = header - 4 + announced(bytes.substr(run));
      if (whole < header || whole > bytes.size() - run) break;
      run += whole;
    }
    if (run > 0) {
      rows_ = true;
      answer_.append(bytes.substr(0, run));
      bytes.remove_prefix(run);
      continue;
    }
    if (bytes.size() < header) break;
    const char type = bytes[0];
    const std::uint32_t length = announced(bytes);
    if (length < 4 || length > most_length)
      return break_off("impossible length " + std::to_string(length), events);
    const std::size_t whole = header - 4 + length;
    if (whole > most_held && bytes.size() < whole) {
      if (state_ != State::answering || (type != 'D' && type != 'T' && type != 'd'))
        return break_off("message of " + std::to_string(length) + " bytes where none so large belongs",
                         events);
      rows_ = true;
      pass_left_ = whole;
      continue;
    }
    if (bytes.size() < whole) break;
    on_message(type, bytes.substr(header, whole - header), events, reply);
    bytes.remove_prefix(whole);
  }
  if (state_ != State::broken) buffer_.assign(bytes);
}

void BackendConnection::on_message(char type, std::string_view body, std::vector<BackendEvent>& events,
                                   std::string& reply) {
  switch (state_) {
    case State::starting: return on_startup(type, body, events, reply);
    case State::answering: return on_answer(type, body, events);
    case State::prefix:
      // Terms that an engine does not know are its affair: the query runs without them.
      if (type == 'Z') state_ = State::answering;
      if (type == 'S') on_parameter(body);
      return;
    case State::idle:
      if (type == 'S') return void(on_parameter(body));
      if (type == 'N' || type == 'A') return;
      if (type == 'E') return;  // said before it closes
      return break_off(std::string("message '") + type + "' on an idle link", events);
    case State::broken: return;
  }
}

void BackendConnection::on_startup(char type, std::string_view body, std::vector<BackendEvent>& events,
                                   std::string& reply) {
  Reader in(body);
  switch (type) {
    case 'R': {
      const std::uint32_t code = in.u32();
      if (code == 0) return;
      if (code == 10 && !login_.password.empty() && body.find("SCRAM-SHA-256") != body.npos) {
        scram_.emplace(login_.password, login_.nonce);
        put_sasl_first(reply, "SCRAM-SHA-256", scram_->first());
        return;
      }
      if (code == 11 && scram_) {
        if (const auto last = scram_->last(in.rest())) {
          put_password(reply, *last);
          return;
        }
      }
      if (code == 12 && scram_ && scram_->verify(in.rest())) return;
      return break_off("authentication " + std::to_string(code) + " is not carried, or failed", events);
    }
    case 'K':
      key_ = {in.u32(), in.u32()};
      if (!in.done()) break_off("BackendKeyData of a wrong length", events);
      return;
    case 'S': on_parameter(body); return;
    case 'N': return;
    case 'E': {
      const auto fields = parse_fields(body);
      if (!fields) return break_off("malformed ErrorResponse", events);
      events.emplace_back(BackendRefused{startup_says_full(fields->code), *fields});
      state_ = State::broken;
      return;
    }
    case 'Z':
      state_ = State::idle;
      events.emplace_back(BackendReady{});
      return;
    default: return break_off(std::string("message '") + type + "' during startup", events);
  }
}

void BackendConnection::on_answer(char type, std::string_view body, std::vector<BackendEvent>& events) {
  switch (type) {
    case 'T':
    case 't':
    case 'n':
    case 'D':
    case 'C':
    case 'I':
    case 's':
    case '2':
    case '3':
      rows_ |= type == 'T' || type == 'D';
      put_raw(answer_, type, body);
      return;
    case '1': {
      const bool shown = parses_ < parse_shown_.size() && parse_shown_[parses_];
      if (parses_ >= parse_shown_.size()) return break_off("ParseComplete that no Parse asked for", events);
      ++parses_;
      if (!shown) return;
      ++end_.parses_shown;
      put_raw(answer_, type, body);
      return;
    }
    case 'E': {
      const auto fields = parse_fields(body);
      if (!fields) return break_off("malformed ErrorResponse", events);
      end_.ending = ending_of_error(fields->code, rows_);
      end_.error_code = fields->code;
      put_raw(answer_, type, body);
      return;
    }
    case 'N':
      if (!on_notice(body, events)) put_raw(answer_, type, body);
      return;
    case 'S':
      if (!on_parameter(body)) return;
      return;
    case 'A': return;  // notifications: LISTEN is not carried
    case 'Z': {
      if (body.size() != 1) return break_off("ReadyForQuery of a wrong length", events);
      end_.reusable = body[0] == 'I';
      state_ = State::idle;
      events.emplace_back(std::move(end_));
      end_ = {};
      return;
    }
    default: return break_off(std::string("message '") + type + "' in an answer", events);
  }
}

// Whether it was one of ours: load, and what the query needed.
bool BackendConnection::on_parameter(std::string_view body) {
  Reader in(body);
  const std::string_view name = in.text(), value = in.text();
  if (in.bad()) return false;
  if (name == "paddlestand.inflight") {
    end_.report.queries = number(value);
  } else if (name == "paddlestand.work_ms") {
    if (const auto ms = number(value); ms && *ms < 1e12) end_.work = Duration{std::llround(*ms * 1e6)};
  } else if (name == "paddlestand.memory_mb") {
    end_.memory_mb = number(value);
  } else {
    return false;
  }
  return true;
}

bool BackendConnection::on_notice(std::string_view body, std::vector<BackendEvent>& events) {
  const auto fields = parse_fields(body);
  if (!fields || fields->code != "01P5T") return false;
  constexpr std::string_view progress = "progress=";
  const std::string_view text = fields->message;
  if (text.starts_with(progress)) {
    if (const auto level = number(text.substr(progress.size())))
      events.emplace_back(BackendProgress{ProgressKind::progress, *level});
  } else if (text == "spilling") {
    events.emplace_back(BackendProgress{ProgressKind::spilling, 1});
  } else if (text == "waiting") {
    events.emplace_back(BackendProgress{ProgressKind::waiting, 1});
  }
  return true;
}

}  // namespace paddlestand::pg
