/// What the platform gives a workload manager at its start: environment variables and one JSON file
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

/// What the process may use; zero: no limit is given.
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
  std::vector<std::string> report_names;  ///< of load reports; empty: answers and probes hold no report
  std::uint32_t streams_per_connection = 1;  ///< to engines
  std::uint64_t cursor = 0;  ///< of the last known event
  std::vector<discovery::Event> known;  ///< events up to the cursor
};

/// Why a configuration or an address could not be read.
struct Problem {
  std::string text;  ///< what was wrong and what is expected
  bool transient = false;  ///< the file could not be read, which may succeed in a moment
};

/// The configuration in a JSON text, or its first problem.
std::variant<PlatformConfig, Problem> parse_config(std::string_view text);
/// The configuration in a file of at most 64 MiB, or its first problem.
std::variant<PlatformConfig, Problem> read_config(const std::string& path);
/// An address as `10.0.0.4:4100`; the port is not zero.
std::variant<Address, Problem> parse_address(std::string_view text);
/// The address as parse_address() reads it.
std::string text_of(const Address& address);

}  // namespace paddlestand::platform
