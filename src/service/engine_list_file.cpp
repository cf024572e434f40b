#include "engine_list_file.hpp"

#include <sys/stat.h>

#include <string>
#include <utility>
#include <variant>

namespace paddlestand::service {
using Field = observe::LogFieldName;

bool EngineListFile::Version::operator==(const Version& other) const {
  return modified.tv_sec == other.modified.tv_sec && modified.tv_nsec == other.modified.tv_nsec &&
         size == other.size && inode == other.inode;
}

std::optional<EngineListFile::Version> EngineListFile::current_version() const {
  struct stat status {};
  if (::stat(config_.engines_file.c_str(), &status) != 0) return std::nullopt;
  return Version{status.st_mtim, status.st_size, status.st_ino};
}

void EngineListFile::on_missing() {
  if (!is_missing_) {
    log_.warn(observe::LogEvent::engine_list,
              {{Field::file, config_.engines_file}, {Field::reason, "cannot be read"}},
              "the current engine list stays in use");
  }
  is_missing_ = true;
}

std::optional<std::vector<config::ListedEngine>> EngineListFile::read_if_changed() {
  const auto version = current_version();
  if (!version) {
    on_missing();
    return std::nullopt;
  }
  if (*version == last_read_ && !is_missing_) return std::nullopt;
  last_read_ = *version;
  is_missing_ = false;

  auto read = config::read_engine_list(config_.engines_file, config_);
  if (const auto* error = std::get_if<config::ConfigError>(&read)) {
    if (!(*version == last_faulty_)) {
      log_.warn(observe::LogEvent::engine_list, {{Field::reason, error->text()}},
                "the current engine list stays in use; the file is read again at the next poll");
    }
    last_faulty_ = *version;
    last_read_ = {};  // read the same version again: the error may have been transient
    return std::nullopt;
  }
  auto engines = std::get<std::vector<config::ListedEngine>>(std::move(read));
  log_.info(observe::LogEvent::engine_list, {{Field::engines, engines.size()}}, "read");
  return engines;
}

}  // namespace paddlestand::service
