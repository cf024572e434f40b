// The client's side of PostgreSQL's protocol: any split of the same bytes gives the same requests and
// replies.
#include "protocol/pg/frontend_session.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;

std::string run(std::string_view bytes, std::uint32_t seed, bool whole) {
  const auto users = std::make_shared<pg::Users>();
  users->trust = (seed & 1U) == 0;
  users->mock_secret = "mock";
  pg::FrontendSettings settings;
  settings.most_message = 4096;
  settings.most_batch = 8192;
  settings.most_statements = 4;
  settings.most_statement_bytes = 2048;
  pg::FrontendSession front(settings, users, {7, 9}, "nonce");
  std::string told;
  bool ended = false;
  fuzz::Pieces pieces(bytes, seed);
  bool fed = false;
  while (!ended && (whole ? !fed : pieces.more())) {
    front.feed(whole ? bytes : pieces.next());
    fed = true;
    while (auto event = front.next()) {
      if (const auto* request = std::get_if<pg::FrontendRequest>(&*event)) {
        told += "request " + request->text + "\n" + request->query.bytes + "\n";
        // Answered now, well or not, by what was asked.
        if (request->text.size() % 2 == 0) {
          pg::BackendAnswerEnd end;
          end.parses_shown = static_cast<std::uint32_t>(request->query.parse_shown.size());
          front.request_done(end);
        } else {
          front.request_failed({});
        }
      } else if (const auto* cancel = std::get_if<pg::FrontendCancelRequest>(&*event)) {
        told += "cancel " + std::to_string(cancel->key.process) + "\n";
        ended = true;
      } else if (const auto* started = std::get_if<pg::FrontendStarted>(&*event)) {
        told += "started " + started->user + "\n";
      } else {
        ended = true;
      }
      if (ended) break;
    }
  }
  return told + "out " + front.out();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 1) return 0;
  const std::string_view bytes = paddlestand::fuzz::text_of(data + 1, size - 1);
  if (run(bytes, data[0], true) != run(bytes, data[0], false))
    paddlestand::fuzz::fail("a split changed what the front makes of its bytes");
  return 0;
}
