/// A client's connection: lines in, lines out, up to 32 requests open on it. A call that fails for a moment
/// ends nothing here (core::verdict_of); whether this side may end the connection is core::may_close's to
/// say.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "core/types.hpp"
#include "protocol/jsonrpc/calls.hpp"
#include "service/socket_calls.hpp"

namespace paddlestand::platform {

class PlatformServer;

class Client : public std::enable_shared_from_this<Client> {
 public:
  using tcp = boost::asio::ip::tcp;

  // `waited`: for so long it may have been connected, and have written, before it was accepted.
  Client(PlatformServer& platform, tcp::socket socket, std::uint64_t number, Duration waited);

  void start();
  // At once: what it sent and was not read resets the connection. For clients that owe us reading. The reason
  // goes to the log.
  void close(std::string_view reason);
  // Lingering close: our side is shut down, what still comes is read and dropped until the client closes,
  // for a bounded time. Nothing that is read from here on is acted on.
  void finish();
  // The same, but only where it rests: nothing open, nothing of it unread here.
  void finish_if_idle();
  // Reads what is here, a turn's worth at most, and acts on it: so that nothing is begun for a client that
  // has gone, and no connection ends over a request. Not from within its own messages.
  void read_now();
  void sweep(TimePoint now);

  // The answer to a request that is open on it, as a line.
  void answer(std::int64_t request, std::string line);

  [[nodiscard]] std::uint64_t number() const { return number_; }
  [[nodiscard]] bool idle() const { return open_.empty() && out_.size() == written_; }
  [[nodiscard]] bool lingering() const { return phase_ == Phase::lingering; }
  [[nodiscard]] bool may_speak();  // bytes of it wait to be read, or nobody knows
  [[nodiscard]] bool open() const { return phase_ == Phase::open; }
  // When what is being acted on may have come at the earliest: before it was read, where accepting, reading
  // or the loop was late. A reading of the clock at the time of acting would miss a stall in between.
  [[nodiscard]] TimePoint input_time() const { return input_time_; }
  // When it was last read until nothing was left.
  [[nodiscard]] TimePoint read_empty() const { return read_empty_; }
  [[nodiscard]] bool spoke() const { return spoke_; }  // a message was taken from it
  [[nodiscard]] TimePoint used() const { return used_; }
  [[nodiscard]] std::size_t backlog() const { return out_.size() - written_; }
  [[nodiscard]] std::size_t held() const { return lines_.kept(); }

 private:
  // ending: what was said is written out first.
  enum class Phase : std::uint8_t { open, ending, lingering, closed };

  enum class Input : std::uint8_t { all_read, more_is_here, ended };

  boost::asio::awaitable<void> read();
  Input read_input();
  void note_lateness(service::IoStatus last, TimePoint began);
  void input_ended(const service::IoResult& result);
  void note_partial_message(bool whole_ones_came);
  [[nodiscard]] bool message_overdue(TimePoint now) const;
  [[nodiscard]] core::CloseFacts close_facts();
  service::IoStatus write_pending();
  void drop(std::size_t bytes);
  void said(bool answer);
  void progressed(std::size_t bytes);
  boost::asio::awaitable<void> write_on();
  std::vector<jsonrpc::Message> whole_messages();
  std::vector<jsonrpc::Query> taken_back(std::vector<jsonrpc::Message>& messages) const;
  void take(std::vector<jsonrpc::Message> messages);
  [[nodiscard]] std::optional<jsonrpc::Problem> wrong_among(
      const std::vector<jsonrpc::Message>& messages) const;
  void turn_away(const std::vector<jsonrpc::Message>& messages, const jsonrpc::Problem& problem);
  void flush();
  void linger();
  [[nodiscard]] bool closed() const { return phase_ == Phase::closed; }

  PlatformServer& platform_;
  service::StreamSocket socket_;
  std::uint64_t number_;
  jsonrpc::LineCutter lines_;
  std::map<std::int64_t, core::SessionId> open_;  // by the client's number; 32 at most
  std::int64_t last_id_ = 0;
  std::string out_;
  std::size_t written_ = 0;
  // Where each line of out_ ends, and whether it answers a request, which stays open to the client until
  // read.
  std::deque<std::pair<std::uint64_t, bool>> unwritten_;
  std::uint64_t written_in_all_ = 0;
  std::size_t unwritten_answers_ = 0;
  std::size_t dropped_ = 0;  // bytes that came after its end was decided
  TimePoint accepted_{}, heard_{}, used_{}, progress_{}, ended_{}, read_empty_{}, input_time_{};
  std::optional<TimePoint> inside_since_, read_fails_since_;
  Duration waited_;
  Phase phase_ = Phase::open;
  service::IoStatus last_read_ = service::IoStatus::would_block;
  bool spoke_ = false, writes_ = false, reading_ = false;
};

}  // namespace paddlestand::platform
