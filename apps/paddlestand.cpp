// The command line.
#include <openssl/rand.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "commands.hpp"
#include "config/manager_config.hpp"
#include "config/read_file.hpp"
#include "service/postgres_server.hpp"
#include "service/signals.hpp"
#include "service/users.hpp"

namespace paddlestand::app {
namespace {

// Sessions and links want descriptors; an ordinary user may raise the soft limit up to the hard one.
void raise_descriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

// Until the file can be read, or the reason is none that passes.
void wait_for_file(const std::string& path) {
  constexpr std::size_t most_bytes = 64U << 20U;
  const auto end = std::chrono::steady_clock::now() + longest_start;
  while (!path.empty() && std::chrono::steady_clock::now() < end) {
    const auto read = config::read_file(path, most_bytes);
    const auto* error = std::get_if<config::FileError>(&read);
    if (error == nullptr || !error->transient) return;
    std::this_thread::sleep_for(start_pause);
  }
}

// Whole or not at all, since somebody waits for it; again where the disk fails for a moment.
bool write_port_file(const std::string& path, std::uint16_t port) {
  const std::string fresh = path + ".new";
  const auto folder = std::filesystem::absolute(path).parent_path();
  const auto end = std::chrono::steady_clock::now() + longest_start;
  do {
    std::ofstream file(fresh);
    file << port << "\n";
    file.close();
    if (file && std::rename(fresh.c_str(), path.c_str()) == 0) return true;
    std::this_thread::sleep_for(start_pause);
  } while (std::filesystem::exists(folder) && std::chrono::steady_clock::now() < end);
  return false;
}

int serve(const std::string& path, const std::string& port_file, bool keep_limit) {
  service::PendingSignals::install();
  wait_for_file(path);
  auto read = config::read_manager_config(path);
  if (const auto* fault = std::get_if<config::Fault>(&read)) return complain(fault->text());
  auto& config = std::get<config::ManagerConfig>(read);
  pg::Users users;
  std::string password;
  if (config.listen.scram) wait_for_file(config.listen.users_file);
  if (const auto problem = service::read_users(config.listen, users); !problem.empty())
    return complain(problem);
  wait_for_file(config.login.password_file);
  if (const auto problem = service::read_secret(config.login.password_file, password); !problem.empty())
    return complain(problem);
  if (!keep_limit) raise_descriptors();
  const std::string where = config.listen.address + ":" + std::to_string(config.listen.port);
  Hosted<service::PostgresServer> hosted;
  const bool started = start_host(hosted, where, [&](boost::asio::io_context& io) {
    return std::make_unique<service::PostgresServer>(io, config, path, users, password);
  });
  if (!started) return exit_failed;
  if (!port_file.empty() && !write_port_file(port_file, hosted.host->port()))
    return complain(port_file + ": can't be written");
  return run_host(hosted);
}

int check_config(const std::string& path) {
  const auto read = config::read_manager_config(path);
  if (const auto* fault = std::get_if<config::Fault>(&read)) return complain(fault->text());
  const auto& config = std::get<config::ManagerConfig>(read);
  std::size_t engines = config.engines.size();
  if (!config.engines_file.empty()) {
    const auto list = config::read_engine_list(config.engines_file, config);
    if (const auto* fault = std::get_if<config::Fault>(&list)) return complain(fault->text());
    engines = std::get<std::vector<config::ListedEngine>>(list).size();
  }
  pg::Users users;
  std::string password;
  if (const auto problem = service::read_users(config.listen, users); !problem.empty())
    return complain(problem);
  if (const auto problem = service::read_secret(config.login.password_file, password); !problem.empty())
    return complain(problem);
  std::cout << path << ": manager '" << config.name << "', " << config.core.module.classes.size()
            << " classes, " << engines << " engines, " << users.verifiers.size() << " users\n";
  return exit_well;
}

// Reads a password from standard input, so that it stands in no list of processes and no history.
int make_verifier(const std::string& user) {
  std::string password;
  std::getline(std::cin, password);
  if (password.empty()) return complain("wanted: a password, as one line on standard input");
  std::string salt(16, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(salt.data()), static_cast<int>(salt.size()));
  std::cout << user << " " << pg::Verifier::of_password(password, salt).text() << "\n";
  return exit_well;
}

}  // namespace
}  // namespace paddlestand::app

int main(int argc, char** argv) {
  using namespace paddlestand;
  CLI::App app{"paddlestand: a workload manager before analytic engines"};
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 well; 1 the command failed, or a day broke a rule; 2 bad input or settings,\n"
      "told on standard error as file:line: what was wanted; 3 bad usage.\n"
      "More: docs/operators/ in the sources.");
  int result = 0;

  std::string config, port_file, user;
  bool keep_limit = false;
  auto* serve = app.add_subcommand("serve", "Run the workload manager until SIGTERM");
  serve->add_option("-c,--config", config, "Its settings (XML, schema/manager.xsd)")->required();
  serve->add_option("--port-file", port_file, "Write the port that it listens on to this file");
  serve->add_flag("--keep-descriptor-limit", keep_limit, "Don't raise the soft limit of descriptors");
  serve->callback([&] { result = app::serve(config, port_file, keep_limit); });

  auto* check = app.add_subcommand("check-config", "Read settings and all that they name; say what is wrong");
  check->add_option("config", config, "The settings")->required();
  check->callback([&] { result = app::check_config(config); });

  auto* verifier =
      app.add_subcommand("make-verifier", "Turn a password on standard input into a users' file line");
  verifier->add_option("user", user, "The user's name")->required();
  verifier->callback([&] { result = app::make_verifier(user); });

  app::add_platform(app, result);
#ifdef PADDLESTAND_TOOLS
  app::add_day(app, result);
  app::add_explore(app, result);
#endif
  app.add_subcommand("version", "Print the version")->callback([] { std::cout << "paddlestand 0.2.0\n"; });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? app::exit_well : app::exit_bad_usage;
  }
  return result;
}
