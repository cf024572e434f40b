#include "channel.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "platform.hpp"

namespace paddlestand::platform {
namespace asio = boost::asio;
using boost::system::error_code;

namespace {

bool would_block(const error_code& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

}  // namespace

Channel::Channel(Platform& platform, EngineId engine, tcp::endpoint at)
    : platform_(platform),
      engine_(engine),
      at_(std::move(at)),
      socket_(platform.io()),
      reader_(engine_frames::Side::engine),
      opened_(platform.reading()) {
  heard_ = used_ = opened_;
}

void Channel::start() {
  asio::co_spawn(
      platform_.io(), [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void Channel::close() {
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
  waiting_.clear();
  ids_.clear();
}

void Channel::lost(core::LinkLoss why, const std::string& what) {
  if (closed_) return;
  platform_.channel_lost(shared_from_this(), why, what);
}

// A close that is here already, and not read yet in this turn: a request written now would be reset, and
// nobody could say that it never ran.
bool Channel::ended() {
  if (closed_ || !up_) return closed_;
  char next{};
  error_code error;
  socket_.receive(asio::buffer(&next, 1), tcp::socket::message_peek, error);
  return error && !would_block(error);
}

void Channel::leave(TimePoint now) {
  --links_;
  used_ = now;
}

asio::awaitable<void> Channel::run() {
  const auto self = shared_from_this();
  error_code error;
  socket_.open(at_.protocol(), error);
  if (error) {
    lost(service::loss_of_opening(error), error.message());
    co_return;
  }
  co_await socket_.async_connect(at_, asio::redirect_error(asio::use_awaitable, error));
  if (closed_) co_return;
  if (error) {
    lost(core::LinkLoss::refused, error.message());
    co_return;
  }
  socket_.set_option(tcp::no_delay(true), error);
  socket_.non_blocking(true, error);
  up_ = true;
  heard_ = platform_.reading();
  platform_.channel_up(self);
  while (!closed_) {
    co_await socket_.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (closed_) co_return;
    const auto scratch = platform_.scratch();
    std::size_t got = 0;
    if (!error) got = socket_.read_some(asio::buffer(scratch.data(), scratch.size()), error);
    if (would_block(error)) continue;
    if (error || got == 0) {
      lost(core::LinkLoss::closed, error ? error.message() : "ended");
      co_return;
    }
    if (!take({scratch.data(), got})) co_return;
  }
}

bool Channel::take(std::string_view bytes) {
  heard_ = platform_.reading();
  reader_.feed(bytes);
  while (!closed_) {
    auto next = reader_.next();
    if (std::holds_alternative<std::monostate>(next)) break;
    std::string what;
    if (auto* frame = std::get_if<engine_frames::Frame>(&next)) {
      // What nobody waits for is passed over: a second copy, an answer behind a give-up, an unknown id.
      const auto found = ids_.find(frame->id);
      auto answer = engine_frames::read_answer(std::move(*frame));
      if (const auto* broken = std::get_if<engine_frames::Broken>(&answer)) {
        what = broken->what;
      } else if (found != ids_.end()) {
        what = platform_.answered(*this, found->second, std::move(std::get<engine_frames::Answer>(answer)));
      }
    } else {
      what = std::get<engine_frames::Broken>(next).what;
    }
    if (!what.empty()) {
      lost(core::LinkLoss::broken_protocol, what);
      return false;
    }
  }
  if (closed_) return false;
  if (!reader_.inside()) {
    inside_since_.reset();
  } else if (!inside_since_) {
    inside_since_ = heard_;
  }
  return true;
}

core::Written Channel::send(core::LinkId link, std::uint64_t id, std::string frame) {
  ids_[id] = link;
  if (!writes_) {
    error_code error;
    const std::size_t sent = socket_.write_some(asio::buffer(frame), error);
    if (error && !would_block(error)) return core::Written::failed;
    if (sent == frame.size()) return core::Written::whole;
    if (sent > 0) {
      begun_ = std::move(frame);
      written_ = sent;
    } else {
      waiting_.push_back({link, std::move(frame)});
    }
    writes_ = true;
    asio::co_spawn(
        platform_.io(), [self = shared_from_this()] { return self->write_on(); }, asio::detached);
    return sent > 0 ? core::Written::whole : core::Written::partly;
  }
  waiting_.push_back({link, std::move(frame)});
  return core::Written::partly;
}

void Channel::send_command(std::string frame) {
  if (closed_ || !up_) return;
  if (!writes_) {
    error_code error;
    const std::size_t sent = socket_.write_some(asio::buffer(frame), error);
    if ((error && !would_block(error)) || sent == frame.size()) return;  // the reader finds a loss
    begun_ = std::move(frame);
    written_ = sent;
    writes_ = true;
    asio::co_spawn(
        platform_.io(), [self = shared_from_this()] { return self->write_on(); }, asio::detached);
    return;
  }
  waiting_.push_back({0, std::move(frame)});
}

bool Channel::withdraw(core::LinkId link) {
  return std::erase_if(waiting_, [link](const Waiting& one) { return one.link == link; }) > 0;
}

asio::awaitable<void> Channel::write_on() {
  const auto self = shared_from_this();
  while (!closed_) {
    error_code error;
    co_await socket_.async_wait(tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
    if (closed_) co_return;
    while (!error) {
      core::LinkId first = 0;
      if (written_ == begun_.size()) {
        if (waiting_.empty()) {
          std::string().swap(begun_);
          written_ = 0;
          writes_ = false;
          co_return;
        }
        begun_ = std::move(waiting_.front().frame);
        first = waiting_.front().link;
        written_ = 0;
        waiting_.pop_front();
      }
      const std::size_t sent = socket_.write_some(asio::buffer(begun_) + written_, error);
      if (sent == 0 && first != 0) {  // not begun after all
        waiting_.push_front({first, std::move(begun_)});
        begun_.clear();
        written_ = 0;
        break;
      }
      written_ += sent;
      if (first != 0) platform_.tell(core::QuerySent{first});
      if (closed_) co_return;
    }
    if (error && !would_block(error)) {
      lost(core::LinkLoss::closed, error.message());
      co_return;
    }
  }
}

}  // namespace paddlestand::platform
