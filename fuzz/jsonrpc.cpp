/// Clients of the platform: any split of the same bytes gives the same messages, and buffers stay bounded.
#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "protocol/jsonrpc/calls.hpp"
#include "protocol/jsonrpc/line_splitter.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;

constexpr std::size_t max_line = 512;
constexpr std::size_t max_chunk = 256;  // bytes that a line splitter may buffer beyond one line

std::vector<ClassSettings> make_classes() {
  std::vector<ClassSettings> classes(2);
  classes[0].name = "report";
  classes[0].deadline = std::chrono::seconds(10);
  classes[1].name = "load";
  classes[1].idempotency = Idempotency::idempotent_with_key;
  classes[1].ordered_by_key = true;
  return classes;
}

/// Describes the message of a line. Fails on a query that can't be executed.
std::string text_of(const jsonrpc::Message& message) {
  if (const auto* query = std::get_if<jsonrpc::Query>(&message)) {
    if (query->statement.empty() || query->client_timeout.count() <= 0 || query->id < 1)
      fuzz::fail("a query without a statement, a timeout or an id");
    return "query " + std::to_string(query->id) + query->statement + query->idempotency_key + "\n";
  }
  if (const auto* problem = std::get_if<jsonrpc::Problem>(&message)) {
    std::string error;
    jsonrpc::put_error(error, problem->id, problem->code, problem->text);
    return error;
  }
  return std::to_string(message.index());
}

std::string run(fuzz::Chunks chunks, std::uint8_t /*seed*/) {
  static const std::vector<ClassSettings> classes = make_classes();
  const jsonrpc::CallReader reader(classes);
  jsonrpc::LineSplitter lines(max_line);
  std::string output;
  while (chunks.has_next()) {
    lines.feed(chunks.next());
    while (const auto line = lines.next()) output += text_of(reader.read(*line));
    if (chunks.is_split() && lines.buffered_bytes() > max_line + max_chunk)
      fuzz::fail("more than one line is buffered");
  }
  return output + (lines.too_long() ? "long" : "");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  return paddlestand::fuzz::check_splits(data, size, run, "splitting the input changed the messages");
}
