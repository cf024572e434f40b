// What the platform tells a workload manager at its start: environment variables and one JSON file.
// docs/operators/platform.md
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
  std::uint32_t host{};  // IPv4
  std::uint16_t port{};
  friend bool operator==(const Address&, const Address&) = default;
};

struct Limits {
  double memory_mb = 0;  // zero: none told
  std::uint32_t descriptors = 0;  // zero: none told
};

struct PlatformConfig {
  std::string name;
  Address listen, discovery_endpoint;
  Limits limits;
  core::CoreSettings core;
  std::vector<std::string> report_names;  // of the load reports; empty where answers and probes hold none
  std::uint32_t streams_per_connection = 1;
  std::uint64_t cursor = 0;  // of the last known event
  std::vector<discovery::Event> known;
};

struct Problem {
  std::string text;  // what was wrong and what was wanted
  bool transient = false;  // reading failed as it may for a moment
};

std::variant<PlatformConfig, Problem> parse_config(std::string_view text);
std::variant<PlatformConfig, Problem> read_config(const std::string& path);
std::variant<Address, Problem> parse_address(std::string_view text);
std::string text_of(const Address& address);

}  // namespace paddlestand::platform
