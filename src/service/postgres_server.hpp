/// The workload manager as a PostgreSQL server with a single-threaded event loop. It owns the sockets and the
/// clock, dispatches events to the core and executes the core's actions. All decisions about queries are made
/// in the core.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "config/manager_config.hpp"
#include "core/classify.hpp"
#include "dispatcher_host.hpp"
#include "engine_channels.hpp"
#include "engine_list_file.hpp"
#include "graceful_closer.hpp"
#include "listener.hpp"
#include "protocol/pg/frontend_session.hpp"
#include "reload_retry.hpp"
#include "session_registry.hpp"

namespace paddlestand::service {

/// Accepts clients' connections, owns their sessions and the channels to engines, and handles changes of the
/// engine list, reloads and signals. Everything runs on the event loop's thread.
class PostgresServer : public DispatcherHost {
 public:
  using tcp = boost::asio::ip::tcp;

  /// `io` must outlive the server. `config_path` is read again at a reload.
  PostgresServer(boost::asio::io_context& io, config::ManagerConfig config, std::string config_path,
                 pg::Users users, std::string engine_password);
  ~PostgresServer() override;
  PostgresServer(const PostgresServer&) = delete;
  PostgresServer& operator=(const PostgresServer&) = delete;

  /// Listens and starts to serve. Throws boost::system::system_error if the address can't be bound, after
  /// which it may be called again.
  void start();
  /// The listening port, once started.
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  [[nodiscard]] bool knows_engine(EngineId engine) const { return channels_.has_endpoint(engine); }
  /// The number of engines with a known address.
  [[nodiscard]] std::size_t known_engines() const { return channels_.endpoint_count(); }

  /// Reads the settings file again and applies the settings that may change at run time. An invalid file
  /// changes nothing.
  void reload();
  /// Begins a graceful shutdown: accepts no more clients, answers the queries in flight, then stops the event
  /// loop.
  void begin_shutdown();
  /// Closes every session. To be called after the event loop has ended.
  void close_connections();

  // ---- For sessions and channels ----

  /// Dispatches the end of an answer, with the engine's report for the session that receives it.
  void dispatch_answer_end(const core::AnswerEnd& event, const pg::BackendAnswerEnd& end);
  /// Classifies a session's request and dispatches it. A request with invalid tags is rejected immediately.
  void submit_request(const std::shared_ptr<ClientSession>& session, pg::FrontendRequest request);
  /// Cancels the query of the session with this cancel key, if there is one.
  void cancel_session(pg::CancelKey key);
  void on_session_closed(core::SessionId id) { sessions_.remove(id); }
  /// Closes a client's connection after giving the client time to read the last output.
  void close_gracefully(StreamSocket socket) { closer_.close(std::move(socket)); }

  [[nodiscard]] const config::ManagerConfig& config() const { return config_; }
  [[nodiscard]] const pg::FrontendSettings& frontend_settings() const { return frontend_settings_; }
  [[nodiscard]] std::shared_ptr<const pg::Users> users() const { return users_; }
  /// The login of a new connection to an engine, with a new SCRAM nonce.
  [[nodiscard]] pg::EngineLogin engine_login() const;
  /// A random nonce for one SCRAM exchange, in printable characters.
  [[nodiscard]] static std::string make_nonce();

 private:
  /// After these states the host is stopped (`DispatcherHost::stopped_`).
  enum class State : std::uint8_t { serving, shutting_down };

  // Implementation of core::HostInterface.
  void on_event(const core::CoreEvent& event) override { answer_ends_.begin_event(event); }
  core::WriteResult send(const core::SendQuery& action) override;
  core::WriteResult send(const core::SendProbe& action) override;
  void execute(const core::OpenChannel& action) override;
  void execute(const core::CancelOnEngine& action) override;
  void execute(const core::UpdateResourceGrant& action) override;
  void execute(const core::CloseChannel& action) override;
  void execute(const core::Deliver& action) override;
  void execute(const core::Discard& action) override;
  void execute(const core::PauseChannel& action) override;
  void execute(const core::ResumeChannel& action) override;
  void execute(const core::Answer& action) override;
  void execute(const core::ShutdownComplete& action) override;
  using DispatcherHost::execute;

  void accept_connection(tcp::socket socket);
  void reject_connection(tcp::socket socket);
  boost::asio::awaitable<void> sweep_sessions();
  boost::asio::awaitable<void> watch_engine_list();
  boost::asio::awaitable<void> watch_signals();
  void on_reload_fault(const std::string& fault);
  void apply_settings(const config::ManagerConfig& new_config);
  void update_engines(const std::vector<config::ListedEngine>& engines);

  config::ManagerConfig config_;
  std::string config_path_;
  std::shared_ptr<const pg::Users> users_;
  std::string engine_password_;
  core::Classifier classifier_;
  pg::FrontendSettings frontend_settings_;

  Listener listener_;
  SessionRegistry sessions_;
  EngineChannels channels_;
  AnswerEnds answer_ends_;
  GracefulCloser closer_;
  EngineListFile engine_list_;
  ReloadRetry reload_retry_;
  State state_ = State::serving;
};

}  // namespace paddlestand::service
