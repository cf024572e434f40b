/// The settings of `paddlestand serve`, typed: the one place where the words of schema/manager.xsd are mapped
/// to the terms of the code. See docs/operators/settings.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/classify.hpp"
#include "core/types.hpp"
#include "observe/log_config.hpp"
#include "xml.hpp"

namespace paddlestand::config {

/// Where an engine listens.
struct EngineAddress {
  std::string name, address;
  std::uint16_t port{};
  friend bool operator==(const EngineAddress&, const EngineAddress&) = default;
};

/// An engine of the list.
struct ListedEngine {
  EngineEntry entry;  ///< `started` counts from 1970
  EngineAddress at;
};

/// How clients are accepted.
struct ListenConfig {
  std::string address;
  std::uint16_t port{};
  bool scram = false;
  std::string users_file;
  std::uint32_t max_sessions{};
  Duration login_time{}, write_stall{};
  std::size_t max_message{};
  friend bool operator==(const ListenConfig&, const ListenConfig&) = default;
};

/// With what name the manager logs in at engines.
struct EngineLogin {
  std::string user, database, password_file;
  friend bool operator==(const EngineLogin&, const EngineLogin&) = default;
};

/// All settings of one manager.
struct ManagerConfig {
  std::string name;
  ListenConfig listen;
  EngineLogin login;
  core::CoreSettings core;
  core::ClassifierSettings classifier;
  std::vector<ListedEngine> engines;
  std::string engines_file;  ///< absolute, or empty
  Duration engines_poll{};
  observe::LogConfig log;
  Duration shutdown_grace_period = std::chrono::seconds(5);
  std::map<std::string, std::uint32_t> zones, kinds;  ///< index by name: needed to read an engine list
};

/// Reads a settings file and checks it against the schema and itself; the first fault where there is one.
std::variant<ManagerConfig, Fault> read_manager_config(const std::string& path);
/// The same of a text; `name` stands for the file in faults.
std::variant<ManagerConfig, Fault> parse_manager_config(std::string_view text, const std::string& name);

/// Reads an engine list in a file of its own, by the zones and kinds of the settings that it belongs to.
std::variant<std::vector<ListedEngine>, Fault> read_engine_list(const std::string& path,
                                                                const ManagerConfig& config);

/// A setting that can't be changed while the manager runs.
struct FixedSetting {
  enum class Part : std::uint8_t {
    manager_name,
    listen,
    engine_login,
    zones,
    kinds,
    classes,  ///< their number
    one_class,  ///< of `class_name`
    tenants,
    decisions,
    channel_or_buffer_limits,
    engines_file_name,
  };

  Part part{};
  std::string class_name;  ///< empty unless `part` is one_class

  /// The setting's name for operators, in the words of the settings file.
  [[nodiscard]] std::string text() const;
};

/// The first setting that differs and can't be changed while the manager runs; none where a reload may
/// proceed.
std::optional<FixedSetting> find_fixed_change(const ManagerConfig& current, const ManagerConfig& fresh);

}  // namespace paddlestand::config
