#include "config_reloader.hpp"

#include <limits>

namespace paddlestand::platform {
namespace {

// The configuration holds the address of the discovery channel, so reading it is retried without limit.
constexpr service::ReloadRetry::Limits retry_limits{std::chrono::milliseconds(100),
                                                    std::numeric_limits<int>::max()};

}  // namespace

ConfigReloader::ConfigReloader(PlatformHost& host, std::string path, OnConfig on_config)
    : host_(host),
      path_(std::move(path)),
      on_config_(std::move(on_config)),
      retry_(host.io(), retry_limits, [this] {
        if (!host_.is_stopped()) reload();
      }) {}

void ConfigReloader::reload() {
  const auto config = read_config(path_);
  if (const auto* problem = std::get_if<Problem>(&config)) {
    if (!retry_.is_retrying()) {
      host_.log().error(observe::LogEvent::config_reload, {{observe::LogFieldName::reason, problem->text}},
                        "configuration unchanged; retrying");
    }
    retry_.on_failure();
    return;
  }
  retry_.on_success();
  on_config_(std::get<PlatformConfig>(config));
}

}  // namespace paddlestand::platform
