/// `paddlestand-seeded`: the explorer over a core with seeded defects. Built only for tests.
#include <CLI/CLI.hpp>

#include "apps/commands.hpp"

int main(int argc, char** argv) {
  CLI::App app{"paddlestand-seeded: the explorer over a core with seeded defects"};
  app.require_subcommand(1);
  int result = 0;
  paddlestand::app::add_explore_command(app, result);
  return paddlestand::app::run_command_line(app, argc, argv, result);
}
