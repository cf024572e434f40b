/// History files: any text is a history that can be replayed without a violation, or yields one error with a
/// line number.
#include "simulation/explorer/history.hpp"

#include "simulation/explorer/replay.hpp"
#include "target.hpp"

constexpr std::size_t max_history_bytes = 4096;  // longer histories take too long to replay

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace paddlestand;
  if (size > max_history_bytes) return 0;
  const auto parsed = explorer::parse_history(std::string(fuzz::text_of(data, size)));
  const auto* history = std::get_if<explorer::History>(&parsed);
  if (history == nullptr || history->scope == "walk") return 0;
  const auto result = explorer::replay(*explorer::find_scope(history->scope), history->moves);
  if (!result.violations.empty()) fuzz::fail("a history violates an invariant");
  return 0;
}
