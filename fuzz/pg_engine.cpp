/// The backend side of PostgreSQL's protocol: any split of the same bytes gives the same answer and events.
#include <string>
#include <variant>
#include <vector>

#include "protocol/pg/backend_connection.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;

/// Appends a line for an event. Returns false if the connection can't be used after it.
bool append_event(std::string& output, const pg::BackendEvent& event) {
  if (std::holds_alternative<pg::BackendReady>(event)) {
    output += "ready\n";
  } else if (std::holds_alternative<pg::BackendLoginRejected>(event)) {
    output += "refused\n";
    return false;
  } else if (const auto* error = std::get_if<pg::BackendProtocolError>(&event)) {
    output += "broken " + error->what + "\n";
    return false;
  } else if (const auto* end = std::get_if<pg::BackendAnswerEnd>(&event)) {
    output += "end " + std::to_string(static_cast<int>(end->ending)) + (end->reusable ? "r" : "") +
              std::to_string(end->client_parses_completed) + end->error_code + "\n";
  } else if (const auto* progress = std::get_if<pg::BackendProgress>(&event)) {
    output += "progress " + std::to_string(static_cast<int>(progress->kind)) + "\n";
  }
  return true;
}

std::string run(fuzz::Chunks chunks, std::uint8_t /*seed*/) {
  pg::BackendConnection connection;
  connection.start({"user", "database", "application", "password", "nonce"});
  std::string output;
  std::string answer;
  while (chunks.has_next()) {
    std::vector<pg::BackendEvent> events;
    std::string reply;
    connection.feed(chunks.next(), events, reply);
    output += reply;
    for (const pg::BackendEvent& event : events) {
      // The answer is omitted, because the part read before the event depends on the split.
      if (!append_event(output, event)) return output;
    }
    answer += connection.answer();
    connection.answer().clear();
  }
  return output + "answer " + answer;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  return paddlestand::fuzz::check_splits(data, size, run,
                                         "splitting the input changed the answer or the events");
}
