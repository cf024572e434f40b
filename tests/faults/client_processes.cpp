#include "client_processes.hpp"

#include "child_process.hpp"

namespace paddlestand::faults {
namespace {

namespace bp = boost::process;

constexpr std::int64_t finish_limit = 8 * ns_per_second;

std::string comma_separated(const std::vector<Endpoint>& endpoints) {
  std::string text;
  for (const Endpoint& endpoint : endpoints) {
    if (!text.empty()) text += ",";
    text += endpoint.text();
  }
  return text;
}

}  // namespace

void ClientProcesses::start_all(const std::vector<Endpoint>& managers) {
  const std::string manager_list = comma_separated(managers);
  for (std::uint32_t i = 0; i < run_.profile.clients; ++i) start(i, manager_list);
}

void ClientProcesses::start(std::uint32_t index, const std::string& managers) {
  const Profile& profile = run_.profile;
  auto pipe = std::make_unique<bp::opstream>();
  processes_.emplace_back(run_.options.self, "clients", "--managers", managers, "--log",
                          run_.path("clients" + std::to_string(index) + ".events"), "--number",
                          std::to_string(index + 1), "--seed", std::to_string(run_.options.seed), "--rate",
                          std::to_string(profile.requests_per_s), "--idle",
                          std::to_string(profile.idle_connections),
                          profile.clients_misbehave ? "--misbehave" : "--behave", bp::std_in < *pipe);
  command_pipes_.push_back(std::move(pipe));
}

void ClientProcesses::send(const ClientCommand& command) {
  const std::string line = to_line(command);
  for (const auto& pipe : command_pipes_) *pipe << line << std::endl;
}

void ClientProcesses::finish() {
  send({ClientCommand::Kind::finish});
  for (bp::child& process : processes_) {
    std::error_code ignored;
    if (!ends_within(process, finish_limit)) process.terminate(ignored);
  }
}

}  // namespace paddlestand::faults
