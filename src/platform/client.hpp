// A client's connection: lines in, lines out, up to 32 requests open on it.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string>

#include "core/types.hpp"
#include "protocol/jsonrpc/calls.hpp"

namespace paddlestand::platform {

class Platform;

class Client : public std::enable_shared_from_this<Client> {
 public:
  using tcp = boost::asio::ip::tcp;

  Client(Platform& platform, tcp::socket socket, std::uint64_t number);

  void start();
  void close();
  void sweep(TimePoint now);

  // The answer to a request that is open on it, as a line.
  void answer(std::int64_t request, std::string line);

  [[nodiscard]] std::uint64_t number() const { return number_; }
  [[nodiscard]] bool idle() const { return open_.empty() && out_.size() == written_; }
  [[nodiscard]] bool spoke() const { return spoke_; }  // a message was taken from it
  [[nodiscard]] TimePoint used() const { return used_; }
  [[nodiscard]] std::size_t backlog() const { return out_.size() - written_; }
  [[nodiscard]] std::size_t held() const { return lines_.kept(); }

 private:
  boost::asio::awaitable<void> read();
  boost::asio::awaitable<void> write_on();
  std::vector<jsonrpc::Message> whole_messages();
  std::vector<jsonrpc::Query> taken_back(std::vector<jsonrpc::Message>& messages) const;
  void take(std::vector<jsonrpc::Message> messages);
  [[nodiscard]] std::optional<jsonrpc::Problem> wrong_among(
      const std::vector<jsonrpc::Message>& messages) const;
  void turn_away(const std::vector<jsonrpc::Message>& messages, const jsonrpc::Problem& problem);
  void flush();
  void end();

  Platform& platform_;
  tcp::socket socket_;
  std::uint64_t number_;
  jsonrpc::LineCutter lines_;
  std::map<std::int64_t, core::SessionId> open_;  // by the client's number; 32 at most
  std::int64_t last_id_ = 0;
  std::string out_;
  std::size_t written_ = 0;
  TimePoint accepted_{}, used_{}, progress_{};
  std::optional<TimePoint> inside_since_;
  bool spoke_ = false, closed_ = false, writes_ = false, ending_ = false;
};

}  // namespace paddlestand::platform
