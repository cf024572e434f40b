/// Engine lists: any file is a valid list, or yields one error with a text.
#include "config/manager_config.hpp"
#include "target.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace paddlestand;
  config::ManagerConfig config;
  config.zones = {{"north", 0}, {"south", 1}};
  config.kinds = {{"std", 0}};
  config.core.module.kinds = {{8, 16384}};
  const auto read = config::read_engine_list(fuzz::as_file(fuzz::text_of(data, size)), config);
  fuzz::check_error_has_text<config::ConfigError>(read);
  return 0;
}
