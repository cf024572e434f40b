// A client's connection: its bytes to the front, the front's and the engines' bytes to it.
#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "postgres_server.hpp"

namespace paddlestand::service {

class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  using tcp = boost::asio::ip::tcp;

  ClientSession(PostgresServer& manager, tcp::socket socket, core::SessionId id, pg::CancelKey key);

  void start();
  // At once. What is unread resets the connection: for clients that are gone or owe reading.
  void close();

  // An engine's answer, or part of it.
  void deliver(std::string& bytes, bool mid_message);
  // The request is over.
  void answered(const core::Answer& answer, const pg::BackendAnswerEnd* end);

  // Whether its client's end is not here, read or unread. Closes it where it is.
  bool still_there();

  // The manager goes: says goodbye now, or as soon as the request under way is over.
  void leave();

  // The request never came to the core: the client got it wrong.
  void refuse(const pg::Fields& error);

  // Closes a client that does not log in or does not read.
  void sweep(std::chrono::steady_clock::time_point now);

  [[nodiscard]] core::SessionId id() const { return id_; }
  [[nodiscard]] pg::CancelKey key() const { return key_; }
  [[nodiscard]] const pg::FrontendSession& front() const { return front_; }
  [[nodiscard]] const pg::EngineQuery& query() const { return request_; }

  // What the request under way is, kept until its final answer: it may have to be sent again.
  pg::EngineQuery request_;

 private:
  boost::asio::awaitable<void> read();
  boost::asio::awaitable<void> write_on();
  boost::asio::awaitable<void> rest_until_woken();
  IoStatus read_some();
  IoStatus write_some();
  void say_goodbye();
  void pump();
  [[nodiscard]] bool has_room() const;
  void pump_if_room();
  void flush();
  void took(std::size_t bytes);

  PostgresServer& manager_;
  StreamSocket socket_;
  core::SessionId id_;
  pg::CancelKey key_;
  pg::FrontendSession front_;
  std::string out_, writing_;
  std::size_t written_ = 0;  // of writing_
  std::size_t undelivered_bytes_ = 0;  // delivered bytes that are still to be written
  bool crowded_ = false;  // the next request waits until the client has read
  bool pumping_ = false, writes_ = false, closed_ = false, ending_ = false, mid_message_ = false,
       opened_ = false, leaving_ = false;
  std::chrono::steady_clock::time_point since_, progress_;
  boost::asio::steady_timer wake_;  // the reader, when it rests
};

}  // namespace paddlestand::service
