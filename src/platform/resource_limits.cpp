#include "resource_limits.hpp"

namespace paddlestand::platform {
namespace {

constexpr std::uint32_t default_descriptors = 1024;
constexpr double default_memory_mb = 256;
constexpr double bytes_per_mb = 1048576;
constexpr std::size_t reserved_descriptors = 24;  // for event loop, log, listener and command channel
constexpr std::size_t buffer_divisor = 8;  // buffers get 1/8 of the memory

}  // namespace

ResourceLimits divide_limits(const Limits& granted) {
  const std::size_t descriptors = granted.descriptors > 0 ? granted.descriptors : default_descriptors;
  const std::size_t available =
      descriptors > 2 * reserved_descriptors ? descriptors - reserved_descriptors : descriptors / 2;
  const double memory_mb = granted.memory_mb > 0 ? granted.memory_mb : default_memory_mb;
  ResourceLimits limits;
  limits.max_clients = available / 2;
  limits.max_engine_connections = available - limits.max_clients;
  limits.max_buffered_bytes = static_cast<std::size_t>(memory_mb * bytes_per_mb / buffer_divisor);
  return limits;
}

}  // namespace paddlestand::platform
