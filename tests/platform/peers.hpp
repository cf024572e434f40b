// Peers of a platform host, for tests over loopback: engines and a command channel that do just what a test
// tells them, byte by byte, and raw clients.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <fstream>
#include <set>
#include <string>

#include "platform/platform_server.hpp"
#include "protocol/base64.hpp"
#include "tests/hosted.hpp"

namespace paddlestand::platform::test {

using namespace paddlestand::test;

// One connection, seen from the test.
class Wire {
 public:
  explicit Wire(int socket = -1) : socket_(socket) {}
  Wire(Wire&& other) noexcept : socket_(std::exchange(other.socket_, -1)) {}
  Wire& operator=(Wire&& other) noexcept {
    close();
    socket_ = std::exchange(other.socket_, -1);
    return *this;
  }
  ~Wire() { close(); }

  static Wire connect(std::uint16_t port) {
    Wire wire(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(wire.socket_, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
    return wire;
  }

  [[nodiscard]] bool open() const { return socket_ >= 0; }
  void close() {
    if (socket_ >= 0) ::close(socket_);
    socket_ = -1;
  }
  void reset() {  // not closed: reset
    const linger now{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close();
  }
  // False where the other side closed meanwhile.
  bool write(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }
  // What is there, waited for; nothing at the end.
  std::optional<std::string> read(int wait_ms = client_timeout_ms) const {
    pollfd one{socket_, POLLIN, 0};
    if (::poll(&one, 1, wait_ms) <= 0) return std::string{};
    char part[65536];
    const ssize_t got = ::recv(socket_, part, sizeof(part), 0);
    if (got < 0) errno_ = errno;
    if (got <= 0) return std::nullopt;
    return std::string(part, static_cast<std::size_t>(got));
  }
  [[nodiscard]] bool has_input() const {
    pollfd one{socket_, POLLIN, 0};
    return ::poll(&one, 1, 0) > 0;
  }
  bool ends() const {
    for (;;) {
      const auto more = read();
      if (!more) return true;
      if (more->empty()) return false;
    }
  }
  // By a shutdown of the other side: a reset may take with it what was said last.
  bool ends_whole() const {
    const bool ended = ends();
    char none{};
    return ended && ::recv(socket_, &none, 1, 0) == 0 && errno_ == 0;
  }
  [[nodiscard]] bool was_reset() const { return errno_ == ECONNRESET; }
  void shut_down() const { ::shutdown(socket_, SHUT_WR); }

 private:
  int socket_;
  mutable int errno_ = 0;
};

class Listener {
 public:
  // `receive_buffer`: bytes of each accepted connection; zero: the system's choice.
  explicit Listener(int backlog = 64, int receive_buffer = 0) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    if (receive_buffer > 0)
      ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(at);
    EXPECT_EQ(::bind(socket_, reinterpret_cast<sockaddr*>(&at), size), 0);
    EXPECT_EQ(::listen(socket_, backlog), 0);
    EXPECT_EQ(::getsockname(socket_, reinterpret_cast<sockaddr*>(&at), &size), 0);
    port_ = ntohs(at.sin_port);
  }
  ~Listener() { ::close(socket_); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  [[nodiscard]] std::uint16_t port() const { return port_; }
  Wire accept(int wait_ms = client_timeout_ms) const {
    pollfd one{socket_, POLLIN, 0};
    if (::poll(&one, 1, wait_ms) <= 0) return Wire{};
    return Wire{::accept(socket_, nullptr, nullptr)};
  }

 private:
  int socket_;
  std::uint16_t port_ = 0;
};

// A listener whose queue is full: no connection to it comes up until the test lets one in.
class Full : public Listener {
 public:
  Full() : Listener(0) {
    for (;;) {
      const int one = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      sockaddr_in at{};
      at.sin_family = AF_INET;
      at.sin_port = htons(port());
      at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      ::connect(one, reinterpret_cast<sockaddr*>(&at), sizeof(at));
      pollfd up{one, POLLOUT, 0};
      if (::poll(&up, 1, 300) <= 0) {
        ::close(one);
        return;
      }
      fillers_.emplace_back(one);
    }
  }
  void let_in() {
    for (Wire& filler : fillers_) accept(), filler.close();
    fillers_.clear();
  }

 private:
  std::vector<Wire> fillers_;
};

// An engine's end of a channel.
class EngineSide {
 public:
  EngineSide() : reader_(engine_frames::Side::manager) {}
  explicit EngineSide(const Listener& listener, int wait_ms = client_timeout_ms)
      : wire_(listener.accept(wait_ms)), reader_(engine_frames::Side::manager) {}

  [[nodiscard]] bool open() const { return wire_.open(); }
  // The next command, waited for; nothing at the end, or when none comes.
  std::optional<engine_frames::Frame> next(int wait_ms = client_timeout_ms) {
    for (;;) {
      auto frame = reader_.next();
      if (auto* one = std::get_if<engine_frames::Frame>(&frame)) return std::move(*one);
      if (std::holds_alternative<engine_frames::Broken>(frame)) {
        ADD_FAILURE() << "a manager's frame can't be read";
        return std::nullopt;
      }
      const auto bytes = wire_.read(wait_ms);
      if (!bytes || bytes->empty()) return std::nullopt;
      reader_.feed(*bytes);
    }
  }
  // The next command that is whole by now; `ended` is set at the connection's end.
  std::optional<engine_frames::Frame> next_if_here(bool& ended) {
    for (;;) {
      auto frame = reader_.next();
      if (auto* one = std::get_if<engine_frames::Frame>(&frame)) return std::move(*one);
      const auto bytes = wire_.read(0);
      ended = !bytes;
      if (!bytes || bytes->empty()) return std::nullopt;
      reader_.feed(*bytes);
    }
  }
  void answer(std::uint8_t code, std::uint64_t id, std::string_view fields = {}, std::string_view body = {}) {
    std::string bytes;
    engine_frames::put_frame(bytes, engine_frames::Side::engine, code, id, fields, body);
    wire_.write(bytes);
  }
  Wire& wire() { return wire_; }
  [[nodiscard]] bool has_input() const { return wire_.has_input(); }

  std::set<std::uint64_t> ids;  // of the requests that came, where a test keeps them

 private:
  Wire wire_;
  engine_frames::FrameReader reader_;
};

class RawClient {
 public:
  explicit RawClient(std::uint16_t port) : wire_(Wire::connect(port)) {}

  static std::string line(int id, std::uint64_t trace, const std::string& method = "report",
                          const std::string& more = "", int client_timeout_ms_ = 7000) {
    char hex[17];
    std::snprintf(hex, sizeof(hex), "%016llx", static_cast<unsigned long long>(trace));
    return R"({"jsonrpc":"2.0","id":)" + std::to_string(id) + R"(,"method":")" + method +
           R"(","params":{"trace":")" + hex + R"(","patience":)" + std::to_string(client_timeout_ms_) +
           R"(,"weight":20,"content":")" + base64("SELECT 1 FROM a_1.b") + "\"" + more + "}}\n";
  }
  void ask(int id, std::uint64_t trace) const { EXPECT_TRUE(wire_.write(line(id, trace))); }

  // The next line as JSON; null at the end, or when none comes.
  boost::json::value next(int wait_ms = client_timeout_ms) {
    for (;;) {
      const auto end = bytes_.find('\n');
      if (end != std::string::npos) {
        auto value = boost::json::parse(bytes_.substr(0, end));
        bytes_.erase(0, end + 1);
        return value;
      }
      const auto more = wire_.read(wait_ms);
      if (!more || more->empty()) return {};
      bytes_ += *more;
    }
  }
  // "served:<body>", "error:<code>", or "nothing".
  std::string outcome(int wait_ms = client_timeout_ms) {
    const auto value = next(wait_ms);
    if (!value.is_object()) return "nothing";
    last_id_ = value.as_object().at("id").is_int64() ? value.as_object().at("id").as_int64() : 0;
    if (const auto* error = value.as_object().if_contains("error"))
      return "error:" + std::to_string(error->as_object().at("code").as_int64());
    const auto& content = value.as_object().at("result").as_object();
    return content.contains("content")
               ? "served:" + *from_base64(std::string_view(content.at("content").as_string()))
               : "done";
  }
  [[nodiscard]] std::int64_t last_id() const { return last_id_; }
  Wire& wire() { return wire_; }

 private:
  Wire wire_;
  std::string bytes_;
  std::int64_t last_id_ = 0;
};

inline std::string forget_of(std::uint64_t trace) {
  char hex[17];
  std::snprintf(hex, sizeof(hex), "%016llx", static_cast<unsigned long long>(trace));
  return R"({"jsonrpc":"2.0","method":"forget","params":{"trace":")" + std::string(hex) + "\"}}\n";
}

inline discovery::Record engine_at(EngineId id, std::uint16_t port, EngineState state = EngineState::ready) {
  discovery::Record record;
  record.entry = {id, state, 0, 0, 0, 1.0, {}};
  record.address = INADDR_LOOPBACK;
  record.port = port;
  return record;
}

inline PlatformConfig small_config(std::vector<discovery::Record> engines, std::uint16_t discovery_server) {
  PlatformConfig config;
  config.name = "test";
  config.listen = {INADDR_LOOPBACK, 0};
  config.discovery_endpoint = {INADDR_LOOPBACK, discovery_server};
  config.limits = {64, 1024};
  config.streams_per_connection = 32;
  config.report_names = {"utilization"};
  Settings& s = config.core.module;
  s.instances = 1;
  s.clock_step = 5ms;
  ClassSettings report;
  report.name = "report";
  report.latency_objective = 20s;
  report.deadline = 20s;
  report.priority_weight = 1;
  report.late_answer_weight = 0.5;
  report.threads = 1;
  ClassSettings load = report;
  load.name = "load";
  load.repeat = Idempotency::idempotent_with_key;
  load.idempotency_window = 20s;
  load.ordered_by_key = true;
  s.classes = {report, load};
  s.kinds = {{8, 16384}};
  s.may_cancel = s.may_probe = true;
  s.max_attempts = 3;
  s.drain_grace = 250ms;
  s.slow_start_capacity_share = 0.3;
  s.overload_multiple = 4;
  s.overload_window = 1500ms;
  config.core.channels_per_engine = 512;
  config.core.idle_channels_per_engine = 0;
  config.core.idle_channel_lifetime = 15s;
  config.core.connect_timeout = 250ms;
  config.core.probe_timeout = 250ms;
  config.core.cancel_grace = 250ms;
  discovery::Event first;
  first.number = 1;
  first.whole = true;
  first.records = std::move(engines);
  config.known = {first};
  config.cursor = 1;
  return config;
}

// A configuration to be read again: of it, the command channel is taken up.
inline std::string config_text(std::uint16_t discovery_server) {
  return R"({"name":"n","listen":"127.0.0.1:1","seed":"1","channel":"127.0.0.1:)" +
         std::to_string(discovery_server) +
         R"(","known":{"cursor":1,"cmds":[]},"settings":{"classes":[{"name":"report",)"
         R"("repeat":"pure"}],"permissions":{"multiplex":32,"conn_idle_ns":0,"dial_timeout_ns":0}}})";
}

class Served : public Thread<PlatformServer> {
 public:
  explicit Served(PlatformConfig config, std::string path = "")
      : Thread([&](auto& io) {
          return std::make_unique<PlatformServer>(io, std::move(config), std::move(path), false);
        }) {}
  std::uint16_t port() {
    return run([](PlatformServer& p) { return p.port(); });
  }
  core::Counts counts() {
    return run([](PlatformServer& p) { return p.counts(); });
  }
};

// A command channel's end: takes the number that is asked from.
struct Told {
  Wire wire;
  std::uint64_t from = 0;
  explicit Told(const Listener& listener) : wire(listener.accept()) {
    std::string bytes;
    while (bytes.size() < 8) {
      const auto more = wire.read();
      if (!more || more->empty()) return;
      bytes += *more;
    }
    for (const char c : bytes) from = from << 8U | static_cast<unsigned char>(c);
  }
  void event(std::uint64_t number, std::vector<discovery::Record> records) const {
    discovery::Event one;
    one.number = number;
    one.records = std::move(records);
    std::string bytes;
    discovery::put_event(bytes, one);
    wire.write(bytes);
  }
};

class Platforms : public ::testing::Test {
 protected:
  explicit Platforms(std::size_t engines = 1) : engines_(engines) {}

  PlatformConfig config() {
    std::vector<discovery::Record> all;
    for (std::size_t i = 0; i < engines_.size(); ++i)
      all.push_back(engine_at(static_cast<EngineId>(i + 1), engines_[i].port()));
    return small_config(std::move(all), channel_.port());
  }

  std::vector<Listener> engines_;
  Listener channel_;
};

class TwoEngines : public Platforms {
 protected:
  TwoEngines() : Platforms(2) {}
  // The engine that the next query goes to.
  EngineSide whichever() {
    for (int i = 0; i < client_timeout_ms / 20; ++i) {
      for (const Listener& engine : engines_) {
        EngineSide side(engine, 10);
        if (side.open()) return side;
      }
    }
    return EngineSide(engines_[0], 0);
  }
};

}  // namespace paddlestand::platform::test
