/// A connection to an engine, which carries many streams: the attempts and probes of the core. It belongs to
/// the engine's id, not to its address, since a new engine may start at the address of a removed one.
///
/// A call that fails temporarily ends nothing here (core::verdict_of): connecting is retried, frames stay in
/// the queue. A connection that can't carry anything any more is reported to its listener, once.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/event_dispatcher.hpp"
#include "core/stream_table.hpp"
#include "core/wire_attempts.hpp"
#include "engine_connection_listener.hpp"
#include "frame_queue.hpp"
#include "protocol/engine_frames/frames.hpp"
#include "service/socket_calls.hpp"

namespace paddlestand::platform {

class PlatformHost;

/// The engine and address of a connection, and its number for the log.
struct EngineConnectionTarget {
  EngineId engine{};
  boost::asio::ip::tcp::endpoint address;
  core::ConnectionId number{};  ///< unique in this process
  Duration connect_timeout{};
};

/// One connection. Owned by `EngineConnections`, by the streams on it, and by its own coroutines.
class EngineConnection : public std::enable_shared_from_this<EngineConnection> {
 public:
  /// `host` and `listener` must outlive it.
  EngineConnection(PlatformHost& host, EngineConnectionListener& listener, EngineConnectionTarget target);

  /// Begins to connect.
  void start();
  /// Closes it, which gives up every stream on it. Bytes that were not transmitted yet never are: the close
  /// must not wait behind bytes that an engine does not read.
  void close();

  [[nodiscard]] EngineId engine() const { return target_.engine; }
  [[nodiscard]] core::ConnectionId number() const { return target_.number; }
  [[nodiscard]] bool is_connected() const { return is_connected_; }
  [[nodiscard]] bool is_closed() const { return is_closed_; }
  [[nodiscard]] core::StreamTable& stream_table() { return stream_table_; }
  [[nodiscard]] const core::StreamTable& stream_table() const { return stream_table_; }
  [[nodiscard]] TimePoint opened_at() const { return opened_at_; }
  /// When bytes last arrived, or when it was established.
  [[nodiscard]] TimePoint last_received() const { return last_received_; }
  /// When its last stream ended.
  [[nodiscard]] TimePoint last_used() const { return last_used_; }
  /// Since when the missing bytes of a frame are awaited.
  [[nodiscard]] std::optional<TimePoint> partial_frame_since() const { return partial_frame_since_; }
  /// Whether the engine has closed it, read already or not.
  [[nodiscard]] bool is_closed_by_engine();

  /// Whether it accepts no further streams.
  [[nodiscard]] bool is_retired() const { return is_retired_; }
  /// Accept no further streams: a cancelled one may still be answered, or the connection is unreliable.
  void retire() { is_retired_ = true; }

  [[nodiscard]] std::size_t stream_count() const { return stream_count_; }
  void add_stream() { ++stream_count_; }
  void remove_stream(TimePoint now);

  /// Sends the frame that opens a stream. The result speaks of its first byte: `complete` says that this was
  /// sent, `partial` that the frame waits behind others and can still be withdrawn.
  core::WriteResult send(core::ChannelId channel, core::StreamId stream, StreamFrame frame);
  /// Sends a command about an open stream; it is dropped unsent where the stream ends before.
  void send_command(core::StreamId stream, std::string frame);
  /// Sends the last command about a stream, to which engines send no answer. See is_cancel_transmitted().
  void send_cancel(core::StreamId stream, std::string frame);
  /// Withdraws the frame that opens a stream, where no byte of it was sent.
  FrameQueue::WithdrawResult withdraw(core::ChannelId channel) { return queue_.withdraw(channel); }
  /// Ends a stream: what arrives for it is dropped, and commands about it that wait are not sent.
  void end_stream(core::StreamId stream);
  /// Whether the cancel of a stream was transmitted by this machine, or the connection is closed.
  [[nodiscard]] bool is_cancel_transmitted(core::StreamId stream);

 private:
  using NextFrame = std::variant<std::monostate, engine_frames::Frame, engine_frames::Broken>;

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<bool> connect();
  service::IoStatus receive_available();
  void process(std::string_view bytes);
  std::optional<ProtocolError> process_next(NextFrame next);
  std::optional<ProtocolError> process_frame(engine_frames::Frame frame);

  void push_command(FrameQueue::Frame frame);
  bool prepare_next_frame(service::ResumeCount facts_as_of);
  void withdraw_front(core::ChannelId channel);
  service::IoStatus write_pending();
  void note_sent(std::size_t bytes);
  void start_write_loop();
  boost::asio::awaitable<void> write_loop();
  [[nodiscard]] bool is_partial_frame_overdue();
  bool lose_overdue_partial_frame();

  void fail_sending(const boost::system::error_code& error);
  boost::asio::awaitable<void> read_remaining_and_lose(std::string description);
  void lose(core::ChannelLossReason reason, const std::string& description);

  PlatformHost& host_;
  EngineConnectionListener& listener_;
  EngineConnectionTarget target_;
  service::StreamSocket socket_;
  engine_frames::FrameReader reader_;
  core::StreamTable stream_table_;
  std::size_t stream_count_ = 0;
  FrameQueue queue_;
  std::uint64_t sent_bytes_ = 0;  // accepted by the socket
  std::map<core::StreamId, std::uint64_t> cancel_ends_;  // of cancels sent: their ends, as sent_bytes_; a few
  boost::system::error_code send_error_;
  TimePoint opened_at_{};
  TimePoint last_received_{};
  TimePoint last_used_{};
  std::optional<core::ChannelId> channel_in_send_;  // within send(), while no byte of its frame was sent
  std::optional<TimePoint> partial_frame_since_;
  bool is_connected_ = false;
  bool is_closed_ = false;
  bool is_retired_ = false;
  bool is_write_loop_running_ = false;
  bool has_send_failed_ = false;
};

}  // namespace paddlestand::platform
