// paddlestand platform
#include "platform/platform.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <iostream>

#include "commands.hpp"

namespace paddlestand::app {
namespace {

struct PlatformOptions {
  std::string config, listen, name;
  bool trace = false;
};

int run_platform(const PlatformOptions& options) {
  if (options.config.empty())
    return complain("PROXY_CONFIG is not set; wanted: the path of the configuration");
  auto read = platform::read_config(options.config);
  if (const auto* problem = std::get_if<platform::Problem>(&read)) return complain(problem->text);
  auto& config = std::get<platform::PlatformConfig>(read);
  if (!options.name.empty()) config.name = options.name;
  if (!options.listen.empty()) {
    const auto at = platform::parse_address(options.listen);
    if (const auto* problem = std::get_if<platform::Problem>(&at))
      return complain("PROXY_LISTEN: " + problem->text);
    config.listen = std::get<platform::Address>(at);
  }
  const std::string listen = platform::text_of(config.listen);
  boost::asio::io_context io(1);
  platform::Platform host(io, std::move(config), options.config, options.trace);
  try {
    host.start();
  } catch (const boost::system::system_error& error) {
    std::cerr << "paddlestand: can't listen on " << listen << ": " << error.code().message() << "\n";
    return exit_failed;
  }
  return run_host(io, host);
}

}  // namespace

void add_platform(CLI::App& app, int& result) {
  static PlatformOptions options;
  auto* run =
      app.add_subcommand("platform", "Run the workload manager on the platform's protocol until SIGTERM");
  run->add_option("-c,--config", options.config, "Its configuration (JSON)")->envname("PROXY_CONFIG");
  run->add_option("--listen", options.listen, "Where clients connect")->envname("PROXY_LISTEN");
  run->add_option("--name", options.name, "Its name")->envname("PROXY_NAME");
  run->add_flag("--trace", options.trace, "Log each request, attempt and answer");
  run->callback([&result] { result = run_platform(options); });
}

}  // namespace paddlestand::app
