/// The workload manager on the platform: clients that speak JSON-RPC in front, engines that speak binary
/// frames behind, the list of engines from the command channel. It owns sockets, clock and signals; what
/// becomes of a query is decided by the core alone.
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

/// Joins the parts, and is the host of the core. One thread: the one that runs the event loop.
class PlatformServer : public PlatformHost {
 public:
  using tcp = boost::asio::ip::tcp;

  /// `config_path` is read again at a reload. `trace`: each request, attempt and answer is a line of the log.
  PlatformServer(boost::asio::io_context& io, PlatformConfig config, std::string config_path, bool trace);
  ~PlatformServer() override;

  /// Listens, and begins to serve. Throws boost::system::system_error where the address is not available; may
  /// be called again then.
  void start();
  /// Reads the configuration again: known events and the address of the command channel are applied.
  void reload() { reloader_.reload(); }
  /// Begins a graceful shutdown, as SIGTERM does.
  void begin_shutdown() { shutdown_.begin(signals_polled_at_); }
  /// Closes the listener once the connections that the system has accepted were handed over.
  void stop_accepting() { listener_.close_when_drained(); }
  /// Closes every connection, once the event loop has ended.
  void close_connections();

  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  /// The time between SIGTERM and SIGKILL.
  [[nodiscard]] Duration termination_grace_period() const;

  // ---- Figures ----

  [[nodiscard]] std::size_t clients() const { return clients_.size(); }
  /// Of answers that clients have not read.
  [[nodiscard]] std::size_t unread_bytes() const { return clients_.unwritten_bytes(); }
  /// Of input that was received after the end of its connection had been decided.
  [[nodiscard]] std::size_t dropped_bytes() const { return clients_.dropped_bytes(); }
  [[nodiscard]] std::size_t engine_connections() const { return engines_.connection_count(); }
  [[nodiscard]] std::size_t engines() const { return endpoints_.size(); }
  /// The number of the last event of the command channel.
  [[nodiscard]] std::uint64_t last_event() const { return endpoints_.last(); }

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
  void execute(const core::PauseChannel&) override {}  // answers are held completely: no channel is paused
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
  TimePoint signals_polled_at_{};  // a signal that is seen now arrived no earlier
};

}  // namespace paddlestand::platform
