// The workload manager as a service: one thread, one loop. It owns the sockets and the clock, tells the core
// what happens and carries out what the core says. Nothing here decides what becomes of a query.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "config/manager_config.hpp"
#include "core/classify.hpp"
#include "dispatcher_host.hpp"
#include "listener.hpp"
#include "protocol/pg/frontend_session.hpp"

namespace paddlestand::service {

class ClientSession;
class EngineChannel;

class PostgresServer : public DispatcherHost {
 public:
  using tcp = boost::asio::ip::tcp;

  // `config_path` is read again at a reload.
  PostgresServer(boost::asio::io_context& io, config::ManagerConfig config, std::string config_path,
                 pg::Users users, std::string engine_password);
  ~PostgresServer() override;
  PostgresServer(const PostgresServer&) = delete;
  PostgresServer& operator=(const PostgresServer&) = delete;

  // Listens, and begins. Throws boost::system::system_error where the address can't be had; may be called
  // again then.
  void start();
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }

  void reload();
  void leave();
  // Ends every connection, once the loop has ended.
  void close_connections();

  // ---- For sessions and channels ----

  // As above, with what the engine said at the end of an answer, for the session that gets it.
  void tell_end(const core::AnswerEnd& event, const pg::BackendAnswerEnd& end);
  void ask(const std::shared_ptr<ClientSession>& session, pg::FrontendRequest request);
  void cancel_session(pg::CancelKey key);
  void session_gone(core::SessionId id);
  // Ends a connection so that what was said last is read; over a bound of them, at once.
  void linger(StreamSocket socket);

  [[nodiscard]] const config::ManagerConfig& config() const { return config_; }
  [[nodiscard]] const pg::FrontendSettings& frontend_settings() const { return frontend_settings_; }
  [[nodiscard]] std::shared_ptr<const pg::Users> users() const { return users_; }
  [[nodiscard]] pg::EngineLogin engine_login() const;
  [[nodiscard]] std::string nonce();

 private:
  friend class EngineChannel;

  // The dispatcher's.
  void on_event(const core::CoreEvent& event) override;
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
  void take(tcp::socket socket);
  boost::asio::awaitable<void> watch_engines();
  void reload_again_soon(const std::string& why);
  boost::asio::awaitable<void> sweep();
  boost::asio::awaitable<void> watch_signals();
  boost::asio::awaitable<void> linger_counted(StreamSocket socket);
  // For a client that gets no session: says why, and closes.
  boost::asio::awaitable<void> turn_away(StreamSocket socket, pg::Fields fields);
  boost::asio::awaitable<void> cancel_on(tcp::endpoint at, pg::CancelKey key);
  boost::asio::awaitable<void> change_terms(std::shared_ptr<EngineChannel> of, std::string statement);
  void use_engines(const std::vector<config::ListedEngine>& engines);
  std::shared_ptr<EngineChannel> find_channel(core::ChannelId id) const;
  std::shared_ptr<ClientSession> find_session(core::SessionId id) const;

  config::ManagerConfig config_;
  std::string config_path_;
  std::shared_ptr<const pg::Users> users_;
  std::string engine_password_;
  core::Classifier classifier_;
  pg::FrontendSettings frontend_settings_;

  Listener listener_;

  std::unordered_map<core::SessionId, std::shared_ptr<ClientSession>> sessions_;
  std::unordered_map<core::QueryId, core::SessionId> queries_;
  std::unordered_map<core::ChannelId, std::shared_ptr<EngineChannel>> channels_;
  std::unordered_map<EngineId, tcp::endpoint> engines_;
  core::SessionId last_session_ = 0;
  core::QueryId last_query_ = 0;

  std::unordered_map<core::ChannelId, pg::BackendAnswerEnd> ends_;  // of answers that wait to be taken
  std::optional<pg::BackendAnswerEnd> current_end_;
  std::size_t turned_away_ = 0;  // being told that there are too many sessions
  std::size_t lingering_ = 0;  // connections without a session that wait for their client to close
  int reload_tries_ = 0;  // that failed in a row
  bool leaving_ = false;
};

}  // namespace paddlestand::service
