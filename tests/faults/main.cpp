// The fault tests: real processes on loopback, with failing system calls, signals and misbehaving peers.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <iostream>

#include "processes.hpp"

namespace {

using namespace paddlestand::faults;

int run_all(RunOptions options, std::uint64_t seeds) {
  int failed = 0;
  const std::uint64_t first = options.seed;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    options.seed = seed;
    failed += run_once(options) == 0 ? 0 : 1;
  }
  if (seeds > 1) std::cout << seeds << " seeds, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"Fault runs over real processes"};
  app.require_subcommand(1);
  int result = 0;

  std::string listen;
  EngineOptions engine;
  auto* engine_command = app.add_subcommand("engine", "One engine (started by a run)");
  engine_command->add_option("--listen", listen)->required();
  engine_command->add_option("--log", engine.log)->required();
  engine_command->add_option("--number", engine.number);
  engine_command->add_option("--seed", engine.seed);
  engine_command->add_option("--trouble", engine.trouble);
  engine_command->add_option("--late", engine.late);
  engine_command->add_option("--hang-from", engine.hang_from_s);
  engine_command->add_option("--hang-until", engine.hang_until_s);
  engine_command->add_flag("--deaf,!--hears", engine.deaf);
  engine_command->callback([&] {
    engine.listen = parse_endpoint(listen);
    result = run_engine(engine);
  });

  std::vector<std::string> managers;
  ClientOptions clients;
  auto* clients_command = app.add_subcommand("clients", "Some clients (started by a run)");
  clients_command->add_option("--managers", managers)->delimiter(',')->required();
  clients_command->add_option("--log", clients.log)->required();
  clients_command->add_option("--number", clients.number);
  clients_command->add_option("--seed", clients.seed);
  clients_command->add_option("--rate", clients.requests_per_s);
  clients_command->add_option("--idle", clients.idle_connections);
  clients_command->add_flag("--misbehave,!--behave", clients.misbehaves);
  clients_command->callback([&] {
    for (const std::string& one : managers) clients.managers.push_back(parse_endpoint(one));
    result = run_clients(clients);
  });

  RunOptions run;
  std::uint64_t seeds = 1;
  auto* run_command = app.add_subcommand("run", "Runs a profile, once for each seed");
  run_command->add_option("profile", run.profile)->required();
  run_command->add_option("--programs", run.programs, "Where `paddlestand` is")->required();
  run_command->add_option("--faults", run.fault_library, "The library to preload")->required();
  run_command->add_option("--seed", run.seed, "The first seed");
  run_command->add_option("--seeds", seeds, "How many");
  run_command->add_option("--seconds", run.seconds);
  run_command->add_flag("--keep", run.keep, "Keep the logs");
  run_command->callback([&] {
    run.self = argv[0];
    result = run_all(run, seeds);
  });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) { return app.exit(error); } catch (const std::exception& error) {
    std::cerr << "fault_runs: " << error.what() << "\n";
    return 2;
  }
  return result;
}
