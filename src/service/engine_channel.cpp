#include "link.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "spawn.hpp"

namespace paddlestand::service {
namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;

Link::Link(Manager& manager, core::LinkId id, tcp::endpoint at)
    : manager_(manager),
      id_(id),
      at_(std::move(at)),
      socket_(manager.io()),
      opened_(manager.reading()),
      wake_(manager.io()) {
  wake_.expires_at(steady_clock::time_point::max());
}

void Link::start() {
  spawn_with(manager_.io(), [self = shared_from_this()] { return self->run(); });
}

// The core has let go of it: nothing is told of it any more.
void Link::close() {
  closed_ = true;
  socket_.close();
  wake_.cancel();
}

void Link::lost(core::LinkLoss why) {
  if (closed_) return;
  manager_.tell(core::LinkLost{id_, why});
}

void Link::resume() {
  paused_ = false;
  wake_.cancel();
}

asio::awaitable<bool> Link::connect() {
  const auto failure = co_await connect_before(
      socket_, at_, opened_ + manager_.config().core.connect_time_out, [this] { return closed_; },
      [](const ConnectFailure&, bool) {});
  if (failure && !closed_) lost(loss_of(*failure));
  co_return !failure && !closed_;
}

asio::awaitable<void> Link::rest_until_resumed() {
  error_code woken;
  co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
  if (!closed_) wake_.expires_at(steady_clock::time_point::max());
}

asio::awaitable<void> Link::run() {
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

IoStatus Link::read_some(std::string& reply) {
  const IoResult got = socket_.receive(manager_.scratch());
  if (got.status == IoStatus::end_of_input || got.status == IoStatus::ended) {
    lost(core::LinkLoss::closed);
  } else if (got.status == IoStatus::progress) {
    std::vector<pg::LinkEvent> events;
    protocol_.feed({manager_.scratch().data(), got.bytes}, events, reply);
    on_events(events);
  }
  return got.status;
}

// Its failure is found by the next read.
asio::awaitable<void> Link::write_reply(std::string bytes) {
  const auto self = shared_from_this();
  while (!closed_ && !bytes.empty()) {
    const IoResult sent = socket_.send(bytes);
    if (sent.status == IoStatus::ended) co_return;
    bytes.erase(0, sent.bytes);
    if (sent.status != IoStatus::progress) co_await socket_.wait_to_send(sent.status);
  }
}

void Link::on_events(const std::vector<pg::LinkEvent>& events) {
  for (const pg::LinkEvent& event : events) {
    if (closed_) return;
    const std::size_t fresh = protocol_.answer().size() - told_;
    if (std::holds_alternative<pg::LinkReady>(event)) {
      manager_.tell(core::LinkUp{id_});
    } else if (const auto* refused = std::get_if<pg::LinkRefused>(&event)) {
      manager_.log().info("engine", "link " + std::to_string(id_) + " refused: " + refused->error.code + " " +
                                        refused->error.message);
      lost(core::LinkLoss::refused);
    } else if (const auto* broken = std::get_if<pg::LinkBroken>(&event)) {
      manager_.log().warn("engine", "link " + std::to_string(id_) + " closed: " + broken->what);
      lost(core::LinkLoss::broken_protocol);
    } else if (std::holds_alternative<pg::LinkAnswerPart>(event)) {
      told_ += fresh;
      manager_.tell(core::AnswerPart{id_, fresh});
    } else if (const auto* end = std::get_if<pg::LinkAnswerEnd>(&event)) {
      told_ = 0;
      const bool reusable = end->reusable && terms_changes_ == 0;
      manager_.tell_end({id_, end->ending, fresh, reusable, end->work, end->memory_mb, end->report}, *end);
    } else if (const auto* note = std::get_if<pg::LinkNote>(&event)) {
      manager_.tell(core::EngineNote{id_, note->kind, note->level});
    }
  }
}

core::Written Link::send(std::string bytes) {
  writing_ = std::move(bytes);
  written_ = 0;
  const IoStatus status = write_some();
  // The reader will find the same; told now, since nothing of the query was handed over.
  if (status == IoStatus::ended) return core::Written::failed;
  if (status == IoStatus::progress) return core::Written::whole;
  spawn_with(manager_.io(), [self = shared_from_this()] { return self->write_on(); });
  return core::Written::partly;
}

// Writes what waits, until it can't now, or never again.
IoStatus Link::write_some() {
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
asio::awaitable<void> Link::write_on() {
  const auto self = shared_from_this();
  IoStatus last = IoStatus::would_block;
  for (;;) {
    co_await socket_.wait_to_send(last);
    if (closed_) co_return;
    last = write_some();
    if (last == IoStatus::ended) {
      lost(core::LinkLoss::closed);
      co_return;
    }
    if (last != IoStatus::progress) continue;
    manager_.tell(core::QuerySent{id_});
    co_return;
  }
}

}  // namespace paddlestand::service
