#include "config_reloader.hpp"

namespace paddlestand::platform {
namespace {

constexpr auto retry_pause = std::chrono::milliseconds(100);

}  // namespace

ConfigReloader::ConfigReloader(PlatformHost& host, std::string path, OnConfig on_config)
    : host_(host), path_(std::move(path)), on_config_(std::move(on_config)), retry_timer_(host.io()) {}

void ConfigReloader::reload() {
  const auto config = read_config(path_);
  if (const auto* problem = std::get_if<Problem>(&config)) {
    if (!is_failure_logged_) {
      host_.log().error(observe::LogEvent::config_reload, {{observe::LogFieldName::reason, problem->text}},
                        "nothing is changed, it is read again soon");
    }
    is_failure_logged_ = true;
    retry_later();
    return;
  }
  is_failure_logged_ = false;
  on_config_(std::get<PlatformConfig>(config));
}

void ConfigReloader::retry_later() {
  if (is_retry_pending_) return;
  is_retry_pending_ = true;
  retry_timer_.expires_after(retry_pause);
  retry_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    is_retry_pending_ = false;
    if (!host_.is_stopped()) reload();
  });
}

}  // namespace paddlestand::platform
