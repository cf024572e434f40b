// A real manager and real test engines on loopback, in this process, each on a thread of its own; and a raw
// client that sees every byte.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>

#include "protocol/pg/frame.hpp"
#include "protocol/pg/messages.hpp"
#include "protocol/pg/sqlstate.hpp"
#include "service/postgres_server.hpp"
#include "test_engine/server.hpp"
#include "tests/hosted.hpp"

namespace paddlestand::service::test {

using namespace std::chrono_literals;
using namespace paddlestand::test;

class Engine : public Thread<test_engine::Server> {
 public:
  explicit Engine(test_engine::TestEngineSettings settings = {})
      : Thread([&](auto& io) { return std::make_unique<test_engine::Server>(io, settings); }) {}
  std::string command(const std::string& line) {
    return run([&](test_engine::Server& s) { return s.command(line); });
  }
};

class RawClient {
 public:
  explicit RawClient(std::uint16_t port, bool login = true) : frames_(64U << 20U) {
    socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ = ::connect(socket_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
    if (!login) return;
    std::string hello;
    const std::vector<std::pair<std::string, std::string>> who{{"user", "ann"}, {"database", "charts"}};
    pg::put_startup(hello, who);
    send(hello);
    for (auto frame = next(); frame && frame->type != 'Z'; frame = next()) {
      if (frame->type == 'K') key_ = frame->body;
    }
  }
  ~RawClient() { close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  struct Message {
    char type{};
    std::string body;
  };

  void send(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) return;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }
  void query(const std::string& text) const {
    std::string bytes;
    pg::put_query(bytes, text);
    send(bytes);
  }
  // The next message; nothing at the end of the connection, or when none comes for long.
  std::optional<Message> next(int wait_ms = client_timeout_ms) {
    for (;;) {
      if (const auto frame = frames_.next()) return Message{frame->type, std::string(frame->body)};
      pollfd poll_on{socket_, POLLIN, 0};
      if (::poll(&poll_on, 1, wait_ms) <= 0) return std::nullopt;
      char part[65536];
      const ssize_t got = ::recv(socket_, part, sizeof(part), 0);
      if (got <= 0) {
        ended_ = true;
        return std::nullopt;
      }
      frames_.feed({part, static_cast<std::size_t>(got)});
    }
  }
  // Types of all messages up to ReadyForQuery, or the end; the last error's code is kept.
  std::string answer() {
    std::string types;
    code_.clear();
    hint_.clear();
    for (auto message = next(); message; message = next()) {
      types.push_back(message->type);
      if (message->type == 'E') {
        const auto fields = pg::parse_fields(message->body);
        code_ = fields->code;
        hint_ = fields->hint;
      }
      if (message->type == 'Z') break;
    }
    return types;
  }
  std::string ask(const std::string& text) {
    query(text);
    return answer();
  }
  void close() {
    if (socket_ >= 0) ::close(socket_);
    socket_ = -1;
  }
  // Whether something comes within a short time though nothing should.
  bool hears_more() { return next(150).has_value(); }

  [[nodiscard]] const std::string& code() const { return code_; }
  [[nodiscard]] const std::string& hint() const { return hint_; }
  [[nodiscard]] const std::string& key() const { return key_; }
  [[nodiscard]] bool ended() const { return ended_; }
  [[nodiscard]] bool connected() const { return connected_; }
  [[nodiscard]] int descriptor() const { return socket_; }

 private:
  int socket_ = -1;
  bool connected_ = false, ended_ = false;
  pg::FrameReader frames_;
  std::string code_, hint_, key_;
};

inline void send_cancel(std::uint16_t port, std::string key) {
  RawClient side(port, false);
  std::string bytes("\0\0\0\x10\x04\xd2\x16\x2e", 8);
  side.send(bytes + key);
  side.next();  // its end
}

}  // namespace paddlestand::service::test
