/// The frontend side of PostgreSQL's protocol: any split of the same bytes gives the same requests and
/// replies.
#include <memory>
#include <string>
#include <variant>

#include "protocol/pg/frontend_session.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;

pg::FrontendSession make_session(bool trusts_users) {
  const auto users = std::make_shared<pg::Users>();
  users->trust = trusts_users;
  users->mock_secret = "mock";
  pg::FrontendSettings settings;
  settings.max_message = 4096;
  settings.max_batch = 8192;
  settings.max_statements = 4;
  settings.max_statement_bytes = 2048;
  return {settings, users, {7, 9}, "nonce"};
}

/// Answers a request immediately: with an error if the length of its text is odd, otherwise with success.
void answer_request(pg::FrontendSession& session, const pg::FrontendRequest& request) {
  if (request.text.size() % 2 != 0) {
    session.request_failed({});
    return;
  }
  pg::BackendAnswerEnd end;
  end.client_parses_completed = static_cast<std::uint32_t>(request.query.parse_from_client.size());
  session.request_done(end);
}

/// Appends a line for an event and answers a request. Returns false if the session has ended.
bool process_event(std::string& output, pg::FrontendSession& session, const pg::FrontendEvent& event) {
  if (const auto* request = std::get_if<pg::FrontendRequest>(&event)) {
    output += "request " + request->text + "\n" + request->query.bytes + "\n";
    answer_request(session, *request);
    return true;
  }
  if (const auto* cancel = std::get_if<pg::FrontendCancelRequest>(&event)) {
    output += "cancel " + std::to_string(cancel->key.process) + "\n";
    return false;
  }
  if (const auto* started = std::get_if<pg::FrontendStarted>(&event)) {
    output += "started " + started->user + "\n";
    return true;
  }
  return false;
}

/// The seed's lowest bit selects whether users are trusted or have to authenticate.
std::string run(fuzz::Chunks chunks, std::uint8_t seed) {
  pg::FrontendSession session = make_session((seed & 1U) == 0);
  std::string output;
  bool has_ended = false;
  while (!has_ended && chunks.has_next()) {
    session.feed(chunks.next());
    while (!has_ended) {
      const auto event = session.next();
      if (!event) break;
      has_ended = !process_event(output, session, *event);
    }
  }
  return output + "out " + session.out();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  return paddlestand::fuzz::check_splits(data, size, run,
                                         "splitting the input changed the requests or the replies");
}
