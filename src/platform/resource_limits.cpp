#include "resource_limits.hpp"

namespace paddlestand::platform {
namespace {

constexpr std::uint32_t default_descriptors = 1024;
constexpr double default_memory_mb = 256;
constexpr double bytes_per_mb = 1048576;
constexpr std::size_t reserved_descriptors = 24;  // for event loop, log, listener and command channel
// The shares of the memory that buffers get.
constexpr double input_share = 1.0 / 6;
constexpr double statement_share = 1.0 / 8;
constexpr double answer_share = 1.0 / 24;
constexpr double unwritten_share = 1.0 / 24;

}  // namespace

ResourceLimits divide_limits(const Limits& granted) {
  const std::size_t descriptors = granted.descriptors > 0 ? granted.descriptors : default_descriptors;
  const std::size_t available =
      descriptors > 2 * reserved_descriptors ? descriptors - reserved_descriptors : descriptors / 2;
  const double memory_mb = granted.memory_mb > 0 ? granted.memory_mb : default_memory_mb;
  ResourceLimits limits;
  limits.max_clients = available / 2;
  limits.max_engine_connections = available - limits.max_clients;
  const auto share_of_memory = [&](double share) {
    return static_cast<std::size_t>(memory_mb * bytes_per_mb * share);
  };
  limits.max_input_bytes = share_of_memory(input_share);
  limits.max_statement_bytes = share_of_memory(statement_share);
  limits.max_answer_bytes = share_of_memory(answer_share);
  limits.max_unwritten_bytes = share_of_memory(unwritten_share);
  return limits;
}

}  // namespace paddlestand::platform
