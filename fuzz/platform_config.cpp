// The platform's configuration: whatever is in the file, it is taken whole or refused with one problem.
#include "platform/config.hpp"
#include "target.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto read = paddlestand::platform::parse_config(paddlestand::fuzz::text_of(data, size));
  const auto* problem = std::get_if<paddlestand::platform::Problem>(&read);
  if (problem != nullptr && problem->text.empty()) paddlestand::fuzz::fail("a problem that says nothing");
  return 0;
}
