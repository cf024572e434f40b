/// Reads the platform's and the bench's settings, lines of path=value, into the module's Settings: the one
/// place where their keys are mapped to the terms of the code.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::config {

inline constexpr std::size_t gossip_entry_bytes = 3;  // mark of the engine (2), threads and memory (1)

struct ParsedSettings {
  Settings settings;
  std::vector<std::string> report_names;  ///< the order of the values in a load report
};

/// The settings, or a message on what can't be read. Unknown keys are skipped.
std::variant<ParsedSettings, std::string> parse_settings(std::string_view text);

}  // namespace paddlestand::config
