/// Reading the configuration file again at run time.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "config.hpp"
#include "platform_host.hpp"

namespace paddlestand::platform {

/// Reads the file at each reload(); where that fails, again after a pause, until it succeeds. Owns the timer
/// of the pause.
class ConfigReloader {
 public:
  using OnConfig = std::function<void(const PlatformConfig&)>;

  /// `on_config` gets each configuration that was read. `host` must outlive this.
  ConfigReloader(PlatformHost& host, std::string path, OnConfig on_config);

  void reload();

 private:
  void retry_later();

  PlatformHost& host_;
  std::string path_;
  OnConfig on_config_;
  boost::asio::steady_timer retry_timer_;
  bool is_retry_pending_ = false;
  bool is_failure_logged_ = false;  // the first of a series is
};

}  // namespace paddlestand::platform
