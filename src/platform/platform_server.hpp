/// The workload manager on the platform: it serves clients over JSON-RPC, uses engines over binary frames,
/// and gets the engine list from the command channel. It owns sockets, clock and signals; only the core makes
/// decisions about queries.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "client_registry.hpp"
#include "config.hpp"
#include "config_reloader.hpp"
#include "discovery_watch.hpp"
#include "endpoint_list.hpp"
#include "engine_dispatch.hpp"
#include "graceful_shutdown.hpp"
#include "platform_host.hpp"
#include "request_handler.hpp"
#include "resource_limits.hpp"
#include "server_lifecycle.hpp"
#include "service/listener.hpp"

namespace paddlestand::platform {

/// Connects the parts and is the host of the core. Used only on the thread of the event loop.
class PlatformServer : public PlatformHost {
 public:
  using tcp = boost::asio::ip::tcp;

  /// `config_path` is read on reload. `trace`: whether to log every request, attempt and answer.
  PlatformServer(boost::asio::io_context& io, PlatformConfig config, std::string config_path, bool trace);
  ~PlatformServer() override;

  /// Opens the listener and starts serving. Throws boost::system::system_error if the address is not
  /// available; may then be called again.
  void start();
  /// Reloads the configuration and applies its known events and the address of the command channel.
  void reload() { reloader_.reload(); }
  /// Begins a graceful shutdown, as SIGTERM does.
  void begin_shutdown() { shutdown_.begin(signals_polled_at_); }
  /// Closes the listener after the connections in its backlog have been accepted.
  void stop_accepting() { listener_.close_when_drained(); }
  /// Closes all connections; called after the event loop has ended.
  void close_connections();

  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  /// The time between SIGTERM and SIGKILL.
  [[nodiscard]] Duration termination_grace_period() const;

  // ---- Statistics ----

  [[nodiscard]] std::size_t clients() const { return clients_.size(); }
  /// Bytes of answers that clients have not read.
  [[nodiscard]] std::size_t unread_bytes() const { return clients_.unwritten_bytes(); }
  /// Bytes of input received on connections that were already ending.
  [[nodiscard]] std::size_t dropped_bytes() const { return clients_.dropped_bytes(); }
  [[nodiscard]] std::size_t engine_connections() const { return engines_.connection_count(); }
  [[nodiscard]] std::size_t engines() const { return endpoints_.size(); }
  /// The number of the last event of the command channel.
  [[nodiscard]] std::uint64_t last_event() const { return endpoints_.last_event(); }

 private:
  // Actions of the core.
  core::WriteResult send(const core::SendQuery& action) override { return engines_.send(action); }
  core::WriteResult send(const core::SendProbe& action) override { return engines_.send(action); }
  void execute(const core::OpenChannel& action) override { engines_.open(action); }
  void execute(const core::CancelOnEngine& action) override { engines_.cancel(action); }
  void execute(const core::UpdateResourceGrant& action) override { engines_.update_grant(action); }
  void execute(const core::CloseChannel& action) override { engines_.close(action); }
  void execute(const core::Deliver& action) override;
  void execute(const core::Discard& action) override;
  void execute(const core::PauseChannel&) override {
  }  // answers are buffered completely, so no channel is paused
  void execute(const core::ResumeChannel&) override {}
  void execute(const core::Answer& action) override { requests_.answer(action); }
  void execute(const core::ShutdownComplete&) override { shutdown_.on_requests_finished(); }
  using PlatformHost::execute;

  DiscoveryWatch::Hooks discovery_hooks();
  void refresh_endpoints();
  EndpointList::ApplyResult apply(const discovery::Event& event);
  void log_engines(const discovery::Event& event, const core::EndpointsUpdated& update);
  void apply_reloaded(const PlatformConfig& config);
  boost::asio::awaitable<void> sweep_loop();
  void handle_signals();

  PlatformConfig config_;
  ResourceLimits limits_;
  jsonrpc::CallReader calls_;
  ServerLifecycle lifecycle_;
  EndpointList endpoints_;
  RequestHandler requests_;
  ClientRegistry clients_;
  EngineDispatch engines_;
  service::Listener listener_;
  DiscoveryWatch discovery_;
  ConfigReloader reloader_;
  GracefulShutdown shutdown_;
  TimePoint signals_polled_at_{};  // a signal found by the next poll arrived no earlier
};

}  // namespace paddlestand::platform
