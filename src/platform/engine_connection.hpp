/// A connection to an engine that multiplexes streams: the attempts and probes of the core. It is bound to
/// the engine's id, not to its address, since a new engine may start at the address of a removed one.
///
/// Temporary failures of system calls do not end a connection (core::verdict_of): connecting is retried, and
/// frames stay in the queue. The loss of a connection is reported to its listener once.
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

/// The engine and address of a connection, its number and its connect timeout.
struct EngineConnectionTarget {
  EngineId engine{};
  boost::asio::ip::tcp::endpoint address;
  core::ConnectionId number{};  ///< unique in this process
  Duration connect_timeout{};
};

/// One connection. Owned by `EngineConnections`, by its streams and by its own coroutines.
class EngineConnection : public std::enable_shared_from_this<EngineConnection> {
 public:
  /// `host` and `listener` must outlive it.
  EngineConnection(PlatformHost& host, EngineConnectionListener& listener, EngineConnectionTarget target);

  /// Starts connecting.
  void start();
  /// Closes the connection, which cancels every stream on it. Bytes not transmitted yet are discarded, since
  /// the close must not wait behind bytes that the engine does not read.
  void close();

  [[nodiscard]] EngineId engine() const { return target_.engine; }
  [[nodiscard]] core::ConnectionId number() const { return target_.number; }
  [[nodiscard]] bool is_connected() const { return is_connected_; }
  [[nodiscard]] bool is_closed() const { return is_closed_; }
  [[nodiscard]] core::StreamTable& stream_table() { return stream_table_; }
  [[nodiscard]] const core::StreamTable& stream_table() const { return stream_table_; }
  [[nodiscard]] TimePoint opened_at() const { return opened_at_; }
  /// When bytes last arrived, or when the connection was established.
  [[nodiscard]] TimePoint last_received() const { return last_received_; }
  /// When its last stream ended.
  [[nodiscard]] TimePoint last_used() const { return last_used_; }
  /// When the incomplete frame at the end of the input began, if there is one.
  [[nodiscard]] std::optional<TimePoint> partial_frame_since() const { return partial_frame_since_; }
  /// Whether the engine has closed the connection, even if that was not read yet.
  [[nodiscard]] bool is_closed_by_engine();

  /// Whether it accepts no further streams.
  [[nodiscard]] bool is_retired() const { return is_retired_; }
  /// Makes the connection accept no further streams. Used when a cancelled stream may still be answered, or
  /// the connection is unreliable.
  void retire() { is_retired_ = true; }

  [[nodiscard]] std::size_t stream_count() const { return stream_count_; }
  void add_stream() { ++stream_count_; }
  void remove_stream(TimePoint now);

  /// Sends the frame that opens a stream. The result refers to the first byte of the frame: `complete` if it
  /// was sent, `partial` if the frame is queued behind others and can still be withdrawn.
  core::WriteResult send(core::ChannelId channel, core::StreamId stream, StreamFrame frame);
  /// Sends a command for an open stream. The command is dropped if the stream ends before it is sent.
  void send_command(core::StreamId stream, std::string frame);
  /// Sends the last command for a stream, which engines do not answer. See is_cancel_transmitted().
  void send_cancel(core::StreamId stream, std::string frame);
  /// Withdraws the frame that opens a stream, if no byte of it was sent.
  FrameQueue::WithdrawResult withdraw(core::ChannelId channel) { return queue_.withdraw(channel); }
  /// Ends a stream: drops frames that arrive for it and its unsent commands.
  void end_stream(core::StreamId stream);
  /// Whether this machine has transmitted the cancel of a stream, or the connection is closed.
  [[nodiscard]] bool is_cancel_transmitted(core::StreamId stream);

 private:
  using NextFrame = std::variant<std::monostate, engine_frames::Frame, engine_frames::ProtocolViolation>;

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
  void record_sent(std::size_t bytes);
  void start_write_loop();
  boost::asio::awaitable<void> write_loop();
  [[nodiscard]] bool is_partial_frame_overdue();
  bool report_overdue_partial_frame();

  void fail_sending(const boost::system::error_code& error);
  boost::asio::awaitable<void> read_remaining_and_report_loss(std::string description);
  void report_loss(core::ChannelLossReason reason, const std::string& description);

  PlatformHost& host_;
  EngineConnectionListener& listener_;
  EngineConnectionTarget target_;
  service::StreamSocket socket_;
  engine_frames::FrameReader reader_;
  core::StreamTable stream_table_;
  std::size_t stream_count_ = 0;
  FrameQueue queue_;
  std::uint64_t sent_bytes_ = 0;  // accepted by the socket
  // By stream: sent_bytes_ at the end of its cancel. Few entries, since a cancel retires the connection.
  std::map<core::StreamId, std::uint64_t> cancel_ends_;
  boost::system::error_code send_error_;
  TimePoint opened_at_{};
  TimePoint last_received_{};
  TimePoint last_used_{};
  std::optional<core::ChannelId> channel_in_send_;  // set within send() until a byte of its frame is sent
  std::optional<TimePoint> partial_frame_since_;
  bool is_connected_ = false;
  bool is_closed_ = false;
  bool is_retired_ = false;
  bool is_write_loop_running_ = false;
  bool has_send_failed_ = false;
};

}  // namespace paddlestand::platform
