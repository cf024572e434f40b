/// A client's connection: lines in, lines out, up to 32 requests open on it. A call that fails temporarily
/// ends nothing here (core::verdict_of); whether this side may end the connection is decided by
/// core::may_close.
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
#include "input_times.hpp"
#include "message_batch.hpp"
#include "output_buffer.hpp"
#include "partial_message.hpp"
#include "protocol/jsonrpc/calls.hpp"
#include "service/socket_calls.hpp"

namespace paddlestand::platform {

class ClientRegistry;
class PlatformHost;
class RequestHandler;
class ServerLifecycle;

/// What every client connection works with. All must outlive the connections.
struct ClientContext {
  PlatformHost& host;
  RequestHandler& requests;
  ClientRegistry& registry;
  const jsonrpc::CallReader& calls;
  const ServerLifecycle& lifecycle;
};

/// One connection. Owned by the registry and by its own coroutines; it removes itself from the registry when
/// it is closed.
class Client : public std::enable_shared_from_this<Client> {
 public:
  using tcp = boost::asio::ip::tcp;

  /// `waited`: how long it may have been connected, and have written, before it was accepted.
  Client(const ClientContext& context, tcp::socket socket, std::uint64_t number, Duration waited);

  /// Begins to read.
  void start();
  /// Closes the connection at once, and logs the reason. Input that was not read resets it, so this is for
  /// clients that are at fault.
  void close(std::string_view reason);
  /// Writes what is pending, then closes in an orderly way: this side is shut down, and input is read and
  /// dropped until the client closes, for a bounded time. Nothing that is read from here on is acted on.
  void finish();
  /// As finish(), but only where the connection is idle: no request is open, and no input waits to be read.
  /// Input that is here is read first.
  void finish_if_idle();
  /// Reads the input that is here, a bounded amount, and acts on it: so that nothing is begun for a client
  /// that has disconnected, and no connection ends over a request. From within the handling of one of its
  /// messages, its end and its cancellations are acted on at once, other messages after that message.
  void read_pending_input();
  /// Ends the connection where one of its time limits has passed.
  void check_timeouts(TimePoint now);
  /// Writes the answer, a line, to a request; dropped where the request is not open any more.
  void answer(std::int64_t request, std::string line);

  [[nodiscard]] std::uint64_t number() const { return number_; }
  [[nodiscard]] bool is_open() const { return phase_ == Phase::open; }
  /// Whether no request is open, or about to be, and no output is pending.
  [[nodiscard]] bool is_idle() const {
    return open_requests_.empty() && pending_messages_.is_empty() && output_.is_empty();
  }
  /// Whether this side was shut down and the client's close is awaited.
  [[nodiscard]] bool is_lingering() const { return phase_ == Phase::lingering; }
  /// Whether input waits to be read, or that can't be known just now.
  [[nodiscard]] bool may_have_input();
  /// Whether it ever sent a valid message.
  [[nodiscard]] bool has_sent_message() const { return has_sent_message_; }
  /// When its input was last read to the end.
  [[nodiscard]] TimePoint input_drained_at() const { return input_times_.drained_at(); }
  /// When a message was last read or an answer written.
  [[nodiscard]] TimePoint last_used() const { return last_used_; }
  [[nodiscard]] std::size_t unwritten_bytes() const { return output_.size(); }
  /// Bytes of input and output that are held for it.
  [[nodiscard]] std::size_t buffered_bytes() const { return unwritten_bytes() + lines_.buffered_bytes(); }

 private:
  enum class Phase : std::uint8_t {
    open,
    ending,  // pending output is written, then this side is shut down
    lingering,  // the client's close is awaited
    closed
  };
  enum class InputStatus : std::uint8_t { drained, more_available, ended };

  // Input.
  boost::asio::awaitable<void> read_loop();
  InputStatus read_input();
  service::IoResult receive_available(std::size_t& received_bytes);
  void accept_received_lines();
  void process_pending_messages();
  void drop_input(std::size_t bytes);
  std::vector<jsonrpc::Message> complete_messages();
  [[nodiscard]] std::optional<jsonrpc::Problem> find_problem(
      const std::vector<jsonrpc::Message>& messages) const;
  void accept(std::vector<jsonrpc::Message> messages);
  void withdraw_pending(const jsonrpc::CancelRequest& cancellation);
  void process(PendingMessages::Entry entry);
  void process(jsonrpc::Query query, TimePoint received);
  void process(const jsonrpc::CancelRequest& cancellation);
  void process(const jsonrpc::HealthCheck& health_check);
  void reject(const std::vector<jsonrpc::Message>& messages, const jsonrpc::Problem& problem);

  // Output.
  service::IoStatus write_pending();
  void flush();
  boost::asio::awaitable<void> write_loop();

  // End.
  void linger();
  [[nodiscard]] core::CloseFacts close_facts();
  [[nodiscard]] bool is_closed() const { return phase_ == Phase::closed; }

  ClientContext context_;
  PlatformHost& host_;
  service::StreamSocket socket_;
  std::uint64_t number_;
  jsonrpc::LineCutter lines_;
  std::map<std::int64_t, core::SessionId> open_requests_;  // by the client's number; 32 at most
  std::int64_t last_id_ = 0;  // the highest number that was used
  PendingMessages pending_messages_;
  OutputBuffer output_;
  std::size_t dropped_bytes_ = 0;  // received after its end was decided
  TimePoint last_received_{};
  TimePoint last_used_{};
  TimePoint last_write_progress_{};
  TimePoint ending_since_{};
  InputTimes input_times_;
  PartialMessage partial_message_;
  Phase phase_ = Phase::open;
  service::IoStatus last_receive_ = service::IoStatus::would_block;
  bool has_sent_message_ = false;
  bool is_write_loop_running_ = false;
  bool is_reading_ = false;
  bool is_processing_messages_ = false;
};

}  // namespace paddlestand::platform
