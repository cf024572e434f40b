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

constexpr int max_retries = 64;  // of one interrupted call

FileError error_of(SystemCall call, int error_number) {
  const CallVerdict verdict = core::verdict_of(call, error_number);
  return {error_number, verdict == CallVerdict::retry_now || verdict == CallVerdict::retry_later};
}

/// Repeats a call that a signal interrupted.
template <typename Call>
auto retry_interrupted(Call call) {
  auto result = call();
  for (int retries = 0; result < 0 && errno == EINTR && retries < max_retries; ++retries) result = call();
  return result;
}

}  // namespace

std::variant<std::string, FileError> read_file(const std::string& path, std::size_t max_bytes) {
  const int file = retry_interrupted([&] { return ::open(path.c_str(), O_RDONLY | O_CLOEXEC); });
  if (file < 0) return error_of(SystemCall::open_file, errno);
  std::string text;
  std::array<char, 65536> buffer{};
  for (;;) {
    const ssize_t received = retry_interrupted([&] { return ::read(file, buffer.data(), buffer.size()); });
    const int error_number = errno;
    if (received > 0) text.append(buffer.data(), static_cast<std::size_t>(received));
    if (received > 0 && text.size() <= max_bytes) continue;
    ::close(file);
    if (received < 0) return error_of(SystemCall::read_file, error_number);
    if (text.size() > max_bytes) return FileError{EFBIG, false};
    return text;
  }
}

}  // namespace paddlestand::config
