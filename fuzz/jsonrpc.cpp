/// Clients of the platform: any split of the same bytes gives the same messages, and buffers stay bounded.
#include "protocol/jsonrpc/calls.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;

constexpr std::size_t max_line = 512;

std::string run(fuzz::Chunks chunks, std::uint8_t) {
  static const std::vector<ClassSettings> classes = [] {
    std::vector<ClassSettings> all(2);
    all[0].name = "report";
    all[0].deadline = std::chrono::seconds(10);
    all[1].name = "load";
    all[1].idempotency = Idempotency::idempotent_with_key;
    all[1].ordered_by_key = true;
    return all;
  }();
  const jsonrpc::CallReader reader(classes);
  jsonrpc::LineCutter lines(max_line);
  std::string output;
  while (chunks.has_next()) {
    lines.feed(chunks.next());
    while (const auto line = lines.next()) {
      const auto message = reader.read(*line);
      if (const auto* query = std::get_if<jsonrpc::Query>(&message)) {
        if (query->statement.empty() || query->client_timeout.count() <= 0 || query->id < 1)
          fuzz::fail("a query that can't be asked");
        output += "query " + std::to_string(query->id) + query->statement + query->idempotency_key + "\n";
      } else if (const auto* problem = std::get_if<jsonrpc::Problem>(&message)) {
        jsonrpc::put_error(output, problem->id, problem->code, problem->text);
      } else {
        output += std::to_string(message.index());
      }
    }
    if (chunks.is_split() && lines.buffered_bytes() > max_line + 256) fuzz::fail("more is kept than a line");
  }
  return output + (lines.too_long() ? "long" : "");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  return paddlestand::fuzz::check_splits(data, size, run, "a split changed what is made of the lines");
}
