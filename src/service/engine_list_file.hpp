/// The file that lists the engines, polled for changes.
#pragma once

#include <sys/types.h>

#include <ctime>
#include <optional>
#include <vector>

#include "config/manager_config.hpp"
#include "observe/log.hpp"

namespace paddlestand::service {

/// Reads the engine list when its file changes, and logs what is wrong with it. Both references must outlive
/// it.
class EngineListFile {
 public:
  EngineListFile(const config::ManagerConfig& config, observe::Log& log) : config_(config), log_(log) {}

  /// The list, where the file has changed since it was last read well. Nothing where it is unchanged, missing
  /// or faulty: the list in use stays. A faulty file is read again at each poll, and its fault logged once.
  std::optional<std::vector<config::ListedEngine>> read_if_changed();

 private:
  /// What changes when the file is written or replaced.
  struct Version {
    timespec modified{};
    off_t size = -1;
    ino_t inode = 0;
    bool operator==(const Version& other) const;
  };

  [[nodiscard]] std::optional<Version> current_version() const;
  void on_missing();

  const config::ManagerConfig& config_;
  observe::Log& log_;
  Version last_read_;
  Version last_faulty_;
  bool is_missing_ = false;
};

}  // namespace paddlestand::service
