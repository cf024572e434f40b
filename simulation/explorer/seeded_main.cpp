// The explorer over a core that carries seeded defects: for tests alone.
#include <CLI/CLI.hpp>

#include "apps/commands.hpp"

int main(int argc, char** argv) {
  CLI::App app{"paddlestand-seeded: the explorer over a core with seeded defects"};
  app.require_subcommand(1);
  int result = 0;
  paddlestand::app::add_explore(app, result);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : paddlestand::app::exit_bad_usage;
  }
  return result;
}
