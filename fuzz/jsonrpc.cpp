// Clients of the platform: any split of the same bytes gives the same messages, and what is kept stays
// bounded.
#include "protocol/jsonrpc/calls.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;

constexpr std::size_t most_line = 512;

std::string run(std::string_view bytes, std::uint32_t seed, bool whole) {
  static const std::vector<ClassSettings> classes = [] {
    std::vector<ClassSettings> all(2);
    all[0].name = "report";
    all[0].deadline = std::chrono::seconds(10);
    all[1].name = "load";
    all[1].repeat = Idempotency::idempotent_with_key;
    all[1].ordered_by_key = true;
    return all;
  }();
  const jsonrpc::CallReader reader(classes);
  jsonrpc::LineCutter lines(most_line);
  std::string told;
  fuzz::Pieces pieces(bytes, seed);
  bool fed = false;
  while (whole ? !fed : pieces.more()) {
    lines.feed(whole ? bytes : pieces.next());
    fed = true;
    while (const auto line = lines.next()) {
      const auto message = reader.read(*line);
      if (const auto* query = std::get_if<jsonrpc::Query>(&message)) {
        if (query->statement.empty() || query->client_timeout.count() <= 0 || query->id < 1)
          fuzz::fail("a query that can't be asked");
        told += "query " + std::to_string(query->id) + query->statement + query->nonce + "\n";
      } else if (const auto* problem = std::get_if<jsonrpc::Problem>(&message)) {
        jsonrpc::put_error(told, problem->id, problem->code, problem->text);
      } else {
        told += std::to_string(message.index());
      }
    }
    if (!whole && lines.kept() > most_line + 256) fuzz::fail("more is kept than a line");
  }
  return told + (lines.too_long() ? "long" : "");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 1) return 0;
  const std::string_view bytes = paddlestand::fuzz::text_of(data + 1, size - 1);
  if (run(bytes, data[0], true) != run(bytes, data[0], false))
    paddlestand::fuzz::fail("a split changed what is made of the lines");
  return 0;
}
