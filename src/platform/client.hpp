/// A client's connection: it exchanges lines and carries up to 32 open requests. Temporary failures of system
/// calls do not end it (core::verdict_of); core::may_close decides whether this side may end it.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/connection_policy.hpp"
#include "core/types.hpp"
#include "input_account.hpp"
#include "input_eviction.hpp"
#include "input_times.hpp"
#include "message_batch.hpp"
#include "output_buffer.hpp"
#include "partial_message.hpp"
#include "protocol/jsonrpc/calls.hpp"
#include "protocol/jsonrpc/line_splitter.hpp"
#include "service/socket_calls.hpp"

namespace paddlestand::platform {

class ClientRegistry;
class PlatformHost;
class RequestHandler;
class ServerLifecycle;

/// The objects shared by all client connections, which they must outlive.
struct ClientContext {
  PlatformHost& host;
  RequestHandler& requests;
  ClientRegistry& registry;
  const jsonrpc::CallReader& calls;
  const ServerLifecycle& lifecycle;
};

/// One connection. Owned by the registry and by its own coroutines; removes itself from the registry when it
/// is closed.
class Client : public std::enable_shared_from_this<Client> {
 public:
  using tcp = boost::asio::ip::tcp;

  /// `accept_delay`: how long the connection may have waited, possibly with input, to be accepted.
  Client(const ClientContext& context, tcp::socket socket, std::uint64_t number, Duration accept_delay);

  /// Starts reading.
  void start();
  /// Reads on, when it is the turn of this connection among those that have more input than one read takes.
  void read_from_backlog();
  /// Closes the connection immediately and logs the reason. Unread input causes a reset, so this is only for
  /// clients at fault.
  void close(std::string_view reason);
  /// Writes pending output, then closes gracefully: shuts down this side, and reads and drops input until the
  /// client closes or a time limit passes. Input read after this call is not processed.
  void finish();
  /// Like finish(), but only if the connection is idle: no request is open and no input is unread. Reads
  /// available input first.
  void finish_if_idle();
  /// Reads and processes a bounded amount of available input, so that no connection is closed with an unread
  /// request. If called while one of the client's messages is being processed, its disconnection and its
  /// cancellations take effect immediately, other messages after the current one.
  void read_pending_input();
  /// Like read_pending_input(), but until no input is left, for decisions that must not be made without
  /// knowing whether the client has left. A client that has more unread than any sound client is turned away.
  void read_until_drained();
  /// If there is unread input, reads it all, and turns the client away if its message is incomplete: the
  /// process is about to exit.
  void finish_unread_input();
  /// Refuses the incomplete message and releases its memory. The open requests still get their answers, then
  /// the connection is ended.
  void refuse_partial_message();
  /// Answers every open request as failed, reports the reason, and ends the connection gracefully.
  void turn_away(const std::string& reason);
  /// Ends the connection if one of its time limits has passed.
  void check_timeouts(TimePoint now);
  /// Writes the line that answers a request; drops it if the request is no longer open.
  void answer(std::int64_t request, std::string line);

  [[nodiscard]] std::uint64_t number() const { return number_; }
  [[nodiscard]] bool is_open() const { return phase_ == Phase::open; }
  /// Whether there are no open requests, no pending messages and no pending output.
  [[nodiscard]] bool is_idle() const {
    return open_requests_.empty() && pending_messages_.is_empty() && !postponed_ && output_.is_empty();
  }
  /// Whether this side was shut down and the client has not closed yet.
  [[nodiscard]] bool is_lingering() const { return phase_ == Phase::lingering; }
  /// Whether there is unread input, or it cannot be ruled out at the moment.
  [[nodiscard]] bool may_have_input();
  /// Whether the client has ever sent a valid message.
  [[nodiscard]] bool has_sent_message() const { return has_sent_message_; }
  /// When the input was last read until none was left.
  [[nodiscard]] TimePoint input_drained_at() const { return input_times_.drained_at(); }
  /// When a message was last read or an answer written.
  [[nodiscard]] TimePoint last_used() const { return last_used_; }
  [[nodiscard]] std::size_t unwritten_bytes() const { return output_.size(); }
  /// Whether a request is open, or an answer is not completely written.
  [[nodiscard]] bool is_owed_answers() const { return !is_idle(); }
  /// Whether a message was received in part.
  [[nodiscard]] bool has_partial_message() const { return partial_message_.exists(); }
  /// The message that was received in part.
  [[nodiscard]] HeldMessage held_message(TimePoint now) const;
  /// Whether the end of a line was received but not read.
  [[nodiscard]] bool has_unread_line_end();
  /// When input was last received.
  [[nodiscard]] TimePoint last_received() const { return last_received_; }
  /// When the client last read output, or output was first held for it.
  [[nodiscard]] TimePoint last_write_progress() const { return last_write_progress_; }
  /// Bytes of buffered input and output.
  [[nodiscard]] std::size_t buffered_bytes() const { return unwritten_bytes() + lines_.buffered_bytes(); }

 private:
  enum class Phase : std::uint8_t {
    open,
    ending,  // writes pending output, then shuts down this side
    lingering,  // waits for the client to close
    closed
  };
  enum class InputStatus : std::uint8_t {
    drained,
    more_available,
    paused,  // waits for other clients to be read
    ended
  };

  // Input.
  struct ReadProgress {
    TimePoint ends_at;
    std::size_t bytes = 0;
    std::optional<MessageBatch> batch{};  // the messages completed so far, if there are any
  };
  struct ReceivedTotals {
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
  };
  boost::asio::awaitable<void> read_loop();
  void wait_in_backlog();
  InputStatus read_input();
  service::IoResult receive_available(ReadProgress& progress);
  bool take_lines(std::string_view bytes, std::optional<MessageBatch>& batch);
  void process_pending_messages();
  void drop_input(std::size_t bytes);
  void update_charge();
  void finish_refusal();
  [[nodiscard]] ConnectionLoad load() const;
  void accept(MessageBatch batch);
  void complete(MessageBatch batch);
  void postpone(MessageBatch batch);
  void resume_postponed();
  void enqueue(std::vector<jsonrpc::Message> messages);
  void withdraw_pending(const jsonrpc::CancelRequest& cancellation);
  void process(PendingMessages::Entry entry);
  void process(jsonrpc::Query query, TimePoint received);
  void process(const jsonrpc::CancelRequest& cancellation);
  void process(const jsonrpc::HealthCheck& health_check);
  void put_error(const jsonrpc::Query& query, jsonrpc::ErrorCode code, std::string_view reason);
  void put_notice(const jsonrpc::Problem& problem);
  static jsonrpc::Problem memory_problem();
  void reject(const std::vector<jsonrpc::Message>& messages, const jsonrpc::Problem& problem);

  // Output.
  service::IoStatus write_pending();
  void flush();
  boost::asio::awaitable<void> write_loop();

  // Closing.
  void linger();
  [[nodiscard]] core::CloseFacts close_facts();
  [[nodiscard]] bool is_closed() const { return phase_ == Phase::closed; }

  ClientContext context_;
  PlatformHost& host_;
  service::StreamSocket socket_;
  std::uint64_t number_;
  jsonrpc::LineSplitter lines_;
  std::map<std::int64_t, core::SessionId> open_requests_;  // by request id; 32 at most
  std::int64_t last_id_ = 0;  // the highest request id used so far
  PendingMessages pending_messages_;
  std::optional<MessageBatch> postponed_;  // to be completed before anything else is read
  OutputBuffer output_;
  std::size_t dropped_bytes_ = 0;  // received after the connection began to end
  TimePoint last_received_{};
  TimePoint last_used_{};
  TimePoint last_write_progress_{};
  TimePoint ending_since_{};
  InputTimes input_times_;
  PartialMessage partial_message_;
  InputCharge charge_;  // for lines_, pending_messages_ and postponed_
  ReceivedTotals received_;
  std::optional<TimePoint> in_backlog_since_;  // while it waits to be read on
  Phase phase_ = Phase::open;
  service::IoStatus last_receive_ = service::IoStatus::would_block;
  bool has_sent_message_ = false;
  bool is_write_loop_running_ = false;
  bool is_read_loop_running_ = false;
  bool ends_when_answered_ = false;  // an incomplete message was refused, so no further request is accepted
  bool is_processing_messages_ = false;
};

}  // namespace paddlestand::platform
