// Histories: whatever the text, a history that can be played or one problem that names a line.
#include "simulation/explorer/history.hpp"

#include "target.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace paddlestand;
  if (size > 4096) return 0;
  const auto parsed = explorer::parse_history(std::string(fuzz::text_of(data, size)));
  const auto* history = std::get_if<explorer::History>(&parsed);
  if (history == nullptr || history->scope == "walk") return 0;
  const auto played = explorer::play(*explorer::find_scope(history->scope), history->moves);
  if (!played.violations.empty()) fuzz::fail("a history breaks a promise");
  return 0;
}
