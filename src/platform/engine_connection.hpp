/// A connection to an engine, carrying many streams: the attempts and probes of the core. It belongs to the
/// engine's id, never to its address, since a new engine may come at the address of one that is gone.
///
/// A call that fails for a moment ends nothing here (core::verdict_of): connecting is tried again, frames
/// stay in the queue. What the connection can't carry any more is told to the platform, once.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string>

#include "core/event_dispatcher.hpp"
#include "core/stream_table.hpp"
#include "core/wire_attempts.hpp"
#include "frame_queue.hpp"
#include "protocol/engine_frames/frames.hpp"
#include "service/socket_calls.hpp"

namespace paddlestand::platform {

class PlatformServer;

class EngineConnection : public std::enable_shared_from_this<EngineConnection> {
 public:
  using tcp = boost::asio::ip::tcp;

  /// `number`: its own among all of this process, for the log.
  EngineConnection(PlatformServer& platform, EngineId engine, tcp::endpoint at, core::ConnectionId number);

  void start();
  /// Gives up all that is open on it. What has not left this machine never does: its end must not wait behind
  /// bytes that an engine does not read.
  void close();

  [[nodiscard]] EngineId engine() const { return engine_; }
  [[nodiscard]] core::ConnectionId number() const { return number_; }
  [[nodiscard]] bool up() const { return up_; }
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] core::StreamTable& table() { return table_; }
  [[nodiscard]] const core::StreamTable& table() const { return table_; }
  [[nodiscard]] std::size_t streams() const { return channels_; }
  [[nodiscard]] TimePoint opened() const { return opened_; }
  [[nodiscard]] TimePoint heard() const { return heard_; }  // its last bytes, or when it came up
  [[nodiscard]] TimePoint used() const { return used_; }  // when its last stream left
  // Takes no new stream: what was given up on it may still be answered, or it is silent.
  [[nodiscard]] bool retired() const { return retired_; }
  void retire() { retired_ = true; }
  // The engine's close is here, and not read yet.
  [[nodiscard]] bool ended();
  // Since when the rest of a frame is awaited.
  [[nodiscard]] std::optional<TimePoint> stalled_since() const { return inside_since_; }

  void join() { ++channels_; }
  void leave(TimePoint now);

  // A frame counts from its first byte on: `whole` says that this went out, `partly` that it waits behind
  // others and can still be withdrawn.
  // `made`: when its deadline was reckoned.
  core::WriteResult send(core::ChannelId channel, core::StreamId id, std::string frame, TimePoint made);
  /// About a stream that is open; dropped unsent at its end.
  void send_command(core::StreamId id, std::string frame);
  /// The last command about a stream; no engine answers it. See cancel_has_left().
  void send_cancel(core::StreamId id, std::string frame);
  FrameQueue::Withdrawn withdraw(core::ChannelId channel) { return queue_.withdraw(channel); }
  /// The stream's end: what comes for it is passed over, and what waits to be said of it is not said.
  void end_stream(core::StreamId id);
  /// Whether the cancel that was sent for a stream has left this machine.
  [[nodiscard]] bool cancel_has_left(core::StreamId id);

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<bool> connect();
  boost::asio::awaitable<void> write_on();
  boost::asio::awaitable<void> read_rest_and_lose(std::string why);
  service::IoStatus receive_some();
  service::IoStatus write_pending();
  bool begin_next_frame();
  void wrote(std::size_t bytes);
  void push_command(FrameQueue::Frame frame);
  void write_later();
  void sending_failed(const boost::system::error_code& error);
  void lost(core::ChannelLossReason why, const std::string& what);
  bool take(std::string_view bytes);
  std::string take_frame(engine_frames::Frame frame);

  PlatformServer& platform_;
  EngineId engine_;
  tcp::endpoint at_;
  core::ConnectionId number_;
  service::StreamSocket socket_;
  engine_frames::FrameReader reader_;
  core::StreamTable table_;
  std::size_t channels_ = 0;
  FrameQueue queue_;
  std::uint64_t written_bytes_ = 0;  // that the socket took
  std::map<core::StreamId, std::uint64_t> cancels_;  // written whole: up to which of these; a few at most
  boost::system::error_code send_error_;
  TimePoint opened_{}, heard_{}, used_{};
  std::optional<core::ChannelId> being_sent_;  // in its own send(), while no byte of it went out
  std::optional<TimePoint> inside_since_;
  bool up_ = false, closed_ = false, retired_ = false, writes_ = false, send_failed_ = false;
};

}  // namespace paddlestand::platform
