/// Reads the platform's and the bench's settings, lines of path=value, into the module's Settings: the one
/// place where their keys are mapped to the terms of the code.
#pragma once

#include <cstdint>
#include <optional>
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

/// A line of the settings that can't be read.
struct SettingsError {
  enum class Kind : std::uint8_t {
    missing_equals_sign,
    not_a_number,
    not_a_flag,  ///< neither true nor false
    unknown_choice,  ///< none of the words that the setting allows
    out_of_range,
    count_too_large,
  };

  Kind kind{};
  std::string key;  ///< the setting's path; empty for missing_equals_sign
  std::string value;  ///< as it was read; for missing_equals_sign the line
  std::optional<double> max;  ///< the largest value allowed, for out_of_range and count_too_large

  /// The error in a sentence for operators; long values are cut.
  [[nodiscard]] std::string text() const;
};

/// The settings, or the first error. Unknown keys are skipped.
std::variant<ParsedSettings, SettingsError> parse_settings(std::string_view text);

}  // namespace paddlestand::config
