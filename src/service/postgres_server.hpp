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
#include "desk_host.hpp"
#include "listener.hpp"
#include "protocol/pg/front.hpp"

namespace paddlestand::service {

class Session;
class Link;

class Manager : public DeskHost {
 public:
  using tcp = boost::asio::ip::tcp;

  // `config_path` is read again at a reload.
  Manager(boost::asio::io_context& io, config::ManagerConfig config, std::string config_path, pg::Users users,
          std::string engine_password);
  ~Manager() override;
  Manager(const Manager&) = delete;
  Manager& operator=(const Manager&) = delete;

  // Listens, and begins. Throws boost::system::system_error where the address can't be had; may be called
  // again then.
  void start();
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }

  void reload();
  void leave();
  // Ends every connection, once the loop has ended.
  void close_connections();

  // ---- For sessions and links ----

  // As above, with what the engine said at the end of an answer, for the session that gets it.
  void tell_end(const core::AnswerEnd& event, const pg::LinkAnswerEnd& end);
  void ask(const std::shared_ptr<Session>& session, pg::FrontRequest request);
  void cancel_session(pg::CancelKey key);
  void session_gone(core::SessionId id);
  // Ends a connection so that what was said last is read; over a bound of them, at once.
  void linger(StreamSocket socket);

  [[nodiscard]] const config::ManagerConfig& config() const { return config_; }
  [[nodiscard]] const pg::FrontSettings& front_settings() const { return front_settings_; }
  [[nodiscard]] std::shared_ptr<const pg::Users> users() const { return users_; }
  [[nodiscard]] pg::EngineLogin engine_login() const;
  [[nodiscard]] std::string nonce();

 private:
  friend class Link;

  // The desk's.
  void taking(const core::CoreEvent& event) override;
  core::Written send(const core::SendQuery& effect) override;
  core::Written send(const core::SendProbe& effect) override;
  void carry_out(const core::OpenLink& effect) override;
  void carry_out(const core::CancelOnEngine& effect) override;
  void carry_out(const core::ChangeTerms& effect) override;
  void carry_out(const core::CloseLink& effect) override;
  void carry_out(const core::Deliver& effect) override;
  void carry_out(const core::Discard& effect) override;
  void carry_out(const core::PauseLink& effect) override;
  void carry_out(const core::ResumeLink& effect) override;
  void carry_out(const core::Answer& effect) override;
  void carry_out(const core::Left& effect) override;

  using DeskHost::carry_out;
  void take(tcp::socket socket);
  boost::asio::awaitable<void> watch_engines();
  void reload_again_soon(const std::string& why);
  boost::asio::awaitable<void> sweep();
  boost::asio::awaitable<void> watch_signals();
  boost::asio::awaitable<void> linger_counted(StreamSocket socket);
  // For a client that gets no session: says why, and closes.
  boost::asio::awaitable<void> turn_away(StreamSocket socket, pg::Fields fields);
  boost::asio::awaitable<void> cancel_on(tcp::endpoint at, pg::CancelKey key);
  boost::asio::awaitable<void> change_terms(std::shared_ptr<Link> of, std::string statement);
  void use_engines(const std::vector<config::ListedEngine>& engines);
  std::shared_ptr<Link> find_link(core::LinkId id) const;
  std::shared_ptr<Session> find_session(core::SessionId id) const;

  config::ManagerConfig config_;
  std::string config_path_;
  std::shared_ptr<const pg::Users> users_;
  std::string engine_password_;
  core::Classifier classifier_;
  pg::FrontSettings front_settings_;

  Listener listener_;

  std::unordered_map<core::SessionId, std::shared_ptr<Session>> sessions_;
  std::unordered_map<core::QueryId, core::SessionId> queries_;
  std::unordered_map<core::LinkId, std::shared_ptr<Link>> links_;
  std::unordered_map<EngineId, tcp::endpoint> engines_;
  core::SessionId last_session_ = 0;
  core::QueryId last_query_ = 0;

  std::unordered_map<core::LinkId, pg::LinkAnswerEnd> ends_;  // of answers that wait to be taken
  std::optional<pg::LinkAnswerEnd> current_end_;
  std::size_t turned_away_ = 0;  // being told that there are too many sessions
  std::size_t lingering_ = 0;  // connections without a session that wait for their client to close
  int reload_tries_ = 0;  // that failed in a row
  bool leaving_ = false;
};

}  // namespace paddlestand::service
