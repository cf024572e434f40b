// The engine's side: any split of the same bytes gives the same answer, ends and notes.
#include "protocol/pg/backend_connection.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;

std::string run(std::string_view bytes, std::uint32_t seed, bool whole) {
  pg::BackendConnection channel;
  channel.start({"user", "database", "application", "password", "nonce"});
  pg::EngineQuery query;
  pg::put_query(query.bytes, "select 1");
  query.parse_shown = {true, false};
  std::string told, answer;
  fuzz::Pieces pieces(bytes, seed);
  bool fed = false, over = false;
  while (!over && (whole ? !fed : pieces.more())) {
    std::vector<pg::BackendEvent> events;
    std::string reply;
    channel.feed(whole ? bytes : pieces.next(), events, reply);
    fed = true;
    told += reply;
    for (const pg::BackendEvent& event : events) {
      if (std::holds_alternative<pg::BackendReady>(event)) {
        told += "ready\n";
      } else if (std::holds_alternative<pg::BackendRefused>(event)) {
        told += "refused\n";
        over = true;
      } else if (const auto* broken = std::get_if<pg::BackendBroken>(&event)) {
        told += "broken " + broken->what + "\n";
        over = true;
      } else if (const auto* end = std::get_if<pg::BackendAnswerEnd>(&event)) {
        told += "end " + std::to_string(static_cast<int>(end->ending)) + (end->reusable ? "r" : "") +
                std::to_string(end->parses_shown) + end->error_code + "\n";
      } else if (const auto* note = std::get_if<pg::BackendProgress>(&event)) {
        told += "note " + std::to_string(static_cast<int>(note->kind)) + "\n";
      }
      if (over) break;
    }
    answer += channel.answer();
    channel.answer().clear();
  }
  // Of a link that is given up, how much of the answer was seen before hangs on the split.
  return over ? told : told + "answer " + answer;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 1) return 0;
  const std::string_view bytes = paddlestand::fuzz::text_of(data + 1, size - 1);
  if (run(bytes, data[0], true) != run(bytes, data[0], false))
    paddlestand::fuzz::fail("a split changed what the link makes of its bytes");
  return 0;
}
