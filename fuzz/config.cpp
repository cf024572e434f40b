/// Settings files: any text is valid settings, or yields one error with a text.
#include "config/manager_config.hpp"
#include "target.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace paddlestand;
  const auto parsed = config::parse_manager_config(fuzz::text_of(data, size), "fuzz.xml");
  fuzz::check_error_has_text<config::ConfigError>(parsed);
  return 0;
}
