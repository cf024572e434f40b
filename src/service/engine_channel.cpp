#include "engine_channel.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "spawn.hpp"

namespace paddlestand::service {
using Field = observe::LogFieldName;
namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;

EngineChannel::EngineChannel(PostgresServer& server, core::ChannelId id, tcp::endpoint endpoint)
    : server_(server),
      id_(id),
      endpoint_(std::move(endpoint)),
      socket_(server.io()),
      opened_at_(server.current_time()),
      wakeup_(server.io()) {
  wakeup_.expires_at(steady_clock::time_point::max());
}

void EngineChannel::start() {
  spawn_with(server_.io(), [self = shared_from_this()] { return self->run(); });
}

void EngineChannel::close() {
  is_closed_ = true;
  socket_.close();
  wakeup_.cancel();
}

void EngineChannel::report_loss(core::ChannelLossReason reason) {
  if (is_closed_) return;
  server_.dispatch(core::ChannelLost{id_, reason});
}

void EngineChannel::resume() {
  is_paused_ = false;
  wakeup_.cancel();
}

// ---- Connecting ----

/// Returns whether the connection was established and the channel was not closed in the meantime.
asio::awaitable<bool> EngineChannel::connect() {
  const auto failure = co_await connect_before(
      socket_, endpoint_, opened_at_ + server_.config().core.connect_timeout, [this] { return is_closed_; },
      [](const ConnectFailure&, bool) {});
  if (failure && !is_closed_) report_loss(loss_reason_of(*failure));
  co_return !failure && !is_closed_;
}

/// Writes messages of the login. A failure is detected and reported by the next read.
asio::awaitable<void> EngineChannel::write_login(std::string bytes) {
  const auto self = shared_from_this();
  while (!is_closed_ && !bytes.empty()) {
    const IoResult sent = socket_.send(bytes);
    if (sent.status == IoStatus::ended) co_return;
    bytes.erase(0, sent.bytes);
    if (sent.status != IoStatus::progress) { co_await socket_.wait_to_send(sent.status); }
  }
}

// ---- Reading ----

asio::awaitable<void> EngineChannel::wait_until_resumed() {
  error_code woken;
  co_await wakeup_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
  if (!is_closed_) wakeup_.expires_at(steady_clock::time_point::max());
}

asio::awaitable<void> EngineChannel::run() {
  const auto self = shared_from_this();
  if (!co_await connect()) co_return;
  co_await write_login(protocol_.start(server_.engine_login()));
  IoStatus last = IoStatus::would_block;
  while (!is_closed_) {
    if (is_paused_) {
      co_await wait_until_resumed();
      continue;
    }
    co_await socket_.wait_to_receive(last);
    if (is_closed_) co_return;
    if (is_paused_) continue;
    std::string reply;
    last = receive_some(reply);
    if (!is_closed_ && !reply.empty()) { co_await write_login(std::move(reply)); }
  }
}

IoStatus EngineChannel::receive_some(std::string& reply) {
  const IoResult received = socket_.receive(server_.scratch());
  if (received.status == IoStatus::end_of_input || received.status == IoStatus::ended) {
    report_loss(core::ChannelLossReason::closed);
  } else if (received.status == IoStatus::progress) {
    std::vector<pg::BackendEvent> events;
    protocol_.feed({server_.scratch().data(), received.bytes}, events, reply);
    for (const pg::BackendEvent& event : events) {
      if (is_closed_) break;
      on_event(event);
    }
  }
  return received.status;
}

void EngineChannel::on_event(const pg::BackendEvent& event) {
  const std::size_t new_bytes = protocol_.answer().size() - reported_bytes_;
  if (std::holds_alternative<pg::BackendReady>(event)) {
    server_.dispatch(core::ChannelOpened{id_});
  } else if (const auto* refused = std::get_if<pg::BackendLoginRejected>(&event)) {
    server_.log().info(observe::LogEvent::engine_channel_failed,
                       {{Field::channel, id_},
                        {Field::sqlstate, refused->error.code},
                        {Field::reason, refused->error.message}},
                       "rejected");
    report_loss(core::ChannelLossReason::refused);
  } else if (const auto* broken = std::get_if<pg::BackendProtocolError>(&event)) {
    server_.log().warn(observe::LogEvent::engine_channel_failed,
                       {{Field::channel, id_}, {Field::reason, broken->what}}, "closed");
    report_loss(core::ChannelLossReason::protocol_error);
  } else if (std::holds_alternative<pg::BackendAnswerPart>(event)) {
    on_answer_part(new_bytes);
  } else if (const auto* end = std::get_if<pg::BackendAnswerEnd>(&event)) {
    on_answer_end(*end, new_bytes);
  } else if (const auto* progress = std::get_if<pg::BackendProgress>(&event)) {
    server_.dispatch(core::EngineProgress{id_, progress->kind, progress->level});
  }
}

void EngineChannel::on_answer_part(std::size_t new_bytes) {
  reported_bytes_ += new_bytes;
  server_.dispatch(core::AnswerPart{id_, new_bytes});
}

void EngineChannel::on_answer_end(const pg::BackendAnswerEnd& end, std::size_t new_bytes) {
  reported_bytes_ = 0;
  const bool reusable = end.reusable && grant_updates_in_flight_ == 0;
  server_.dispatch_answer_end({id_, end.ending, new_bytes, reusable, end.work, end.memory_mb, end.report},
                              end);
}

// ---- Writing ----

std::optional<core::WriteResult> EngineChannel::send(std::string bytes, ResumeCount facts_as_of) {
  const IoResult first = socket_.send_unless_resumed(bytes, facts_as_of);
  if (first.status == IoStatus::outdated) return std::nullopt;
  writing_ = std::move(bytes);
  written_ = first.bytes;
  facts_as_of_ = facts_as_of;
  const IoStatus status = first.status == IoStatus::progress ? write_pending() : first.status;
  // The read loop would detect this too, but here it is certain that no complete query was sent.
  if (status == IoStatus::ended) return core::WriteResult::failed;
  if (status == IoStatus::progress) return core::WriteResult::complete;
  spawn_with(server_.io(), [self = shared_from_this()] { return self->write_remaining(); });
  return core::WriteResult::partial;
}

/// Writes the remaining bytes of the query until the socket would block, the connection has ended, or the
/// process was stopped and resumed. The client may have closed during a stop, and the engine does not start
/// an incomplete query.
IoStatus EngineChannel::write_pending() {
  while (written_ < writing_.size()) {
    const IoResult sent =
        socket_.send_unless_resumed(std::string_view(writing_).substr(written_), facts_as_of_);
    if (sent.status != IoStatus::progress) return sent.status;
    written_ += sent.bytes;
  }
  std::string().swap(writing_);
  written_ = 0;
  return IoStatus::progress;
}

/// Waits for the socket and then writes in the same turn of the event loop. An asynchronous write would send
/// the last byte in the reactor, and events dispatched before its completion handler would still treat the
/// query as not sent.
asio::awaitable<void> EngineChannel::write_remaining() {
  const auto self = shared_from_this();
  IoStatus last = IoStatus::would_block;
  for (;;) {
    co_await socket_.wait_to_send(last);
    if (is_closed_) co_return;
    last = write_pending();
    if (last == IoStatus::outdated) {
      report_loss(core::ChannelLossReason::local);
      co_return;
    }
    if (last == IoStatus::ended) {
      report_loss(core::ChannelLossReason::closed);
      co_return;
    }
    if (last == IoStatus::progress) {
      server_.dispatch(core::QuerySent{id_});
      co_return;
    }
  }
}

}  // namespace paddlestand::service
