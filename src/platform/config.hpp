/// The configuration that the platform passes to a workload manager: environment variables and one JSON file
/// (docs/operators/platform.md).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/types.hpp"
#include "protocol/discovery/events.hpp"

namespace paddlestand::platform {

struct Address {
  std::uint32_t host{};  ///< IPv4
  std::uint16_t port{};
  friend bool operator==(const Address&, const Address&) = default;
};

/// The resource limits of the process; zero if no limit is set.
struct Limits {
  double memory_mb = 0;
  std::uint32_t descriptors = 0;
};

struct PlatformConfig {
  std::string name;
  Address listen;
  Address discovery_endpoint;
  Limits limits;
  core::CoreSettings core;
  std::vector<std::string> report_names;  ///< of the values in load reports; empty if there are no reports
  std::uint32_t streams_per_connection = 1;  ///< on connections to engines
  std::uint64_t cursor = 0;  ///< number of the last known event
  std::vector<discovery::Event> known;  ///< events up to the cursor
};

/// Why a configuration or an address is invalid or could not be read.
struct Problem {
  std::string text;  ///< what is wrong and what is expected
  bool transient = false;  ///< whether the file could not be read for a temporary reason
};

/// Parses a configuration in JSON. Returns the first problem if it is invalid.
std::variant<PlatformConfig, Problem> parse_config(std::string_view text);
/// Reads a configuration file of at most 64 MiB. Returns the first problem if it is invalid.
std::variant<PlatformConfig, Problem> read_config(const std::string& path);
/// Parses an address such as `10.0.0.4:4100`. Port zero is invalid.
std::variant<Address, Problem> parse_address(std::string_view text);
/// Formats an address in the form that parse_address() reads.
std::string text_of(const Address& address);

}  // namespace paddlestand::platform
