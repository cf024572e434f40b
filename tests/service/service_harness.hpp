/// A real manager and real test engines on loopback, each on its own thread of this process, and a client
/// that sends and receives single messages.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "protocol/pg/frame.hpp"
#include "protocol/pg/messages.hpp"
#include "protocol/pg/sqlstate.hpp"
#include "service/postgres_server.hpp"
#include "test_engine/server.hpp"
#include "tests/hosted.hpp"

namespace paddlestand::service::test {

using namespace std::chrono_literals;
using namespace paddlestand::test;

/// A test engine on its own thread.
class Engine : public EventLoopThread<test_engine::Server> {
 public:
  explicit Engine(test_engine::TestEngineSettings settings = {})
      : EventLoopThread([&](auto& io) { return std::make_unique<test_engine::Server>(io, settings); }) {}
  /// Executes a command of the engine's control port, such as one that injects a fault, and returns its
  /// reply.
  std::string command(const std::string& line) {
    return run([&](test_engine::Server& server) { return server.execute_command(line); });
  }
};

/// Settings with these engines, a class for idempotent queries (lookup) and one for non-idempotent ones
/// (settle). `additional_elements` are inserted before the engines.
inline std::string manager_settings(const std::vector<std::uint16_t>& engine_ports,
                                    const std::string& additional_elements = {}) {
  std::string text =
      R"(<manager xmlns="urn:paddlestand:manager:1" name="m"><listen port="0" most-sessions="300"/>
    <engine-links most-per-engine="8" connect-time="300ms" probe-time="300ms" cancel-grace="300ms"/>
    <kinds><kind name="std" cores="8" memory-mb="16384"/></kinds>
    <classes otherwise="lookup">
      <class name="lookup" aim="5s" aim-stretch="2" deadline="15s" late-worth="1" repeat="safe"/>
      <class name="settle" aim="5s" deadline="15s" late-worth="1" repeat="unsafe"/>
    </classes>
    <decisions/><log level="error"/>)" +
      additional_elements + "<engines>";
  int id = 0;
  for (const auto port : engine_ports) {
    ++id;
    text += "<engine id=\"" + std::to_string(id) + "\" name=\"e" + std::to_string(id) +
            "\" address=\"127.0.0.1\" kind=\"std\" port=\"" + std::to_string(port) + "\"/>";
  }
  return text + "</engines></manager>";
}

inline pg::Users trusted_users() {
  pg::Users users;
  users.trust = true;
  return users;
}

/// A manager with these settings. `path`: the settings file that reloads read; paths in the settings are
/// relative to its folder.
class RunningManager : public EventLoopThread<PostgresServer> {
 public:
  explicit RunningManager(const std::string& settings, pg::Users users = trusted_users(),
                          const std::string& path = "test")
      : EventLoopThread([&](auto& io) {
          auto read = config::parse_manager_config(settings, path);
          if (const auto* error = std::get_if<config::ConfigError>(&read))
            throw std::runtime_error(error->text());
          return std::make_unique<PostgresServer>(io, std::get<config::ManagerConfig>(std::move(read)), path,
                                                  users, "");
        }) {}
  std::uint16_t port() {
    return run([](PostgresServer& server) { return server.port(); });
  }
  core::Counts counts() {
    return run([](PostgresServer& server) { return server.counts(); });
  }
  bool knows_engine(EngineId engine) {
    return run([engine](PostgresServer& server) { return server.knows_engine(engine); });
  }
  std::size_t known_engines() {
    return run([](PostgresServer& server) { return server.known_engines(); });
  }
  void reload() {
    run([](PostgresServer& server) {
      server.reload();
      return 0;
    });
  }
  void begin_shutdown() {
    run([](PostgresServer& server) {
      server.begin_shutdown();
      return 0;
    });
  }
  /// Waits until no query, attempt or buffered byte remains. Returns false if that takes too long.
  bool becomes_idle() {
    return wait_until([&] {
      const core::Counts now = counts();
      return now.queries_open == 0 && now.attempts_out == 0 && now.bytes_buffered == 0;
    });
  }
};

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

enum class Login { perform, skip };

/// A client that sends and receives single messages.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port, Login login = Login::perform) : frames_(64U << 20U) {
    socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    is_connected_ = ::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    if (login == Login::perform) log_in();
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
  void send_query(const std::string& text) const {
    std::string bytes;
    pg::put_query(bytes, text);
    send(bytes);
  }
  /// The next message; nothing at the end of the connection, or if none arrives in time.
  std::optional<Message> next_message(int timeout_ms = client_timeout_ms) {
    for (;;) {
      if (const auto frame = frames_.next()) return Message{frame->type, std::string(frame->body)};
      pollfd readable{socket_, POLLIN, 0};
      if (::poll(&readable, 1, timeout_ms) <= 0) return std::nullopt;
      char buffer[65536];
      const ssize_t received = ::recv(socket_, buffer, sizeof(buffer), 0);
      if (received <= 0) {
        is_closed_by_server_ = true;
        return std::nullopt;
      }
      frames_.feed({buffer, static_cast<std::size_t>(received)});
    }
  }
  /// Returns the types of all messages up to ReadyForQuery or the end of the connection. Stores the code and
  /// the hint of the last error.
  std::string read_answer() {
    std::string types;
    error_code_.clear();
    error_hint_.clear();
    for (auto message = next_message(); message; message = next_message()) {
      types.push_back(message->type);
      if (message->type == 'E') {
        const auto fields = pg::parse_fields(message->body);
        error_code_ = fields->code;
        error_hint_ = fields->hint;
      }
      if (message->type == 'Z') break;
    }
    return types;
  }
  /// Sends a query and reads its answer.
  std::string execute(const std::string& text) {
    send_query(text);
    return read_answer();
  }
  void close() {
    if (socket_ >= 0) ::close(socket_);
    socket_ = -1;
  }
  /// Whether another message arrives within a short time. For checks that none does.
  bool receives_more() { return next_message(150).has_value(); }

  [[nodiscard]] const std::string& error_code() const { return error_code_; }
  [[nodiscard]] const std::string& error_hint() const { return error_hint_; }
  /// The body of BackendKeyData.
  [[nodiscard]] const std::string& cancel_key() const { return cancel_key_; }
  [[nodiscard]] bool is_closed_by_server() const { return is_closed_by_server_; }
  [[nodiscard]] bool is_connected() const { return is_connected_; }

 private:
  void log_in() {
    std::string startup;
    const std::vector<std::pair<std::string, std::string>> parameters{{"user", "ann"},
                                                                      {"database", "charts"}};
    pg::put_startup(startup, parameters);
    send(startup);
    for (auto message = next_message(); message && message->type != 'Z'; message = next_message()) {
      if (message->type == 'K') cancel_key_ = message->body;
    }
  }

  int socket_ = -1;
  bool is_connected_ = false;
  bool is_closed_by_server_ = false;
  pg::FrameReader frames_;
  std::string error_code_;
  std::string error_hint_;
  std::string cancel_key_;
};

/// Sends a CancelRequest on a separate connection, and waits until the server closes it.
inline void send_cancel(std::uint16_t port, const std::string& cancel_key) {
  RawClient connection(port, Login::skip);
  // The length of the message, and the code of a CancelRequest.
  const std::string header("\0\0\0\x10\x04\xd2\x16\x2e", 8);
  connection.send(header + cancel_key);
  connection.next_message();
}

}  // namespace paddlestand::service::test
