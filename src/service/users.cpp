#include "users.hpp"

#include <openssl/rand.h>

#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

#include "config/read_file.hpp"

namespace paddlestand::service {
namespace {

constexpr std::size_t max_file_bytes = 16U << 20U;
constexpr std::size_t mock_secret_bytes = 32;

std::string random_bytes(std::size_t count) {
  std::string bytes(count, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count));
  return bytes;
}

/// Adds the user of one line. Returns an error message if the line is invalid.
std::optional<std::string> add_user(std::string_view line, pg::Users& users) {
  const auto blank = line.find(' ');
  const auto verifier = blank == line.npos ? std::nullopt : pg::Verifier::parse(line.substr(blank + 1));
  if (!verifier) return "expected a name, a space and SCRAM-SHA-256$rounds:salt$stored:server";
  const std::string name(line.substr(0, blank));
  if (!users.verifiers.emplace(name, *verifier).second) return "duplicate user '" + name + "'";
  return std::nullopt;
}

}  // namespace

std::string CredentialsError::text() const {
  return file + (line > 0 ? ":" + std::to_string(line) : "") + ": " + problem;
}

std::variant<pg::Users, CredentialsError> read_users(const config::ListenConfig& listen) {
  pg::Users users;
  users.trust = !listen.scram;
  users.mock_secret = random_bytes(mock_secret_bytes);
  if (!listen.scram) return users;

  const auto text = config::read_file(listen.users_file, max_file_bytes);
  if (std::holds_alternative<config::FileError>(text))
    return CredentialsError{listen.users_file, 0, "cannot be read"};
  std::istringstream lines(std::get<std::string>(text));
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    if (line.empty() || line[0] == '#') continue;
    if (auto problem = add_user(line, users))
      return CredentialsError{listen.users_file, number, std::move(*problem)};
  }
  if (users.verifiers.empty())
    return CredentialsError{listen.users_file, 0, "contains no users, so nobody could log in"};
  return users;
}

std::variant<std::string, CredentialsError> read_password(const std::string& path) {
  std::string password;
  if (path.empty()) return password;
  const auto text = config::read_file(path, max_file_bytes);
  if (std::holds_alternative<config::FileError>(text)) return CredentialsError{path, 0, "cannot be read"};
  std::istringstream lines(std::get<std::string>(text));
  if (!std::getline(lines, password) || password.empty())
    return CredentialsError{path, 0, "expected a password in the first line"};
  return password;
}

}  // namespace paddlestand::service
