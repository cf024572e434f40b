// The settings of a workload manager, typed. See schema/manager.xsd and docs/operators/settings.md.
#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/classify.hpp"
#include "core/types.hpp"
#include "observe/log_config.hpp"
#include "xml.hpp"

namespace paddlestand::config {

struct EngineAddress {
  std::string name, address;
  std::uint16_t port{};
  friend bool operator==(const EngineAddress&, const EngineAddress&) = default;
};

struct ListedEngine {
  EngineEntry entry;  // `started` counts from 1970
  EngineAddress at;
};

struct ListenConfig {
  std::string address;
  std::uint16_t port{};
  bool scram = false;
  std::string users_file;
  std::uint32_t most_sessions{};
  Duration login_time{}, write_stall{};
  std::size_t most_message{};
  friend bool operator==(const ListenConfig&, const ListenConfig&) = default;
};

struct EngineLogin {
  std::string user, database, password_file;
  friend bool operator==(const EngineLogin&, const EngineLogin&) = default;
};

struct ManagerConfig {
  std::string name;
  ListenConfig listen;
  EngineLogin login;
  core::CoreSettings core;
  core::ClassifierSettings classifier;
  std::vector<ListedEngine> engines;
  std::string engines_file;  // absolute, or empty
  Duration engines_poll{};
  observe::LogConfig log;
  Duration leave_grace = std::chrono::seconds(5);
  std::map<std::string, std::uint32_t> zones, kinds;  // by name: needed to read an engine list
};

std::variant<ManagerConfig, Fault> read_manager_config(const std::string& path);
std::variant<ManagerConfig, Fault> parse_manager_config(std::string_view text, const std::string& name);

// An engine list in a file of its own, by the names of the settings that it belongs to.
std::variant<std::vector<ListedEngine>, Fault> read_engine_list(const std::string& path,
                                                                const ManagerConfig& config);

// What differs and can't be changed while the manager runs; empty where a reload may go on.
std::string not_reloadable(const ManagerConfig& old, const ManagerConfig& fresh);

}  // namespace paddlestand::config
