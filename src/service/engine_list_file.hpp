/// The file that lists the engines, polled for changes.
#pragma once

#include <sys/types.h>

#include <ctime>
#include <optional>
#include <vector>

#include "config/manager_config.hpp"
#include "observe/log.hpp"

namespace paddlestand::service {

/// Reads the engine list when its file changes, and logs errors in it. Both references must outlive this
/// object.
class EngineListFile {
 public:
  EngineListFile(const config::ManagerConfig& config, observe::Log& log) : config_(config), log_(log) {}

  /// Returns the list if the file has changed since it was last read successfully. Returns nullopt if it is
  /// unchanged, missing or invalid; the current list stays in use. An invalid file is read again at each
  /// poll, and its error is logged once.
  std::optional<std::vector<config::ListedEngine>> read_if_changed();

 private:
  /// File attributes that change when the file is written or replaced.
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
