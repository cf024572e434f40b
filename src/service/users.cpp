#include "users.hpp"

#include <openssl/rand.h>

#include <fstream>

namespace paddlestand::service {

std::string read_users(const config::ListenConfig& listen, pg::Users& users) {
  users.trust = !listen.scram;
  users.mock_secret.assign(32, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(users.mock_secret.data()), 32);
  if (!listen.scram) return {};
  std::ifstream file(listen.users_file);
  if (!file) return listen.users_file + ": can't be opened";
  int number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    if (line.empty() || line[0] == '#') continue;
    const auto blank = line.find(' ');
    const auto verifier =
        blank == line.npos ? std::nullopt : pg::Verifier::parse(std::string_view(line).substr(blank + 1));
    const std::string here = listen.users_file + ":" + std::to_string(number) + ": ";
    if (!verifier) return here + "wanted: name, blank, SCRAM-SHA-256$rounds:salt$stored:server";
    if (!users.verifiers.emplace(line.substr(0, blank), *verifier).second)
      return here + "user '" + line.substr(0, blank) + "' comes twice";
  }
  if (users.verifiers.empty()) return listen.users_file + ": names no user; nobody could log in";
  return {};
}

std::string read_secret(const std::string& path, std::string& secret) {
  if (path.empty()) return {};
  std::ifstream file(path);
  if (!std::getline(file, secret) || secret.empty()) return path + ": wanted: a password as its first line";
  return {};
}

}  // namespace paddlestand::service
