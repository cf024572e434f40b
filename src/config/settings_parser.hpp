/// Reads the settings of the platform and of the simulator, lines of path=value, into the module's Settings.
/// This is the only place where their keys are mapped to the names of the code.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::config {

inline constexpr std::size_t gossip_entry_bytes = 3;  // short id of the engine (2), threads and memory (1)

struct ParsedSettings {
  Settings settings;
  std::vector<std::string> report_names;  ///< names of a load report's values, in their order
};

/// An invalid line of the settings.
struct SettingsError {
  enum class Kind : std::uint8_t {
    missing_equals_sign,
    not_a_number,
    not_a_flag,  ///< neither true nor false
    unknown_choice,  ///< not one of the values that the setting allows
    out_of_range,
    count_too_large,
  };

  Kind kind{};
  std::string key;  ///< the setting's path; empty for missing_equals_sign
  std::string value;  ///< as in the text; for missing_equals_sign the line
  std::optional<double> max;  ///< the largest value allowed, for out_of_range and count_too_large

  /// The error text for operators; long values are truncated.
  [[nodiscard]] std::string text() const;
};

/// Parses settings. Returns the first error if there is one. Unknown keys are ignored.
std::variant<ParsedSettings, SettingsError> parse_settings(std::string_view text);

}  // namespace paddlestand::config
