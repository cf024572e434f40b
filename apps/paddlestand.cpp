/// The command line, with the subcommands `serve`, `check-config` and `make-verifier`. The other subcommands
/// have files of their own.
#include <openssl/rand.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>
#include <utility>
#include <variant>

#include "commands.hpp"
#include "config/manager_config.hpp"
#include "config/read_file.hpp"
#include "service/postgres_server.hpp"
#include "service/signals.hpp"
#include "service/users.hpp"

namespace paddlestand::app {
namespace {

constexpr std::size_t max_file_bytes = 64U << 20U;
constexpr const char* version = "0.2.0";
constexpr std::size_t salt_bytes = 16;

struct ServeOptions {
  std::string config_path;
  std::string port_file;  // empty: write no port file
  bool keep_descriptor_limit = false;
};

/// The users and the password for the engines, read from the files that the settings name.
struct Credentials {
  pg::Users users;
  std::string engine_password;
};

/// Raises the soft limit on file descriptors, which sessions and channels need, to the hard limit. Requires
/// no privileges.
void raise_descriptor_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

/// Waits for a bounded time until the file can be read or the error is not transient. Does nothing for an
/// empty path.
void wait_for_file(const std::string& path) {
  const auto end = std::chrono::steady_clock::now() + max_start_time;
  while (!path.empty() && std::chrono::steady_clock::now() < end) {
    const auto read = config::read_file(path, max_file_bytes);
    const auto* error = std::get_if<config::FileError>(&read);
    if (error == nullptr || !error->transient) return;
    std::this_thread::sleep_for(start_retry_interval);
  }
}

/// Writes the port to a file, atomically, since another process waits for the file. Retries for a bounded
/// time while the folder exists. Returns false if the file could not be written.
bool write_port_file(const std::string& path, std::uint16_t port) {
  const std::string temporary = path + ".new";
  const auto folder = std::filesystem::absolute(path).parent_path();
  const auto end = std::chrono::steady_clock::now() + max_start_time;
  do {
    std::ofstream file(temporary);
    file << port << "\n";
    file.close();
    if (file && std::rename(temporary.c_str(), path.c_str()) == 0) return true;
    std::this_thread::sleep_for(start_retry_interval);
  } while (std::filesystem::exists(folder) && std::chrono::steady_clock::now() < end);
  return false;
}

/// Reads the credentials that the settings name. `before_read` is called with each file's path before it is
/// read.
template <typename BeforeRead>
std::variant<Credentials, service::CredentialsError> read_credentials(const config::ManagerConfig& config,
                                                                      BeforeRead before_read) {
  if (config.listen.scram) before_read(config.listen.users_file);
  auto users = service::read_users(config.listen);
  if (auto* error = std::get_if<service::CredentialsError>(&users)) return std::move(*error);
  before_read(config.login.password_file);
  auto password = service::read_password(config.login.password_file);
  if (auto* error = std::get_if<service::CredentialsError>(&password)) return std::move(*error);
  return Credentials{std::get<pg::Users>(std::move(users)), std::get<std::string>(std::move(password))};
}

/// Runs the manager as a PostgreSQL server until SIGTERM.
int serve(const ServeOptions& options) {
  service::PendingSignals::install();
  wait_for_file(options.config_path);
  const auto read = config::read_manager_config(options.config_path);
  if (const auto* error = std::get_if<config::ConfigError>(&read)) return report_bad_input(error->text());
  const auto& config = std::get<config::ManagerConfig>(read);
  const auto credentials = read_credentials(config, wait_for_file);
  if (const auto* error = std::get_if<service::CredentialsError>(&credentials))
    return report_bad_input(error->text());
  const auto& logins = std::get<Credentials>(credentials);
  if (!options.keep_descriptor_limit) raise_descriptor_limit();

  const std::string address = config.listen.address + ":" + std::to_string(config.listen.port);
  Hosted<service::PostgresServer> hosted;
  const bool started = start_host(hosted, address, [&](boost::asio::io_context& io) {
    return std::make_unique<service::PostgresServer>(io, config, options.config_path, logins.users,
                                                     logins.engine_password);
  });
  if (!started) return exit_failure;
  if (!options.port_file.empty() && !write_port_file(options.port_file, hosted.host->port()))
    return report_bad_input(options.port_file + ": cannot be written");
  return run_host(hosted);
}

/// Reads the settings and the files that they name, and prints a summary or the first error.
int check_config(const std::string& path) {
  const auto read = config::read_manager_config(path);
  if (const auto* error = std::get_if<config::ConfigError>(&read)) return report_bad_input(error->text());
  const auto& config = std::get<config::ManagerConfig>(read);
  std::size_t engines = config.engines.size();
  if (!config.engines_file.empty()) {
    const auto list = config::read_engine_list(config.engines_file, config);
    if (const auto* error = std::get_if<config::ConfigError>(&list)) return report_bad_input(error->text());
    engines = std::get<std::vector<config::ListedEngine>>(list).size();
  }
  const auto credentials = read_credentials(config, [](const std::string&) {});
  if (const auto* error = std::get_if<service::CredentialsError>(&credentials))
    return report_bad_input(error->text());
  std::cout << path << ": manager '" << config.name << "', " << config.core.module.classes.size()
            << " classes, " << engines << " engines, "
            << std::get<Credentials>(credentials).users.verifiers.size() << " users\n";
  return exit_success;
}

/// Prints a line for a users file. The password is read from standard input, so that it does not appear in
/// process lists or the shell history.
int make_verifier(const std::string& user) {
  std::string password;
  std::getline(std::cin, password);
  if (password.empty()) return report_bad_input("expected a password, as one line on standard input");
  std::string salt(salt_bytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(salt.data()), static_cast<int>(salt.size()));
  std::cout << user << " " << pg::Verifier::of_password(password, salt).text() << "\n";
  return exit_success;
}

void add_serve_command(CLI::App& app, int& result) {
  static ServeOptions options;
  auto* serve_command = app.add_subcommand("serve", "Run the workload manager until SIGTERM");
  serve_command->add_option("-c,--config", options.config_path, "Settings file (XML, schema/manager.xsd)")
      ->required();
  serve_command->add_option("--port-file", options.port_file,
                            "Write the port that the manager listens on to this file");
  serve_command->add_flag("--keep-descriptor-limit", options.keep_descriptor_limit,
                          "Do not raise the soft limit on file descriptors");
  serve_command->callback([&result] { result = serve(options); });
}

void add_check_config_command(CLI::App& app, int& result) {
  static std::string path;
  auto* command = app.add_subcommand(
      "check-config", "Check settings and the files that they name, and print the first error");
  command->add_option("config", path, "Settings file (XML, schema/manager.xsd)")->required();
  command->callback([&result] { result = check_config(path); });
}

void add_make_verifier_command(CLI::App& app, int& result) {
  static std::string user;
  auto* command = app.add_subcommand(
      "make-verifier", "Read a password from standard input and print a line for the users file");
  command->add_option("user", user, "Name of the user")->required();
  command->callback([&result] { result = make_verifier(user); });
}

}  // namespace
}  // namespace paddlestand::app

int main(int argc, char** argv) {
  using namespace paddlestand;
  CLI::App app{"paddlestand: a workload manager in front of analytic engines"};
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 success; 1 the command failed, or a day violated a rule; 2 invalid input or settings,\n"
      "reported on standard error as file:line: error; 3 invalid command line.\n"
      "Documentation: docs/operators/ in the source tree.");
  int result = 0;

  app::add_serve_command(app, result);
  app::add_check_config_command(app, result);
  app::add_make_verifier_command(app, result);
  app::add_platform_command(app, result);
#ifdef PADDLESTAND_TOOLS
  app::add_day_command(app, result);
  app::add_explore_command(app, result);
#endif
  app.add_subcommand("version", "Print the version")->callback([] {
    std::cout << "paddlestand " << app::version << "\n";
  });

  return app::run_command_line(app, argc, argv, result);
}
