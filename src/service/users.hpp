// Files with secrets: the users that may log in, and the password that engines want.
#pragma once

#include <string>

#include "config/manager_config.hpp"
#include "protocol/pg/frontend_session.hpp"

namespace paddlestand::service {

// One user a line: name, blank, SCRAM-SHA-256 verifier; # begins a comment. What is wrong, or nothing.
std::string read_users(const config::ListenConfig& listen, pg::Users& users);

// The first line of the file; nothing where no file is named.
std::string read_secret(const std::string& path, std::string& secret);

}  // namespace paddlestand::service
