/// Reads files whose calls may fail for a moment.
#pragma once

#include <string>
#include <variant>

namespace paddlestand::config {

struct FileError {
  int error_number{};  ///< an errno; EFBIG: larger than allowed
  bool transient = false;  ///< the same call may succeed in a moment
};

/// The whole file, of at most so many bytes. Interrupted and short reads go on.
std::variant<std::string, FileError> read_file(const std::string& path, std::size_t max_bytes);

}  // namespace paddlestand::config
