/// Reloads the configuration file at run time.
#pragma once

#include <functional>
#include <string>

#include "config.hpp"
#include "platform_host.hpp"
#include "service/reload_retry.hpp"

namespace paddlestand::platform {

/// Reads the file on each reload(). On failure, retries after a pause until it succeeds.
class ConfigReloader {
 public:
  using OnConfig = std::function<void(const PlatformConfig&)>;

  /// `on_config` receives each configuration read. `host` must outlive this object.
  ConfigReloader(PlatformHost& host, std::string path, OnConfig on_config);

  void reload();

 private:
  PlatformHost& host_;
  std::string path_;
  OnConfig on_config_;
  service::ReloadRetry retry_;
};

}  // namespace paddlestand::platform
