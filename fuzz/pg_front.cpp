/// The frontend side of PostgreSQL's protocol: any split of the same bytes gives the same requests and
/// replies.
#include "protocol/pg/frontend_session.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;

std::string run(fuzz::Chunks chunks, std::uint8_t seed) {
  const auto users = std::make_shared<pg::Users>();
  users->trust = (seed & 1U) == 0;
  users->mock_secret = "mock";
  pg::FrontendSettings settings;
  settings.max_message = 4096;
  settings.max_batch = 8192;
  settings.max_statements = 4;
  settings.max_statement_bytes = 2048;
  pg::FrontendSession front(settings, users, {7, 9}, "nonce");
  std::string output;
  bool has_ended = false;
  while (!has_ended && chunks.has_next()) {
    front.feed(chunks.next());
    while (auto event = front.next()) {
      if (const auto* request = std::get_if<pg::FrontendRequest>(&*event)) {
        output += "request " + request->text + "\n" + request->query.bytes + "\n";
        // Answered now, well or not, by what was asked.
        if (request->text.size() % 2 == 0) {
          pg::BackendAnswerEnd end;
          end.parses_shown = static_cast<std::uint32_t>(request->query.parse_shown.size());
          front.request_done(end);
        } else {
          front.request_failed({});
        }
      } else if (const auto* cancel = std::get_if<pg::FrontendCancelRequest>(&*event)) {
        output += "cancel " + std::to_string(cancel->key.process) + "\n";
        has_ended = true;
      } else if (const auto* started = std::get_if<pg::FrontendStarted>(&*event)) {
        output += "started " + started->user + "\n";
      } else {
        has_ended = true;
      }
      if (has_ended) break;
    }
  }
  return output + "out " + front.out();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  return paddlestand::fuzz::check_splits(data, size, run,
                                         "a split changed what the front makes of its bytes");
}
