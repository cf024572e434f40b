/// The settings of `paddlestand serve`. This is the only place where the names in schema/manager.xsd are
/// mapped to those of the code. See docs/operators/settings.md.
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

/// An entry of an engine list.
struct ListedEngine {
  EngineEntry entry;  ///< `started` counts from the Unix epoch
  EngineAddress endpoint;
};

/// How clients connect and authenticate.
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

/// The user and database with which the manager logs in to engines.
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
  std::map<std::string, std::uint32_t> zones, kinds;  ///< index by name; used to read engine lists
};

/// Reads a settings file and validates it against the schema and the rules between settings. Returns the
/// first error if it is invalid.
std::variant<ManagerConfig, ConfigError> read_manager_config(const std::string& path);
/// Does the same with a text; `name` takes the place of the file in errors.
std::variant<ManagerConfig, ConfigError> parse_manager_config(std::string_view text, const std::string& name);

/// Reads an engine list from a separate file. Its zones and kinds are those of `config`.
std::variant<std::vector<ListedEngine>, ConfigError> read_engine_list(const std::string& path,
                                                                      const ManagerConfig& config);

/// A setting that can't be changed while the manager runs.
struct FixedSetting {
  enum class Part : std::uint8_t {
    manager_name,
    listen,
    engine_login,
    zones,
    kinds,
    classes,  ///< the number of classes
    one_class,  ///< the class `class_name`
    tenants,
    decisions,
    channel_or_buffer_limits,
    engines_file_name,
  };

  Part part{};
  std::string class_name;  ///< empty unless `part` is one_class

  /// The setting's name for operators, as in the settings file.
  [[nodiscard]] std::string text() const;
};

/// Returns the first setting that differs and can't be changed while the manager runs, or nothing if a reload
/// may proceed.
std::optional<FixedSetting> find_fixed_change(const ManagerConfig& current, const ManagerConfig& updated);

}  // namespace paddlestand::config
