// Settings: whatever the text, settings or one fault that names a line.
#include "config/manager_config.hpp"
#include "target.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace paddlestand;
  const auto parsed = config::parse_manager_config(fuzz::text_of(data, size), "fuzz.xml");
  if (const auto* fault = std::get_if<config::Fault>(&parsed))
    if (fault->text().empty()) fuzz::fail("a fault without a text");
  return 0;
}
