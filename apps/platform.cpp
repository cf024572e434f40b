/// `paddlestand platform`: runs the workload manager with the platform's protocol.
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <iostream>

#include "commands.hpp"
#include "platform/platform_server.hpp"
#include "service/signals.hpp"
#include "start.hpp"

namespace paddlestand::app {
namespace {

/// Options from the command line and the environment.
struct PlatformOptions {
  std::string config;  // path
  std::string listen;
  std::string name;
  bool trace = false;
};

bool is_transient(const std::variant<platform::PlatformConfig, platform::Problem>& read) {
  const auto* problem = std::get_if<platform::Problem>(&read);
  return problem != nullptr && problem->transient;
}

/// Reads the configuration, with retries for a bounded time while the error is transient.
std::variant<platform::PlatformConfig, platform::Problem> read_config_with_retries(const std::string& path) {
  const auto end = std::chrono::steady_clock::now() + max_start_time;
  auto read = platform::read_config(path);
  while (is_transient(read) && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(start_retry_interval);
    read = platform::read_config(path);
  }
  return read;
}

int run_platform(const PlatformOptions& options) {
  if (options.config.empty())
    return report_bad_input("PROXY_CONFIG is not set; expected the path of the configuration file");
  service::PendingSignals::install();
  auto read = read_config_with_retries(options.config);
  if (const auto* problem = std::get_if<platform::Problem>(&read)) return report_bad_input(problem->text);
  auto& config = std::get<platform::PlatformConfig>(read);
  if (!options.name.empty()) config.name = options.name;
  if (!options.listen.empty()) {
    const auto address = platform::parse_address(options.listen);
    if (const auto* problem = std::get_if<platform::Problem>(&address))
      return report_bad_input("PROXY_LISTEN: " + problem->text);
    config.listen = std::get<platform::Address>(address);
  }

  const std::string listen = platform::text_of(config.listen);
  Hosted<platform::PlatformServer> hosted;
  const bool started = start_host(hosted, listen, [&](boost::asio::io_context& io) {
    return std::make_unique<platform::PlatformServer>(io, config, options.config, options.trace);
  });
  if (!started) return exit_failure;
  return run_host(hosted);
}

}  // namespace

void add_platform_command(CLI::App& app, int& result) {
  static PlatformOptions options;
  auto* run =
      app.add_subcommand("platform", "Run the workload manager with the platform's protocol until SIGTERM");
  run->add_option("-c,--config", options.config, "Configuration file (JSON)")->envname("PROXY_CONFIG");
  run->add_option("--listen", options.listen, "Address to listen on for clients")->envname("PROXY_LISTEN");
  run->add_option("--name", options.name, "Name of this manager")->envname("PROXY_NAME");
  run->add_flag("--trace", options.trace, "Log each request, attempt and answer");
  run->callback([&result] { result = run_platform(options); });
}

}  // namespace paddlestand::app
