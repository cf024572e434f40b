/// The platform's configuration: any text is a valid configuration, or yields one error with a text.
#include <variant>

#include "platform/config.hpp"
#include "target.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace paddlestand;
  const auto parsed = platform::parse_config(fuzz::text_of(data, size));
  const auto* problem = std::get_if<platform::Problem>(&parsed);
  if (problem != nullptr && problem->text.empty()) fuzz::fail("a problem without a text");
  return 0;
}
