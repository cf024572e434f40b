#include "run_addresses.hpp"

#include <unistd.h>

namespace paddlestand::faults {
namespace {

constexpr std::uint16_t engine_port = 5100;
constexpr std::uint16_t discovery_port = 2379;
// The last octet of the first address of each kind.
constexpr std::uint32_t managers_octet = 1;
constexpr std::uint32_t engines_octet = 100;
constexpr std::uint32_t discovery_octet = 250;

/// 127.x.y.`last_octet`, where x and y are derived from the process id.
Endpoint address_of(std::uint32_t last_octet, std::uint16_t port) {
  const auto process = static_cast<std::uint32_t>(::getpid());
  const std::uint32_t second_octet = 16 + (process >> 8U) % 100;
  const std::uint32_t third_octet = process & 255U;
  return {(127U << 24U) | (second_octet << 16U) | (third_octet << 8U) | last_octet, port};
}

}  // namespace

Endpoint manager_address(std::uint32_t number) { return address_of(managers_octet + number, manager_port); }

Endpoint engine_address(std::uint32_t number) { return address_of(engines_octet + number, engine_port); }

Endpoint first_discovery_address() { return address_of(discovery_octet, discovery_port); }

Endpoint second_discovery_address() { return address_of(discovery_octet + 1, discovery_port); }

}  // namespace paddlestand::faults
