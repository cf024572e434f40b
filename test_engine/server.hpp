// A test engine for an engine: speaks the server's side of the protocol, runs queries as work on the engine
// model in real time, keeps a ground-truth log, and gets into trouble on command.
//
// What a query costs here is in its own tags, which a manager passes over: sim_id, sim_work_ms, sim_threads,
// sim_memory_mb, sim_rows, sim_row_bytes, sim_write, sim_reads.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "protocol/pg/messages.hpp"
#include "simulation/engine_model/engine_model.hpp"

namespace paddlestand::test_engine {

using tcp = boost::asio::ip::tcp;

struct TestEngineSettings {
  std::string name = "engine";
  std::string address = "127.0.0.1";
  std::uint16_t port = 0, control_port = 0;
  simulation::EngineShape shape;
  std::string truth_log;  // empty: none
  double report_period_s = 0;  // load is told as it was so long ago at the most; zero: as it is
  double note_period_s = 0;
  std::uint64_t seed = 1;
  bool cold = false;  // begins cold; otherwise as if it had run for long
};

class Seat;

class Server {
 public:
  Server(boost::asio::io_context& io, TestEngineSettings settings);
  ~Server();

  void start();
  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] std::uint16_t control_port() const { return control_port_; }

  // One line of the control connection; what it answers.
  std::string command(const std::string& line);

 private:
  friend class Seat;

  struct Troubles {
    bool hang = false, refuse = false, vanish = false, full = false, drain = false;
    bool mute_mid = false, mute_first = false, mute_end = false, half_close = false;
    double fail = 0, lose = 0;  // shares
  };

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> control();
  boost::asio::awaitable<void> talk(tcp::socket socket);
  boost::asio::awaitable<void> notes();
  void listen();
  void arm();
  void finish_due();
  void truth(const char* what, const std::string& id, const std::string& more = {});
  bool chance(double share);
  [[nodiscard]] double now() const;
  [[nodiscard]] std::string load();
  bool cancel(pg::CancelKey key);

  boost::asio::io_context& io_;
  TestEngineSettings settings_;
  simulation::EngineModel model_;
  Troubles troubles_;
  std::unique_ptr<tcp::acceptor> acceptor_;
  tcp::acceptor control_acceptor_;
  std::uint16_t port_ = 0, control_port_ = 0;
  boost::asio::steady_timer timer_;
  std::map<std::uint32_t, std::weak_ptr<Seat>> seats_;  // by process number
  std::map<simulation::JobId, std::weak_ptr<Seat>> jobs_;
  std::vector<tcp::socket> unserved_;
  simulation::JobId last_job_ = 0;
  std::uint32_t last_process_ = 0;
  std::mt19937_64 random_;
  std::FILE* log_ = nullptr;
  double told_load_ = 0, told_at_ = -1e9;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // seats may outlive it, in the loop
};

// The clock of all logs on one machine: nanoseconds.
std::int64_t shared_clock();

}  // namespace paddlestand::test_engine
