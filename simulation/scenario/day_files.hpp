/// The files that a day writes for its managers: their configurations and the list of engines.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "scenario.hpp"

namespace paddlestand::simulation {

/// In the day's folder.
inline constexpr std::string_view engine_list_file = "engines.xml";

/// Names count from 1, indexes from 0.
[[nodiscard]] std::string engine_name(std::uint32_t index);
[[nodiscard]] std::string manager_name(std::uint32_t index);

/// An engine's state in the list that managers read.
enum class ListedState : std::uint8_t { ready, draining, removed };
/// The state's name in the list and in the log of events.
[[nodiscard]] std::string_view name_of(ListedState state);

/// An engine's entry in the list.
struct ListedEngine {
  std::uint16_t port = 0;  ///< zero: not known yet, and not listed
  ListedState state = ListedState::ready;
  double started = 0;  ///< seconds since 1970; zero: unknown, and not listed
};

/// The configuration of the manager `index`, an XML document (schema/manager.xsd). `port`: to listen on;
/// zero: any.
[[nodiscard]] std::string manager_configuration(const Day& day, std::uint32_t index, std::uint16_t port);

/// The list of engines, an XML document. `engines`: by index.
[[nodiscard]] std::string engine_list(const Day& day, const std::vector<ListedEngine>& engines);

/// Replaces the file at once: readers see the old text or the new one. Throws std::runtime_error.
void replace_file(const std::string& path, const std::string& text);

}  // namespace paddlestand::simulation
