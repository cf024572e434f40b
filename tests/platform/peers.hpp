/// Peers of a platform server for tests over loopback: engines, a command channel and raw clients that a test
/// controls byte by byte.
#pragma once

#include <boost/json.hpp>
#include <fstream>
#include <set>
#include <string>

#include "platform/platform_server.hpp"
#include "protocol/base64.hpp"
#include "sockets.hpp"
#include "tests/hosted.hpp"

namespace paddlestand::platform::test {

/// An engine's end of a connection.
class EnginePeer {
 public:
  EnginePeer() : reader_(engine_frames::Side::manager) {}
  explicit EnginePeer(const Listener& listener, int wait_ms = client_timeout_ms)
      : wire_(listener.accept(wait_ms)), reader_(engine_frames::Side::manager) {}

  [[nodiscard]] bool is_open() const { return wire_.is_open(); }
  /// Waits for the next command. Returns std::nullopt at the end of the connection or if none arrives.
  std::optional<engine_frames::Frame> next(int wait_ms = client_timeout_ms) {
    for (;;) {
      auto frame = reader_.next();
      if (auto* one = std::get_if<engine_frames::Frame>(&frame)) return std::move(*one);
      if (std::holds_alternative<engine_frames::ProtocolViolation>(frame)) {
        ADD_FAILURE() << "invalid frame from the manager";
        return std::nullopt;
      }
      const auto bytes = wire_.read(wait_ms);
      if (!bytes || bytes->empty()) return std::nullopt;
      reader_.feed(*bytes);
    }
  }
  /// Returns the next command if it has already arrived; sets `ended` at the end of the connection.
  std::optional<engine_frames::Frame> next_if_received(bool& ended) {
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

  std::set<std::uint64_t> request_ids;  ///< of the received requests, if a test records them

 private:
  Wire wire_;
  engine_frames::FrameReader reader_;
};

/// A client whose input is controlled byte by byte by a test.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port) : wire_(Wire::connect(port)) {}

  static std::string request_line(int id, std::uint64_t trace, const std::string& method = "report",
                                  const std::string& more_params = "", int request_timeout_ms = 7000) {
    char hex[17];
    std::snprintf(hex, sizeof(hex), "%016llx", static_cast<unsigned long long>(trace));
    return R"({"jsonrpc":"2.0","id":)" + std::to_string(id) + R"(,"method":")" + method +
           R"(","params":{"trace":")" + hex + R"(","patience":)" + std::to_string(request_timeout_ms) +
           R"(,"weight":20,"content":")" + base64("SELECT 1 FROM a_1.b") + "\"" + more_params + "}}\n";
  }
  void send_request(int id, std::uint64_t trace) const { EXPECT_TRUE(wire_.write(request_line(id, trace))); }

  /// Waits for the next line of JSON. Returns null at the end of the connection or if none arrives.
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
  /// Waits for the next answer and returns it as "served:<body>", "error:<code>", "done" or "nothing".
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

/// The line that cancels a request.
inline std::string cancel_line(std::uint64_t trace) {
  char hex[17];
  std::snprintf(hex, sizeof(hex), "%016llx", static_cast<unsigned long long>(trace));
  return R"({"jsonrpc":"2.0","method":"forget","params":{"trace":")" + std::string(hex) + "\"}}\n";
}

inline discovery::Record engine_record(EngineId id, std::uint16_t port,
                                       EngineState state = EngineState::ready) {
  discovery::Record record;
  record.entry = {id, state, 0, 0, 0, 1.0, {}};
  record.address = INADDR_LOOPBACK;
  record.port = port;
  return record;
}

/// Two classes: `report` is idempotent, `load` only with an idempotency key.
inline PlatformConfig test_config(std::vector<discovery::Record> engines, std::uint16_t discovery_server) {
  PlatformConfig config;
  config.name = "test";
  config.listen = {INADDR_LOOPBACK, 0};
  config.discovery_endpoint = {INADDR_LOOPBACK, discovery_server};
  config.limits = {64, 1024};
  config.streams_per_connection = 32;
  config.report_names = {"utilization"};
  Settings& module_settings = config.core.module;
  module_settings.instances = 1;
  module_settings.clock_step = 5ms;
  ClassSettings report;
  report.name = "report";
  report.latency_objective = 20s;
  report.deadline = 20s;
  report.priority_weight = 1;
  report.late_answer_weight = 0.5;
  report.threads = 1;
  ClassSettings load = report;
  load.name = "load";
  load.idempotency = Idempotency::idempotent_with_key;
  load.idempotency_window = 20s;
  load.ordered_by_key = true;
  module_settings.classes = {report, load};
  module_settings.kinds = {{8, 16384}};
  module_settings.may_cancel = module_settings.may_probe = true;
  module_settings.max_attempts = 3;
  module_settings.drain_grace = 250ms;
  module_settings.slow_start_capacity_share = 0.3;
  module_settings.overload_multiple = 4;
  module_settings.overload_window = 1500ms;
  config.core.channels_per_engine = 512;
  config.core.idle_channels_per_engine = 0;
  config.core.idle_channel_lifetime = 15s;
  config.core.connect_timeout = 250ms;
  config.core.probe_timeout = 250ms;
  config.core.cancel_grace = 250ms;
  discovery::Event first;
  first.number = 1;
  first.is_full_list = true;
  first.records = std::move(engines);
  config.known = {first};
  config.cursor = 1;
  return config;
}

/// The text of a configuration file for a reload, with another command channel.
inline std::string config_text(std::uint16_t discovery_server) {
  return R"({"name":"n","listen":"127.0.0.1:1","seed":"1","channel":"127.0.0.1:)" +
         std::to_string(discovery_server) +
         R"(","known":{"cursor":1,"cmds":[]},"settings":{"classes":[{"name":"report",)"
         R"("repeat":"pure"}],"permissions":{"multiplex":32,"conn_idle_ns":0,"dial_timeout_ns":0}}})";
}

/// A server on its own event loop and thread.
class RunningServer : public EventLoopThread<PlatformServer> {
 public:
  explicit RunningServer(PlatformConfig config, std::string path = "")
      : EventLoopThread([&](auto& io) {
          return std::make_unique<PlatformServer>(io, std::move(config), std::move(path), false);
        }) {}
  std::uint16_t port() {
    return run([](PlatformServer& server) { return server.port(); });
  }
  core::Counts counts() {
    return run([](PlatformServer& server) { return server.counts(); });
  }
  std::size_t clients() {
    return run([](PlatformServer& server) { return server.clients(); });
  }
  std::size_t engines() {
    return run([](PlatformServer& server) { return server.engines(); });
  }
  std::size_t engine_connections() {
    return run([](PlatformServer& server) { return server.engine_connections(); });
  }
  std::size_t unread_bytes() {
    return run([](PlatformServer& server) { return server.unread_bytes(); });
  }
  std::size_t dropped_bytes() {
    return run([](PlatformServer& server) { return server.dropped_bytes(); });
  }
  std::uint64_t last_event() {
    return run([](PlatformServer& server) { return server.last_event(); });
  }
  void reload() {
    run([](PlatformServer& server) {
      server.reload();
      return 0;
    });
  }
};

/// The command channel's end of a subscription.
struct DiscoveryPeer {
  Wire wire;
  std::uint64_t requested_after = 0;  ///< the number of the last event known to the server
  explicit DiscoveryPeer(const Listener& listener) : wire(listener.accept()) {
    std::string bytes;
    while (bytes.size() < 8) {
      const auto more = wire.read();
      if (!more || more->empty()) return;
      bytes += *more;
    }
    for (const char byte : bytes) requested_after = requested_after << 8U | static_cast<unsigned char>(byte);
  }
  void send_event(std::uint64_t number, std::vector<discovery::Record> records) const {
    discovery::Event event;
    event.number = number;
    event.records = std::move(records);
    std::string bytes;
    discovery::put_event(bytes, event);
    wire.write(bytes);
  }
};

/// Fixture with listeners for engines and for the command channel of a server.
class PlatformServerTest : public ::testing::Test {
 protected:
  explicit PlatformServerTest(std::size_t engines = 1) : engine_listeners_(engines) {}

  PlatformConfig config() {
    std::vector<discovery::Record> all;
    for (std::size_t i = 0; i < engine_listeners_.size(); ++i)
      all.push_back(engine_record(static_cast<EngineId>(i + 1), engine_listeners_[i].port()));
    return test_config(std::move(all), discovery_listener_.port());
  }

  std::vector<Listener> engine_listeners_;
  Listener discovery_listener_;
};

class TwoEngineTest : public PlatformServerTest {
 protected:
  TwoEngineTest() : PlatformServerTest(2) {}
  /// Accepts the next connection to either engine.
  EnginePeer accept_any_engine() {
    for (int i = 0; i < client_timeout_ms / 20; ++i) {
      for (const Listener& engine : engine_listeners_) {
        EnginePeer peer(engine, 10);
        if (peer.is_open()) return peer;
      }
    }
    return EnginePeer(engine_listeners_[0], 0);
  }
};

}  // namespace paddlestand::platform::test
