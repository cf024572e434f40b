#include "link.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace paddlestand::service {
namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;

Link::Link(Manager& manager, core::LinkId id, tcp::endpoint at)
    : manager_(manager), id_(id), at_(std::move(at)), socket_(manager.io()), wake_(manager.io()) {
  wake_.expires_at(steady_clock::time_point::max());
}

void Link::start() {
  asio::co_spawn(
      manager_.io(), [self = shared_from_this()] { return self->run(); }, asio::detached);
}

// The core has let go of it: nothing is told of it any more.
void Link::close() {
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
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

asio::awaitable<void> Link::run() {
  const auto self = shared_from_this();
  error_code error;
  socket_.open(at_.protocol(), error);
  if (error) {
    lost(loss_of_opening(error));
    co_return;
  }
  co_await socket_.async_connect(at_, asio::redirect_error(asio::use_awaitable, error));
  if (closed_) co_return;
  if (error) {
    lost(core::LinkLoss::refused);
    co_return;
  }
  socket_.set_option(tcp::no_delay(true), error);
  socket_.non_blocking(true, error);
  const std::string hello = protocol_.start(manager_.engine_login());
  co_await asio::async_write(socket_, asio::buffer(hello), asio::redirect_error(asio::use_awaitable, error));
  while (!closed_) {
    if (paused_) {
      co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, error));
      if (!closed_) wake_.expires_at(steady_clock::time_point::max());
      continue;
    }
    error.clear();
    std::size_t got = co_await socket_.async_read_some(asio::buffer(first_),
                                                       asio::redirect_error(asio::use_awaitable, error));
    if (closed_) co_return;
    if (error || got == 0) {
      lost(core::LinkLoss::closed);
      co_return;
    }
    std::string reply;
    std::vector<pg::LinkEvent> events;
    protocol_.feed({first_.data(), got}, events, reply);
    if (got == first_.size()) {  // what is larger goes on in the buffer that all share
      got = socket_.read_some(asio::buffer(manager_.scratch().data(), manager_.scratch().size()), error);
      if (!error) protocol_.feed({manager_.scratch().data(), got}, events, reply);
    }
    on_events(events);
    if (closed_) co_return;
    if (!reply.empty())
      co_await asio::async_write(socket_, asio::buffer(reply),
                                 asio::redirect_error(asio::use_awaitable, error));
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
      manager_.tell_end({id_, end->ending, fresh, end->reusable, end->work, end->memory_mb, end->report},
                        *end);
    } else if (const auto* note = std::get_if<pg::LinkNote>(&event)) {
      manager_.tell(core::EngineNote{id_, note->kind, note->level});
    }
  }
}

core::Written Link::send(std::string bytes) {
  error_code error;
  const std::size_t sent = socket_.write_some(asio::buffer(bytes), error);
  // The reader will find the same; told now, since nothing of the query was handed over.
  if (error && error != asio::error::would_block && error != asio::error::try_again)
    return core::Written::failed;
  if (sent == bytes.size()) return core::Written::whole;
  writing_ = std::move(bytes);
  written_ = sent;
  asio::co_spawn(
      manager_.io(), [self = shared_from_this()] { return self->write_on(); }, asio::detached);
  return core::Written::partly;
}

// Waits for room and writes in one turn: an asynchronous write would hand the last byte over in the reactor,
// and whatever came before its completion would still take the query for one that never ran.
asio::awaitable<void> Link::write_on() {
  const auto self = shared_from_this();
  for (;;) {
    error_code error;
    co_await socket_.async_wait(tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
    if (closed_) co_return;
    if (!error) written_ += socket_.write_some(asio::buffer(writing_) + written_, error);
    if (error == asio::error::would_block || error == asio::error::try_again) continue;
    if (error) {
      lost(core::LinkLoss::closed);
      co_return;
    }
    if (written_ < writing_.size()) continue;
    std::string().swap(writing_);
    manager_.tell(core::QuerySent{id_});
    co_return;
  }
}

}  // namespace paddlestand::service
