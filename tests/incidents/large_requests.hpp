/// Lines of large requests, and their beginnings.
#pragma once

#include <string>

#include "tests/platform/peers.hpp"

namespace paddlestand::platform::test {

/// The given request line of RawClient with a statement of the given size in place of its small one.
inline std::string with_statement(const std::string& line, std::size_t statement_bytes) {
  const std::string statement = "SELECT '" + std::string(statement_bytes, 'x') + "' FROM a_1.b";
  const std::string small_content = base64("SELECT 1 FROM a_1.b");
  const std::size_t at = line.find(small_content);
  return line.substr(0, at) + base64(statement) + line.substr(at + small_content.size());
}

/// A request of a class whose requests are ordered by key.
inline std::string load_line(int id, std::uint64_t trace, std::uint64_t key, std::size_t statement_bytes,
                             int request_timeout_ms = 6000) {
  char more_params[128];
  std::snprintf(more_params, sizeof(more_params), ",\"entity\":\"%016llx\",\"nonce\":\"%032llx\"",
                static_cast<unsigned long long>(key), static_cast<unsigned long long>(trace));
  return with_statement(RawClient::request_line(id, trace, "load", more_params, request_timeout_ms),
                        statement_bytes);
}

/// A request with a statement of the given size.
inline std::string large_request_line(int id, std::uint64_t trace, std::size_t statement_bytes) {
  return with_statement(RawClient::request_line(id, trace), statement_bytes);
}

/// The first bytes of a request that is larger.
inline std::string half_request(std::uint64_t trace, std::size_t bytes) {
  return large_request_line(1, trace, bytes).substr(0, bytes);
}

}  // namespace paddlestand::platform::test
