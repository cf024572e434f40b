#include "client.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

#include "platform_server.hpp"
#include "service/spawn.hpp"

namespace paddlestand::platform {
namespace asio = boost::asio;
using service::IoResult;
using service::IoStatus;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t most_open = 32;  // requests on one connection, as the protocol has it
constexpr std::size_t most_line = 96 * 1024;  // bytes of a request; the largest statement in base64 fits
constexpr std::size_t read_at_once = 64 * 1024;  // bytes of one client in one turn of the loop
constexpr std::size_t most_unwritten = 4 * most_open;  // lines for a client that does not read them
constexpr auto silent_life = 2s;  // without a whole message, from the start
constexpr auto idle_life = 6s;  // without an open request: clients close theirs after 4 s
constexpr auto write_stall = 4s;  // a client that reads nothing
constexpr auto half_line = 2s;  // without a byte of the rest of a message that began
constexpr auto whole_line = 6s;  // for all of a message: a slow writer is not a silent one
constexpr auto linger_life = 1s;  // for the client to close after our side was shut down
constexpr std::size_t most_dropped = 256 * 1024;  // bytes read and dropped meanwhile

}  // namespace

Client::Client(PlatformServer& platform, tcp::socket socket, std::uint64_t number, Duration waited)
    : platform_(platform), socket_(std::move(socket)), number_(number), lines_(most_line), waited_(waited) {
  accepted_ = heard_ = used_ = progress_ = platform.reading();
}

void Client::start() {
  service::spawn_with(platform_.io(), [self = shared_from_this()] { return self->read(); });
}

void Client::close(std::string_view reason) {
  if (closed()) return;
  platform_.log_close(*this, reason, open_.size());
  phase_ = Phase::closed;
  socket_.close();
  std::map<std::int64_t, core::SessionId> open;
  open.swap(open_);
  for (const auto& [id, session] : open) platform_.abandon(session);
  platform_.client_gone(*this);
}

// What was said is sent on before the connection ends; what still comes is not acted on.
void Client::finish() {
  if (!open()) return;
  phase_ = Phase::ending;
  ended_ = platform_.reading();
  if (out_.size() == written_) linger();
}

core::CloseFacts Client::close_facts() {
  return {open_.size(), backlog(), !may_speak(), inside_since_.has_value()};
}

// A request that is here already is read and answered first: dropped, it would have had no answer.
void Client::finish_if_idle() {
  if (!open()) return;
  if (may_speak()) read_now();
  if (open() && core::may_close(close_facts()) == core::CloseDecision::close) finish();
}

// Closing over unread bytes resets the connection, and the last answer may go with it.
void Client::linger() {
  phase_ = Phase::lingering;
  ended_ = platform_.reading();
  if (!socket_.shut_down_sending()) close("its connection is gone");
}

bool Client::may_speak() { return !closed() && !socket_.surely_empty(); }

void Client::drop(std::size_t bytes) {
  dropped_ += bytes;
  platform_.dropped(bytes);
  if (dropped_ > most_dropped) close("goes on writing behind its end");
}

asio::awaitable<void> Client::read() {
  const auto self = shared_from_this();
  while (!closed()) {
    co_await socket_.wait_to_receive(last_read_);
    if (closed()) co_return;
    // Who sends without end has its turn, and the others theirs.
    while (read_input() == Input::more_is_here) {
      co_await asio::post(platform_.io(), asio::use_awaitable);
      if (closed()) co_return;
    }
  }
}

void Client::read_now() {
  if (closed() || reading_) return;
  const auto self = shared_from_this();
  read_input();
}

// What is here is read to its end before any of it is acted on, a turn's worth at most: who sends much and
// goes has gone, and nothing of it is begun.
Client::Input Client::read_input() {
  const TimePoint began = platform_.reading();
  std::size_t got = 0;
  IoResult last;
  reading_ = true;
  while (got < read_at_once && !closed()) {
    const auto scratch = platform_.scratch().first(read_at_once - got);
    last = socket_.receive(scratch);
    if (last.status != IoStatus::progress) break;
    got += last.bytes;
    open() ? lines_.feed({scratch.data(), last.bytes}) : drop(last.bytes);
  }
  reading_ = false;
  if (closed()) return Input::ended;
  last_read_ = last.status;
  if (last.status == IoStatus::end_of_input || last.status == IoStatus::ended) {
    input_ended(last);
    return Input::ended;
  }
  note_lateness(last.status, began);
  if (got == 0) return Input::all_read;
  heard_ = platform_.reading();
  if (open()) {
    auto messages = whole_messages();
    note_partial_message(!messages.empty());
    reading_ = true;
    take(std::move(messages));
    reading_ = false;
  }
  if (closed()) return Input::ended;
  return last.status == IoStatus::progress ? Input::more_is_here : Input::all_read;
}

void Client::note_lateness(IoStatus last, TimePoint began) {
  const TimePoint now = platform_.reading();
  const Duration failing = read_fails_since_ ? now - *read_fails_since_ : Duration{};
  const Duration event_loop_lag = std::max({platform_.event_loop_lag(), failing, waited_});
  input_time_ = std::min(began, now - event_loop_lag);
  if (last == IoStatus::would_block) {
    read_empty_ = now;
    read_fails_since_.reset();
    waited_ = {};
  } else if (last == IoStatus::retry_later && !read_fails_since_) {
    read_fails_since_ = input_time_;  // the first failure may come late itself
  }
}

void Client::input_ended(const IoResult& result) {
  close(result.status == IoStatus::end_of_input ? "the client closed it"
                                                : "receive: " + result.error.message());
}

// Since when the rest of a message is awaited: what came whole before it is no part of that time.
void Client::note_partial_message(bool whole_ones_came) {
  if (!lines_.inside()) {
    inside_since_.reset();
  } else if (!inside_since_ || whole_ones_came) {
    inside_since_ = heard_;
  }
}

std::vector<jsonrpc::Message> Client::whole_messages() {
  std::vector<jsonrpc::Message> messages;
  while (const auto line = lines_.next()) messages.push_back(platform_.calls().read(*line));
  if (lines_.too_long()) {
    messages.emplace_back(
        std::in_place_type<jsonrpc::Problem>,
        jsonrpc::Problem{std::nullopt, jsonrpc::Code::invalid_request, "a message that is too long"});
  }
  return messages;
}

// All that came together is looked at before any of it is acted on: a client that sends what can't be taken
// behind requests in good form, or takes back at once what it asks, costs the engines nothing.
std::optional<jsonrpc::Problem> Client::wrong_among(const std::vector<jsonrpc::Message>& messages) const {
  std::map<std::int64_t, std::uint64_t> open;  // numbers and traces, as they would be
  for (const auto& [id, session] : open_) open.emplace(id, platform_.trace_of(session).value_or(0));
  if (unwritten_.size() + messages.size() > most_unwritten && !unwritten_.empty())
    return jsonrpc::Problem{std::nullopt, jsonrpc::Code::refused, "answers are not read"};
  std::int64_t last = last_id_;
  std::size_t bytes = 0;
  std::set<std::uint64_t> traces;
  for (const jsonrpc::Message& message : messages) {
    if (const auto* problem = std::get_if<jsonrpc::Problem>(&message)) return *problem;
    if (const auto* forget = std::get_if<jsonrpc::Forget>(&message))
      std::erase_if(open, [&](const auto& one) { return forget->means(one.first, one.second); });
    const auto* query = std::get_if<jsonrpc::Query>(&message);
    if (query == nullptr) continue;
    const auto wrong = [&](jsonrpc::Code code, const char* text) {
      return jsonrpc::Problem{query->id, code, text};
    };
    if (query->id <= last)
      return wrong(jsonrpc::Code::invalid_request, "id; wanted: one that this connection has not used");
    if (platform_.trace_open(query->trace) || !traces.insert(query->trace).second)
      return wrong(jsonrpc::Code::invalid_params, "trace; wanted: one that is not open");
    open.emplace(query->id, query->trace);
    // To a client a request is open until it has read the answer: one that goes on asking does not read.
    if (open.size() + unwritten_answers_ > most_open)
      return wrong(jsonrpc::Code::refused, "at most 32 requests are open at once");
    bytes += query->statement.size();
    if (!platform_.room_for(bytes)) return wrong(jsonrpc::Code::refused, "no room for more statements");
    last = query->id;
  }
  return std::nullopt;
}

// Queries that their client took back in the same breath: they go nowhere.
std::vector<jsonrpc::Query> Client::taken_back(std::vector<jsonrpc::Message>& messages) const {
  std::vector<jsonrpc::Query> back;
  for (std::size_t i = 0; i < messages.size(); ++i) {
    const auto* forget = std::get_if<jsonrpc::Forget>(&messages[i]);
    if (forget == nullptr) continue;
    for (std::size_t before = 0; before < i; ++before) {
      auto* query = std::get_if<jsonrpc::Query>(&messages[before]);
      if (query == nullptr || !forget->means(query->id, query->trace)) continue;
      back.push_back(std::move(*query));
      messages[before] = jsonrpc::Forget{};  // of nothing
    }
  }
  return back;
}

void Client::take(std::vector<jsonrpc::Message> messages) {
  if (messages.empty()) return;
  used_ = platform_.reading();
  if (const auto wrong = wrong_among(messages)) return turn_away(messages, *wrong);
  spoke_ = true;
  for (const jsonrpc::Query& query : taken_back(messages)) {
    last_id_ = std::max(last_id_, query.id);
    jsonrpc::put_error(out_, query.id, jsonrpc::Code::refused, "taken back before it was asked");
    said(false);
  }
  for (jsonrpc::Message& message : messages) {
    if (!open()) return;
    if (auto* query = std::get_if<jsonrpc::Query>(&message)) {
      last_id_ = std::max(last_id_, query->id);
      const std::int64_t id = query->id;
      const core::SessionId session = platform_.next_session();
      open_.emplace(id, session);
      platform_.ask(shared_from_this(), session, std::move(*query));
    } else if (const auto* forget = std::get_if<jsonrpc::Forget>(&message)) {
      // Letting one go may have others answered at once: nothing points into the table meanwhile.
      std::vector<core::SessionId> gone;
      std::erase_if(open_, [&](const auto& one) {
        const bool meant = forget->means(one.first, platform_.trace_of(one.second).value_or(0));
        if (meant) gone.push_back(one.second);
        return meant;
      });
      platform_.forgotten(gone.size());
      for (const core::SessionId session : gone) platform_.abandon(session);
      if (forget->id) jsonrpc::put_done(out_, *forget->id), said(false);
    } else if (const auto* well = std::get_if<jsonrpc::WellAsked>(&message)) {
      jsonrpc::put_well(out_, well->id, platform_.is_ready());
      said(false);
    }
  }
  flush();
}

// One error for each number that is open or was asked under, and then the connection's end.
void Client::turn_away(const std::vector<jsonrpc::Message>& messages, const jsonrpc::Problem& problem) {
  platform_.turned_away(*this, problem);
  std::map<std::int64_t, core::SessionId> open;
  open.swap(open_);
  std::set<std::int64_t> told;
  const auto dispatch = [&](std::optional<std::int64_t> id, jsonrpc::Code code, const std::string& text) {
    if (out_.size() < most_line && (!id || told.insert(*id).second)) jsonrpc::put_error(out_, id, code, text);
  };
  dispatch(problem.id, problem.code, problem.text);
  for (const auto& [id, session] : open) {
    dispatch(id, jsonrpc::Code::failed, "the connection ends: " + problem.text);
    platform_.abandon(session);
  }
  for (const jsonrpc::Message& message : messages) {
    if (const auto* query = std::get_if<jsonrpc::Query>(&message))
      dispatch(query->id, jsonrpc::Code::refused, "the connection ends: " + problem.text);
  }
  flush();
  finish();
}

void Client::answer(std::int64_t request, std::string line) {
  if (closed() || open_.erase(request) == 0) return;
  used_ = platform_.reading();
  if (out_.empty()) {
    out_ = std::move(line);
  } else {
    out_ += line;
  }
  said(true);
  flush();
}

void Client::said(bool answer) {
  unwritten_.emplace_back(written_in_all_ + backlog(), answer);
  unwritten_answers_ += answer ? 1 : 0;
}

void Client::progressed(std::size_t bytes) {
  written_ += bytes;
  written_in_all_ += bytes;
  progress_ = platform_.reading();
  for (; !unwritten_.empty() && unwritten_.front().first <= written_in_all_; unwritten_.pop_front())
    unwritten_answers_ -= unwritten_.front().second ? 1 : 0;
}

// Writes what waits, until it can't now, or never again.
IoStatus Client::write_pending() {
  while (written_ < out_.size()) {
    const IoResult sent = socket_.send(std::string_view(out_).substr(written_));
    if (sent.status == IoStatus::ended) close("send: " + sent.error.message());
    if (sent.status != IoStatus::progress) return sent.status;
    progressed(sent.bytes);
  }
  std::string().swap(out_);
  written_ = 0;
  return IoStatus::progress;
}

void Client::flush() {
  if (closed() || writes_) return;
  const IoStatus status = write_pending();
  if (closed()) return;
  if (status == IoStatus::progress) {
    if (phase_ == Phase::ending) linger();
    return;
  }
  writes_ = true;
  service::spawn_with(platform_.io(), [self = shared_from_this()] { return self->write_on(); });
}

asio::awaitable<void> Client::write_on() {
  const auto self = shared_from_this();
  IoStatus last = IoStatus::would_block;
  while (!closed() && last != IoStatus::progress) {
    co_await socket_.wait_to_send(last);
    if (closed()) co_return;
    last = write_pending();
    if (written_ >= most_line) {
      out_.erase(0, written_);
      written_ = 0;
    }
  }
  writes_ = false;
  if (!closed()) flush();
}

bool Client::message_overdue(TimePoint now) const {
  return inside_since_ && (now - heard_ > half_line || now - *inside_since_ > whole_line);
}

void Client::sweep(TimePoint now) {
  if (closed()) return;
  if (phase_ == Phase::lingering) return now - ended_ > linger_life ? close("does not close") : void();
  if (backlog() > 0 && now - progress_ > write_stall) return close("does not read");
  if (!open()) return;
  if (message_overdue(now)) read_now();  // the rest may be here, and only we are late
  if (!open()) return;
  if (message_overdue(now)) {
    return turn_away({}, {std::nullopt, jsonrpc::Code::parse_error, "the rest of a message did not come"});
  }
  if (!spoke_ && now - heard_ > silent_life) return finish_if_idle();
  if (now - used_ > idle_life) finish_if_idle();
}

}  // namespace paddlestand::platform
