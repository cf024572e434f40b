#include "engine_connection.hpp"

#include "platform_server.hpp"
#include "service/spawn.hpp"

namespace paddlestand::platform {
namespace asio = boost::asio;
using boost::system::error_code;
using service::IoResult;
using service::IoStatus;

EngineConnection::EngineConnection(PlatformServer& platform, EngineId engine, tcp::endpoint at,
                                   core::ConnectionId number)
    : platform_(platform),
      engine_(engine),
      at_(std::move(at)),
      number_(number),
      socket_(platform.io()),
      reader_(engine_frames::Side::engine),
      opened_(platform.reading()) {
  heard_ = used_ = opened_;
}

void EngineConnection::start() {
  service::spawn_with(platform_.io(), [self = shared_from_this()] { return self->run(); });
}

// An orderly close goes out behind what the socket still holds, which an engine that does not read never
// takes: its attempts would run on there while their requests are sent elsewhere (incident 32). A reset
// passes.
void EngineConnection::close() {
  closed_ = true;
  const bool all_has_left = queue_.empty() && socket_.unsent_bytes() == 0;
  all_has_left ? socket_.close() : socket_.reset();
  queue_.clear();
}

void EngineConnection::lost(core::ChannelLossReason why, const std::string& what) {
  if (closed_) return;
  platform_.connection_lost(shared_from_this(), why, what);
}

// A close that is here already, and not read yet in this turn: a request written now would be reset, and
// nobody could say that it never ran.
bool EngineConnection::ended() {
  if (closed_ || !up_) return closed_;
  char next{};
  const IoStatus status = socket_.peek({&next, 1}).status;
  return status == IoStatus::end_of_input || status == IoStatus::ended;
}

void EngineConnection::leave(TimePoint now) {
  --channels_;
  used_ = now;
}

// ---- Connecting and reading ----

asio::awaitable<bool> EngineConnection::connect() {
  const auto failure = co_await service::connect_before(
      socket_, at_, opened_ + platform_.connect_time(), [this] { return closed_; },
      [this](const service::ConnectFailure& why, bool again) {
        platform_.log_connect_failure(engine_, why.error, again);
      });
  if (failure && !closed_) lost(service::loss_of(*failure), failure->error.message());
  co_return !failure && !closed_;
}

asio::awaitable<void> EngineConnection::run() {
  const auto self = shared_from_this();
  if (!co_await connect()) co_return;
  up_ = true;
  heard_ = platform_.reading();
  platform_.connection_up(self);
  IoStatus last = IoStatus::would_block;
  while (!closed_) {
    co_await socket_.wait_to_receive(last);
    if (closed_) co_return;
    last = receive_some();
  }
}

IoStatus EngineConnection::receive_some() {
  const auto scratch = platform_.scratch();
  const IoResult got = socket_.receive(scratch);
  switch (got.status) {
    case IoStatus::progress: take({scratch.data(), got.bytes}); break;
    case IoStatus::end_of_input: lost(core::ChannelLossReason::closed, "the engine closed it"); break;
    case IoStatus::ended: lost(core::ChannelLossReason::closed, "receive: " + got.error.message()); break;
    case IoStatus::would_block:
    case IoStatus::retry_later: break;
  }
  return got.status;
}

// What is wrong with it, or nothing.
std::string EngineConnection::take_frame(engine_frames::Frame frame) {
  // What nobody waits for is passed over: a second copy, an answer behind a give-up, an unknown id.
  const auto channel = table_.channel_of(frame.id);
  auto answer = engine_frames::read_answer(std::move(frame));
  if (const auto* on_violation = std::get_if<engine_frames::Broken>(&answer)) return on_violation->what;
  if (!channel) {
    platform_.frame_without_stream(*this, std::get<engine_frames::Answer>(answer));
    return {};
  }
  return platform_.answered(*this, *channel, std::move(std::get<engine_frames::Answer>(answer)));
}

bool EngineConnection::take(std::string_view bytes) {
  heard_ = platform_.reading();
  reader_.feed(bytes);
  while (!closed_) {
    auto next = reader_.next();
    if (std::holds_alternative<std::monostate>(next)) break;
    std::string wrong;
    if (auto* frame = std::get_if<engine_frames::Frame>(&next)) {
      inside_since_.reset();  // a whole one came: the rest of the next is awaited from here on
      wrong = take_frame(std::move(*frame));
    } else {
      wrong = std::get<engine_frames::Broken>(next).what;
    }
    if (!wrong.empty()) {
      lost(core::ChannelLossReason::protocol_error, wrong);
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

// ---- Writing ----

core::WriteResult EngineConnection::send(core::ChannelId channel, core::StreamId id, std::string frame,
                                         TimePoint made) {
  if (send_failed_) return core::WriteResult::failed;
  queue_.push({channel, id, false, std::move(frame), made});
  if (writes_) return core::WriteResult::partial;
  being_sent_ = channel;
  const IoStatus status = write_pending();
  const bool dropped = !std::exchange(being_sent_, std::nullopt);
  if (dropped) return core::WriteResult::suppressed;
  if (status == IoStatus::progress) return core::WriteResult::complete;
  if (status == IoStatus::ended) {
    const bool begun = queue_.front_begun();
    sending_failed(send_error_);
    return begun ? core::WriteResult::complete : core::WriteResult::failed;
  }
  const bool begun = queue_.front_begun();
  write_later();
  return begun ? core::WriteResult::complete : core::WriteResult::partial;
}

void EngineConnection::send_command(core::StreamId id, std::string frame) {
  push_command({0, id, false, std::move(frame), platform_.reading()});
}

void EngineConnection::send_cancel(core::StreamId id, std::string frame) {
  push_command({0, id, true, std::move(frame), platform_.reading()});
}

void EngineConnection::push_command(FrameQueue::Frame frame) {
  if (closed_ || !up_ || send_failed_) return;
  queue_.push(std::move(frame));
  if (writes_) return;
  const IoStatus status = write_pending();
  if (status == IoStatus::ended) {
    sending_failed(send_error_);
  } else if (status != IoStatus::progress) {
    write_later();
  }
}

void EngineConnection::end_stream(core::StreamId id) {
  table_.close(id);
  queue_.withdraw_commands(id);
}

bool EngineConnection::cancel_has_left(core::StreamId id) {
  const auto written = cancels_.find(id);
  if (closed_) return true;
  if (written == cancels_.end()) return false;
  return written_bytes_ - socket_.unsent_bytes() >= written->second;
}

void EngineConnection::write_later() {
  writes_ = true;
  service::spawn_with(platform_.io(), [self = shared_from_this()] { return self->write_on(); });
}

// Nothing more can be sent, but answers may be here that were on their way.
void EngineConnection::sending_failed(const error_code& error) {
  if (send_failed_) return;
  send_failed_ = true;
  retire();
  queue_.clear();
  service::spawn_with(platform_.io(), [self = shared_from_this(), why = "send: " + error.message()] {
    return self->read_rest_and_lose(why);
  });
}

asio::awaitable<void> EngineConnection::read_rest_and_lose(std::string why) {
  while (!closed_ && receive_some() == IoStatus::progress) {}
  lost(core::ChannelLossReason::closed, why);
  co_return;
}

// The first frame, as it may go out now: one that has waited is made anew, or it would tell the engine of
// time that its client has not any more, or run for nobody. False where nothing waits.
bool EngineConnection::begin_next_frame() {
  while (!closed_ && !queue_.empty()) {
    FrameQueue::Frame& frame = queue_.front();
    const TimePoint now = platform_.reading();
    if (queue_.front_begun() || frame.channel == 0 || now - frame.made <= core::longest_frame_wait)
      return true;
    const core::ChannelId channel = frame.channel;
    auto fresh = platform_.frame_for(channel);
    if (closed_ || queue_.empty() || queue_.front().channel != channel)
      continue;  // the look changed the queue
    if (fresh) {
      queue_.front().bytes = std::move(*fresh);
      queue_.front().made = now;
      return true;
    }
    queue_.drop_front();
    if (being_sent_ == channel) {
      being_sent_.reset();  // its own send() tells
    } else {
      platform_.dispatch(core::ChannelLost{channel, core::ChannelLossReason::local});
    }
  }
  return false;
}

void EngineConnection::wrote(std::size_t bytes) {
  written_bytes_ += bytes;
  const auto whole = queue_.wrote(bytes);
  if (whole && whole->cancels) cancels_[whole->stream] = written_bytes_;
}

// Writes until nothing waits (progress), or until it can't now, or never again. Whose first byte goes out
// later than in its own send() is told.
IoStatus EngineConnection::write_pending() {
  while (begin_next_frame()) {
    const bool first_byte = !queue_.front_begun();
    const core::ChannelId channel = queue_.front().channel;
    const IoResult sent = socket_.send(queue_.unwritten());
    if (sent.status != IoStatus::progress) {
      send_error_ = sent.error;
      return sent.status;
    }
    wrote(sent.bytes);
    if (first_byte && channel != 0 && writes_) platform_.dispatch(core::QuerySent{channel});
    if (closed_) break;
  }
  return IoStatus::progress;
}

asio::awaitable<void> EngineConnection::write_on() {
  const auto self = shared_from_this();
  IoStatus last = IoStatus::would_block;
  while (!closed_) {
    co_await socket_.wait_to_send(last);
    if (closed_ || send_failed_) co_return;
    const bool half = !queue_.empty() && queue_.front_begun() && queue_.front().channel != 0;
    if (half && platform_.reading() - queue_.front().made > core::longest_partial_frame) {
      lost(core::ChannelLossReason::closed, "a request could not be written whole in time");
      co_return;
    }
    last = write_pending();
    if (closed_) co_return;
    if (last == IoStatus::ended) {
      sending_failed(send_error_);
      co_return;
    }
    if (last == IoStatus::progress) {
      writes_ = false;
      co_return;
    }
  }
}

}  // namespace paddlestand::platform
