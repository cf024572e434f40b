/// The backend side of PostgreSQL's protocol: any split of the same bytes gives the same answer, ends and
/// progress.
#include "protocol/pg/backend_connection.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;

std::string run(fuzz::Chunks chunks, std::uint8_t) {
  pg::BackendConnection channel;
  channel.start({"user", "database", "application", "password", "nonce"});
  pg::EngineQuery query;
  pg::put_query(query.bytes, "select 1");
  query.parse_shown = {true, false};
  std::string output;
  std::string answer;
  bool has_ended = false;
  while (!has_ended && chunks.has_next()) {
    std::vector<pg::BackendEvent> events;
    std::string reply;
    channel.feed(chunks.next(), events, reply);
    output += reply;
    for (const pg::BackendEvent& event : events) {
      if (std::holds_alternative<pg::BackendReady>(event)) {
        output += "ready\n";
      } else if (std::holds_alternative<pg::BackendRefused>(event)) {
        output += "refused\n";
        has_ended = true;
      } else if (const auto* broken = std::get_if<pg::BackendBroken>(&event)) {
        output += "broken " + broken->what + "\n";
        has_ended = true;
      } else if (const auto* end = std::get_if<pg::BackendAnswerEnd>(&event)) {
        output += "end " + std::to_string(static_cast<int>(end->ending)) + (end->reusable ? "r" : "") +
                  std::to_string(end->parses_shown) + end->error_code + "\n";
      } else if (const auto* note = std::get_if<pg::BackendProgress>(&event)) {
        output += "note " + std::to_string(static_cast<int>(note->kind)) + "\n";
      }
      if (has_ended) break;
    }
    answer += channel.answer();
    channel.answer().clear();
  }
  // Of a link that is given up, how much of the answer was seen before hangs on the split.
  return has_ended ? output : output + "answer " + answer;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  return paddlestand::fuzz::check_splits(data, size, run, "a split changed what the link makes of its bytes");
}
