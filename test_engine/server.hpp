/// A test engine: implements the server side of the PostgreSQL protocol, runs queries as jobs of the engine
/// model in real time, writes a ground-truth log, and injects faults on command.
///
/// The cost of a query is given by tags in its statement (query_profile.hpp), which managers ignore.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "settings.hpp"

namespace paddlestand::test_engine {

struct EngineContext;

/// Owns the query port and the control port. Used only on the thread of the event loop.
class Server {
 public:
  using tcp = boost::asio::ip::tcp;

  Server(boost::asio::io_context& io, TestEngineSettings settings);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Listens on both ports. Throws boost::system::system_error if a port cannot be bound.
  void start();
  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] std::uint16_t control_port() const { return control_port_; }

  /// Executes one line of a control connection: a command, for some commands followed by a number. Returns
  /// "ok" or an error message.
  std::string execute_command(const std::string& line);

 private:
  struct Command;

  [[nodiscard]] static std::span<const Command> commands();
  [[nodiscard]] static std::string unknown_command_message();

  void listen();
  boost::asio::awaitable<void> accept_sessions();
  boost::asio::awaitable<void> accept_control();
  boost::asio::awaitable<void> serve_control(tcp::socket socket);
  boost::asio::awaitable<void> send_progress_periodically();

  // Commands (server_commands.cpp).
  void clear_faults();
  void hang();
  void vanish();
  void slow_down(double factor);
  void clear_table_cache();
  void delay_load_reports(double period_ms);
  void stop_listening();
  void abort_sessions();
  void restart();
  [[noreturn]] void die();

  TestEngineSettings settings_;
  std::shared_ptr<EngineContext> engine_;
  std::unique_ptr<tcp::acceptor> acceptor_;
  tcp::acceptor control_acceptor_;
  std::uint16_t port_ = 0;
  std::uint16_t control_port_ = 0;
  std::vector<tcp::socket> unserved_sockets_;  // accepted during the fault `vanish`
  std::uint32_t last_process_number_ = 0;
};

}  // namespace paddlestand::test_engine
