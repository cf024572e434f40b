#include "read_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "core/connection_policy.hpp"

namespace paddlestand::config {
namespace {

using core::CallVerdict;
using core::SystemCall;

constexpr int max_retries = 64;  // of one call in a row

FileError error_of(SystemCall call, int error_number) {
  const CallVerdict verdict = core::verdict_of(call, error_number);
  return {error_number, verdict == CallVerdict::retry_now || verdict == CallVerdict::retry_later};
}

// Makes an interrupted call again.
template <typename Call>
auto uninterrupted(Call call) {
  auto result = call();
  for (int tries = 0; result < 0 && errno == EINTR && tries < max_retries; ++tries) result = call();
  return result;
}

}  // namespace

std::variant<std::string, FileError> read_file(const std::string& path, std::size_t max_bytes) {
  const int file = uninterrupted([&] { return ::open(path.c_str(), O_RDONLY | O_CLOEXEC); });
  if (file < 0) return error_of(SystemCall::open_file, errno);
  std::string text;
  std::array<char, 65536> part{};
  for (;;) {
    const ssize_t got = uninterrupted([&] { return ::read(file, part.data(), part.size()); });
    const int error_number = errno;
    if (got > 0) text.append(part.data(), static_cast<std::size_t>(got));
    if (got > 0 && text.size() <= max_bytes) continue;
    ::close(file);
    if (got < 0) return error_of(SystemCall::read_file, error_number);
    if (text.size() > max_bytes) return FileError{EFBIG, false};
    return text;
  }
}

}  // namespace paddlestand::config
