/// Reads files with secrets: the users that may log in, and the password for engines.
#pragma once

#include <string>
#include <variant>

#include "config/manager_config.hpp"
#include "protocol/pg/frontend_session.hpp"

namespace paddlestand::service {

/// Why a file of users or a password file can't be used.
struct CredentialsError {
  std::string file;
  int line = 0;  ///< counted from 1; 0 if the error concerns the whole file
  std::string problem;

  /// Formatted as "file:line: problem", for standard error.
  [[nodiscard]] std::string text() const;
};

/// Reads the users that may log in. Each line holds a name, a space and a SCRAM-SHA-256 verifier; # begins a
/// comment. Without SCRAM no file is read, and every client is trusted.
std::variant<pg::Users, CredentialsError> read_users(const config::ListenConfig& listen);

/// Reads a password from the first line of a file. Returns an empty one if `path` is empty.
std::variant<std::string, CredentialsError> read_password(const std::string& path);

}  // namespace paddlestand::service
