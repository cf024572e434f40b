// The commands of a test engine's control port.
#include <algorithm>
#include <array>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <span>
#include <sstream>
#include <string_view>

#include "engine_context.hpp"
#include "server.hpp"
#include "session.hpp"

namespace paddlestand::test_engine {

/// `value` is the number after the name of the command, or 0 if there is none.
struct Server::Command {
  std::string_view name;
  void (*execute)(Server& server, double value);
};

std::span<const Server::Command> Server::commands() {
  static constexpr std::array all{
      Command{"normal", [](Server& server, double) { server.clear_faults(); }},
      Command{"hang", [](Server& server, double) { server.hang(); }},
      Command{"vanish", [](Server& server, double) { server.vanish(); }},
      Command{"slow", [](Server& server, double factor) { server.slow_down(factor); }},
      Command{"fail", [](Server& server, double share) { server.engine_->faults.failure_share = share; }},
      Command{"lose", [](Server& server, double share) { server.engine_->faults.lost_answer_share = share; }},
      Command{"mute-first", [](Server& server, double) { server.engine_->faults.stop_before_answer = true; }},
      Command{"mute-mid", [](Server& server, double) { server.engine_->faults.stop_mid_answer = true; }},
      Command{"mute-end", [](Server& server, double) { server.engine_->faults.stop_before_ready = true; }},
      Command{"half-close", [](Server& server, double) { server.engine_->faults.half_close = true; }},
      Command{"full", [](Server& server, double) { server.engine_->faults.overloaded = true; }},
      Command{"drain", [](Server& server, double) { server.engine_->faults.draining = true; }},
      Command{"report-late", [](Server& server, double period_ms) { server.delay_load_reports(period_ms); }},
      Command{"flush", [](Server& server, double) { server.clear_table_cache(); }},
      Command{"reset", [](Server& server, double) { server.abort_sessions(); }},
      Command{"refuse", [](Server& server, double) { server.stop_listening(); }},
      Command{"cold", [](Server& server, double) { server.restart(); }},
      Command{"die", [](Server& server, double) { server.die(); }}};
  return all;
}

std::string Server::execute_command(const std::string& line) {
  std::istringstream in(line);
  std::string name;
  double value = 0;
  in >> name >> value;
  engine_->log.write(log_event::fault_injected, "", {{"command", line}});
  const auto found = std::find_if(commands().begin(), commands().end(),
                                  [&name](const Command& command) { return command.name == name; });
  if (found == commands().end()) return unknown_command_message();
  found->execute(*this, value);
  engine_->jobs.update();
  return "ok";
}

std::string Server::unknown_command_message() {
  std::string text = "unknown command; expected one of:";
  for (const Command& command : commands()) text += " " + std::string(command.name);
  return text;
}

void Server::clear_faults() {
  const bool is_listening = acceptor_->is_open();
  engine_->faults = {};
  engine_->jobs.model().resume(shared_clock_s());
  engine_->jobs.model().slow_down(shared_clock_s(), 1);
  unserved_sockets_.clear();
  for (const auto& session : engine_->live_sessions()) session->send_withheld_output();
  if (!is_listening) listen();
}

void Server::hang() {
  engine_->faults.vanish = false;
  engine_->faults.hang = true;
  engine_->jobs.model().hang(shared_clock_s());
}

void Server::vanish() {
  hang();
  engine_->faults.vanish = true;
}

void Server::slow_down(double factor) { engine_->jobs.model().slow_down(shared_clock_s(), factor); }

void Server::clear_table_cache() { engine_->jobs.model().clear_table_cache(shared_clock_s()); }

void Server::delay_load_reports(double period_ms) { engine_->report_period_s = period_ms / 1000; }

void Server::stop_listening() {
  boost::system::error_code ignored;
  acceptor_->close(ignored);
}

void Server::abort_sessions() {
  for (const auto& session : engine_->live_sessions()) session->abort();
}

void Server::restart() {
  abort_sessions();
  engine_->jobs.model().restart(shared_clock_s());
  engine_->log.write(log_event::engine_started, "", {{"cold", true}});
}

void Server::die() {
  engine_->log.write(log_event::engine_exited, "");
  std::_Exit(0);
}

}  // namespace paddlestand::test_engine
