#include "engine_channel.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "spawn.hpp"

namespace paddlestand::service {
namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;

EngineChannel::EngineChannel(PostgresServer& manager, core::ChannelId id, tcp::endpoint at)
    : manager_(manager),
      id_(id),
      at_(std::move(at)),
      socket_(manager.io()),
      opened_(manager.reading()),
      wake_(manager.io()) {
  wake_.expires_at(steady_clock::time_point::max());
}

void EngineChannel::start() {
  spawn_with(manager_.io(), [self = shared_from_this()] { return self->run(); });
}

// The core has let go of it: nothing is told of it any more.
void EngineChannel::close() {
  closed_ = true;
  socket_.close();
  wake_.cancel();
}

void EngineChannel::lost(core::ChannelLossReason why) {
  if (closed_) return;
  manager_.dispatch(core::ChannelLost{id_, why});
}

void EngineChannel::resume() {
  paused_ = false;
  wake_.cancel();
}

asio::awaitable<bool> EngineChannel::connect() {
  const auto failure = co_await connect_before(
      socket_, at_, opened_ + manager_.config().core.connect_timeout, [this] { return closed_; },
      [](const ConnectFailure&, bool) {});
  if (failure && !closed_) lost(loss_of(*failure));
  co_return !failure && !closed_;
}

asio::awaitable<void> EngineChannel::rest_until_resumed() {
  error_code woken;
  co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
  if (!closed_) wake_.expires_at(steady_clock::time_point::max());
}

asio::awaitable<void> EngineChannel::run() {
  const auto self = shared_from_this();
  if (!co_await connect()) co_return;
  co_await write_reply(protocol_.start(manager_.engine_login()));
  IoStatus last = IoStatus::would_block;
  while (!closed_) {
    if (paused_) {
      co_await rest_until_resumed();
      continue;
    }
    co_await socket_.wait_to_receive(last);
    if (closed_) co_return;
    if (paused_) continue;
    std::string reply;
    last = read_some(reply);
    if (!closed_ && !reply.empty()) co_await write_reply(std::move(reply));
  }
}

IoStatus EngineChannel::read_some(std::string& reply) {
  const IoResult got = socket_.receive(manager_.scratch());
  if (got.status == IoStatus::end_of_input || got.status == IoStatus::ended) {
    lost(core::ChannelLossReason::closed);
  } else if (got.status == IoStatus::progress) {
    std::vector<pg::BackendEvent> events;
    protocol_.feed({manager_.scratch().data(), got.bytes}, events, reply);
    on_events(events);
  }
  return got.status;
}

// Its failure is found by the next read.
asio::awaitable<void> EngineChannel::write_reply(std::string bytes) {
  const auto self = shared_from_this();
  while (!closed_ && !bytes.empty()) {
    const IoResult sent = socket_.send(bytes);
    if (sent.status == IoStatus::ended) co_return;
    bytes.erase(0, sent.bytes);
    if (sent.status != IoStatus::progress) co_await socket_.wait_to_send(sent.status);
  }
}

void EngineChannel::on_events(const std::vector<pg::BackendEvent>& events) {
  for (const pg::BackendEvent& event : events) {
    if (closed_) return;
    const std::size_t fresh = protocol_.answer().size() - told_;
    if (std::holds_alternative<pg::BackendReady>(event)) {
      manager_.dispatch(core::ChannelOpened{id_});
    } else if (const auto* refused = std::get_if<pg::BackendRefused>(&event)) {
      manager_.log().info("engine", "link " + std::to_string(id_) + " refused: " + refused->error.code + " " +
                                        refused->error.message);
      lost(core::ChannelLossReason::refused);
    } else if (const auto* on_violation = std::get_if<pg::BackendBroken>(&event)) {
      manager_.log().warn("engine", "link " + std::to_string(id_) + " closed: " + on_violation->what);
      lost(core::ChannelLossReason::protocol_error);
    } else if (std::holds_alternative<pg::BackendAnswerPart>(event)) {
      told_ += fresh;
      manager_.dispatch(core::AnswerPart{id_, fresh});
    } else if (const auto* end = std::get_if<pg::BackendAnswerEnd>(&event)) {
      told_ = 0;
      const bool reusable = end->reusable && terms_changes_ == 0;
      manager_.tell_end({id_, end->ending, fresh, reusable, end->work, end->memory_mb, end->report}, *end);
    } else if (const auto* note = std::get_if<pg::BackendProgress>(&event)) {
      manager_.dispatch(core::EngineProgress{id_, note->kind, note->level});
    }
  }
}

core::WriteResult EngineChannel::send(std::string bytes) {
  writing_ = std::move(bytes);
  written_ = 0;
  const IoStatus status = write_some();
  // The reader will find the same; told now, since nothing of the query was handed over.
  if (status == IoStatus::ended) return core::WriteResult::failed;
  if (status == IoStatus::progress) return core::WriteResult::complete;
  spawn_with(manager_.io(), [self = shared_from_this()] { return self->write_on(); });
  return core::WriteResult::partial;
}

// Writes what waits, until it can't now, or never again.
IoStatus EngineChannel::write_some() {
  while (written_ < writing_.size()) {
    const IoResult sent = socket_.send(std::string_view(writing_).substr(written_));
    if (sent.status != IoStatus::progress) return sent.status;
    written_ += sent.bytes;
  }
  std::string().swap(writing_);
  written_ = 0;
  return IoStatus::progress;
}

// Waits for room and writes in one turn: an asynchronous write would hand the last byte over in the reactor,
// and whatever came before its completion would still take the query for one that never ran.
asio::awaitable<void> EngineChannel::write_on() {
  const auto self = shared_from_this();
  IoStatus last = IoStatus::would_block;
  for (;;) {
    co_await socket_.wait_to_send(last);
    if (closed_) co_return;
    last = write_some();
    if (last == IoStatus::ended) {
      lost(core::ChannelLossReason::closed);
      co_return;
    }
    if (last != IoStatus::progress) continue;
    manager_.dispatch(core::QuerySent{id_});
    co_return;
  }
}

}  // namespace paddlestand::service
