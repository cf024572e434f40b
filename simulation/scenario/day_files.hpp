/// The files that a day's run writes for its managers: their configurations and the engine list.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "scenario.hpp"

namespace paddlestand::simulation {

/// Name of the engine list's file in the day's folder.
inline constexpr std::string_view engine_list_file = "engines.xml";

/// Numbers in names start at 1, indexes at 0.
[[nodiscard]] std::string engine_name(std::uint32_t index);
[[nodiscard]] std::string manager_name(std::uint32_t index);

/// An engine's state in the engine list.
enum class ListedState : std::uint8_t { ready, draining, removed };
/// The state's name in the list and in the log of events.
[[nodiscard]] std::string_view name_of(ListedState state);

/// An engine's entry in the list.
struct ListedEngine {
  std::uint16_t port = 0;  ///< zero: not known yet; the engine is not listed
  ListedState state = ListedState::ready;
  double started = 0;  ///< seconds since 1970; zero: unknown; the time is not listed
};

/// The configuration of the manager `index`, an XML document (schema/manager.xsd). `port`: the port to listen
/// on; zero: any.
[[nodiscard]] std::string manager_configuration(const Day& day, std::uint32_t index, std::uint16_t port);

/// The engine list, an XML document. `engines`: by index.
[[nodiscard]] std::string engine_list(const Day& day, const std::vector<ListedEngine>& engines);

/// Replaces the file atomically: readers see the old text or the new one. Throws std::runtime_error.
void replace_file(const std::string& path, const std::string& text);

}  // namespace paddlestand::simulation
