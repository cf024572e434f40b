/// fault_runs: fault injection tests with real processes on loopback, failing system calls, signals and
/// misbehaving peers. `run` executes a profile and starts this program's subcommands `engine` and `clients`.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "processes.hpp"

namespace {

using namespace paddlestand::faults;

struct EngineCommand {
  std::string listen;
  EngineOptions options;
};

struct ClientsCommand {
  std::vector<std::string> managers;
  ClientOptions options;
};

struct RunCommand {
  RunOptions options;
  std::uint64_t seeds = 1;
};

int run_all(const RunCommand& command) {
  RunOptions options = command.options;
  const std::uint64_t first = options.seed;
  int failed = 0;
  for (std::uint64_t seed = first; seed < first + command.seeds; ++seed) {
    options.seed = seed;
    if (run_once(options) != 0) ++failed;
  }
  if (command.seeds > 1) std::cout << command.seeds << " seeds, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

void add_engine_command(CLI::App& app, EngineCommand& command, int& exit_code) {
  EngineOptions& options = command.options;
  auto* subcommand = app.add_subcommand("engine", "Run an engine (started by `run`)");
  subcommand->add_option("--listen", command.listen)->required();
  subcommand->add_option("--log", options.log)->required();
  subcommand->add_option("--number", options.number);
  subcommand->add_option("--seed", options.seed);
  subcommand->add_option("--trouble", options.fault_scale);
  subcommand->add_option("--late", options.late_frame_scale);
  subcommand->add_option("--hang-from", options.hang_from_s);
  subcommand->add_option("--hang-until", options.hang_until_s);
  subcommand->add_flag("--deaf,!--hears", options.stops_reading_while_hanging);
  subcommand->callback([&] {
    command.options.listen = parse_endpoint(command.listen);
    exit_code = run_engine(command.options);
  });
}

void add_clients_command(CLI::App& app, ClientsCommand& command, int& exit_code) {
  ClientOptions& options = command.options;
  auto* subcommand = app.add_subcommand("clients", "Run some clients (started by `run`)");
  subcommand->add_option("--managers", command.managers)->delimiter(',')->required();
  subcommand->add_option("--log", options.log)->required();
  subcommand->add_option("--number", options.number);
  subcommand->add_option("--seed", options.seed);
  subcommand->add_option("--rate", options.requests_per_s);
  subcommand->add_option("--idle", options.idle_connections);
  subcommand->add_flag("--misbehave,!--behave", options.misbehaves);
  subcommand->callback([&] {
    for (const std::string& manager : command.managers)
      command.options.managers.push_back(parse_endpoint(manager));
    exit_code = run_clients(command.options);
  });
}

void add_run_command(CLI::App& app, RunCommand& command, const char* self, int& exit_code) {
  RunOptions& options = command.options;
  options.self = self;
  auto* subcommand = app.add_subcommand("run", "Run a profile, once for each seed");
  subcommand->add_option("profile", options.profile)->required();
  subcommand->add_option("--programs", options.programs, "Directory of the `paddlestand` program")
      ->required();
  subcommand
      ->add_option("--faults", options.fault_library, "Fault injection library to preload into managers")
      ->required();
  subcommand->add_option("--seed", options.seed, "First seed");
  subcommand->add_option("--seeds", command.seeds, "Number of seeds");
  subcommand->add_option("--seconds", options.seconds);
  subcommand->add_flag("--keep", options.keep_logs, "Keep the logs of successful runs");
  subcommand->callback([&] { exit_code = run_all(command); });
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int usage_error = 2;
  ::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"Fault injection tests with real processes"};
  app.require_subcommand(1);
  int exit_code = 0;
  EngineCommand engine;
  ClientsCommand clients;
  RunCommand run;
  add_engine_command(app, engine, exit_code);
  add_clients_command(app, clients, exit_code);
  add_run_command(app, run, argv[0], exit_code);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) { return app.exit(error); } catch (const std::exception& error) {
    std::cerr << "fault_runs: " << error.what() << "\n";
    return usage_error;
  }
  return exit_code;
}
