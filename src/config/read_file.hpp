/// Reads files and tells transient errors from permanent ones.
#pragma once

#include <string>
#include <variant>

namespace paddlestand::config {

struct FileError {
  int error_number{};  ///< an errno; EFBIG if the file is larger than allowed
  bool transient = false;  ///< a retry may succeed
};

/// Reads a file of at most `max_bytes`. Interrupted calls are repeated, short reads are continued.
std::variant<std::string, FileError> read_file(const std::string& path, std::size_t max_bytes);

}  // namespace paddlestand::config
