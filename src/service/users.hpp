/// Files with secrets: the users that may log in, and the password that engines want.
#pragma once

#include <string>
#include <variant>

#include "config/manager_config.hpp"
#include "protocol/pg/frontend_session.hpp"

namespace paddlestand::service {

/// Why a file of users or of a password can't be used.
struct CredentialsError {
  std::string file;
  int line = 0;  ///< 1 for the first; 0 where it is about the file as such
  std::string problem;

  /// As file:line: problem, for standard error.
  [[nodiscard]] std::string text() const;
};

/// Reads the users that may log in. One a line: name, blank, SCRAM-SHA-256 verifier; # begins a comment.
/// Without SCRAM no file is read, and whoever connects is trusted.
std::variant<pg::Users, CredentialsError> read_users(const config::ListenConfig& listen);

/// Reads a password, the first line of the file; an empty one where no file is named.
std::variant<std::string, CredentialsError> read_password(const std::string& path);

}  // namespace paddlestand::service
