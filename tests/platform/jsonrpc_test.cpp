// The JSON-RPC codec for clients, and base64.
#include <gtest/gtest.h>

#include "protocol/base64.hpp"
#include "protocol/jsonrpc/calls.hpp"
#include "protocol/jsonrpc/line_splitter.hpp"

namespace paddlestand {
namespace {

using namespace std::chrono_literals;
using namespace std::string_literals;

TEST(Base64, IsStrict) {
  EXPECT_EQ(base64("any"), "YW55");
  EXPECT_EQ(base64("an"), "YW4=");
  EXPECT_EQ(from_base64("YW4="), "an");
  EXPECT_EQ(from_base64(""), "");
  for (const char* wrong : {"YW4", "YW4==", " YW4", "YW4\n", "YW!=", "====", "Y===", "YW==YW4="})
    EXPECT_FALSE(from_base64(wrong)) << wrong;
}

std::vector<ClassSettings> classes() {
  std::vector<ClassSettings> all(2);
  all[0].name = "report";
  all[0].deadline = 10s;
  all[1].name = "load";
  all[1].deadline = 10s;
  all[1].idempotency = Idempotency::idempotent_with_key;
  all[1].ordered_by_key = true;
  return all;
}

std::string report(const std::string& id, const std::string& params) {
  return R"({"jsonrpc":"2.0","id":)" + id + R"(,"method":"report","params":{)" + params + "}}";
}
const std::string trace = R"("trace":"9b1f03aa5c7e2d41")", body = R"("content":"U0VMRUNUIDE=")";

TEST(Calls, EquivalentFormsOfAMessageAreReadTheSame) {
  const auto all = classes();
  const jsonrpc::CallReader reader(all);
  const std::string key = R"("trace":"9b1f03aa5c7e2d41","patience":1500,"content":"U0VMRUNUIDE=")";

  for (const std::string& line : std::vector<std::string>{
           report("7", key),
           report("7.0", key),
           report("7e0", key),
           report("70e-1", key),
           report(" 7 ", key),
           "\t { \"params\" : {" + key +
               "} , \"method\" : \"report\" , \"id\" : 7 , \"jsonrpc\" : \"2.0\" } \r",
           R"({"m\u0065thod":"re\u0070ort","id":7,"jsonrpc":"2\u002e0","params":{)" + key + "}}",
           report("7", R"("content":"U0VMRUNUIDE\u003d","patience":1.5e3,"trace":"9b1f03aa5c7e2d\u00341")"),
           report("7", key + R"(,"further":{"a":[1,null,true]})"),
       }) {
    const auto message = reader.read(line);
    const auto* query = std::get_if<jsonrpc::Query>(&message);
    ASSERT_NE(query, nullptr) << line;
    EXPECT_EQ(query->id, 7) << line;
    EXPECT_EQ(query->trace, 0x9b1f03aa5c7e2d41U) << line;
    EXPECT_EQ(query->client_timeout, 1500ms) << line;
    EXPECT_EQ(query->statement, "SELECT 1") << line;
  }
  for (const char* id : {"7.5", "-7", "0", "1e300", "\"7\"", "null", "[7]"})
    EXPECT_TRUE(std::holds_alternative<jsonrpc::Problem>(reader.read(report(id, key)))) << id;
}

TEST(Calls, ATenantIsReadByItsName) {
  const auto all = classes();
  const std::vector<TenantSettings> tenants{{"north-quay", 5}, {"dry-dock-9", 5}};
  const jsonrpc::CallReader reader(all, tenants);
  const std::string key = R"("trace":"9b1f03aa5c7e2d41","patience":1500,"content":"U0VMRUNUIDE=")";
  const auto tenant = [&](const std::string& more) -> std::optional<std::uint32_t> {
    const auto message = reader.read(report("7", key + more));
    const auto* query = std::get_if<jsonrpc::Query>(&message);
    return query == nullptr ? std::nullopt : std::optional(query->tenant);
  };

  EXPECT_EQ(tenant(R"(,"customer":"north-quay")"), 0U);
  EXPECT_EQ(tenant(R"(,"customer":"dry-dock-9")"), 1U);
  EXPECT_EQ(tenant(""), 2U);  // no tenant
  EXPECT_EQ(tenant(R"(,"customer":"nobody")"), std::nullopt);
  EXPECT_EQ(tenant(R"(,"customer":1)"), std::nullopt);
}

TEST(Calls, AQueryIsReadCompletely) {
  const auto all = classes();
  const jsonrpc::CallReader reader(all);
  const auto message = reader.read(
      R"({"jsonrpc":"2.0","id":7,"method":"load","params":{"trace":"9b1f03aa5c7e2d41","patience":1500,"redo":1,)"
      R"("nonce":"5c0f6e1a2b3d4c59a8b7c6d5e4f30211","weight":820.5,"need_mb":96,"entity":"7f3a9c21e0b4d655",)"
      R"("content":"U0VMRUNUIDE="}})");
  const auto* query = std::get_if<jsonrpc::Query>(&message);

  ASSERT_NE(query, nullptr);
  EXPECT_EQ(query->id, 7);
  EXPECT_EQ(query->class_index, 1U);
  EXPECT_EQ(query->trace, 0x9b1f03aa5c7e2d41U);
  EXPECT_EQ(query->client_timeout, 1500ms);
  EXPECT_TRUE(query->repeated);
  EXPECT_EQ(query->idempotency_key, "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
  EXPECT_EQ(query->cost, 820500us);
  EXPECT_EQ(query->memory_mb, 96);
  EXPECT_EQ(query->ordering_key, 0x7f3a9c21e0b4d655U);
  EXPECT_EQ(query->statement, "SELECT 1");
}

const std::string client_timeout = R"(,"patience":100,)";
const std::vector<std::string> malformed_messages{
    "",
    "{",
    "nonsense",
    "\xff\xfe",
    "[]",
    "[" + report("1", trace + client_timeout + body) + "]",
    "7",
    std::string(2000, '['),
    R"({"id":1,"method":"report","params":{}})",
    R"({"jsonrpc":"1.0","id":1,"method":"report","params":{}})",
    R"({"jsonrpc":"2.0","id":1,"params":{}})",
    R"({"jsonrpc":"2.0","id":1,"method":7,"params":{}})",
    R"({"jsonrpc":"2.0","id":1,"method":"settle","params":{}})",
    R"({"jsonrpc":"2.0","id":1,"method":"report"})",
    R"({"jsonrpc":"2.0","id":1,"method":"report","params":[1]})",
    R"({"jsonrpc":"2.0","method":"report","params":{)" + trace + client_timeout + body + "}}",
    report("0", trace + client_timeout + body),
    report("-4", trace + client_timeout + body),
    report("1.5", trace + client_timeout + body),
    report("\"1\"", trace + client_timeout + body),
    report("null", trace + client_timeout + body),
    report("99999999999999999999", trace + client_timeout + body),
    report("1", R"("patience":100,)" + body),
    report("1", R"("trace":"9b1f03aa5c7e2d4")" + client_timeout + body),
    report("1", R"("trace":"9b1f03aa5c7e2d4g")" + client_timeout + body),
    report("1", R"("trace":17)" + client_timeout + body),
    report("1", trace + "," + body),
    report("1", trace + R"(,"patience":0,)" + body),
    report("1", trace + R"(,"patience":-1,)" + body),
    report("1", trace + R"(,"patience":1e300,)" + body),
    report("1", trace + R"(,"patience":1e999,)" + body),
    report("1", trace + R"(,"patience":"100",)" + body),
    report("1", trace + R"(,"patience":99000000000,)" + body),
    report("1", trace + R"(,"redo":7)" + client_timeout + body),
    report("1", trace + R"(,"weight":-3)" + client_timeout + body),
    report("1", trace + R"(,"weight":"much")" + client_timeout + body),
    report("1", trace + R"(,"weight":1e40)" + client_timeout + body),
    report("1", trace + R"(,"weight":NaN)" + client_timeout + body),
    report("1", trace + R"(,"need_mb":-1)" + client_timeout + body),
    report("1", trace + R"(,"need_mb":null)" + client_timeout + body),
    report("1", trace + R"(,"need_mb":1e99)" + client_timeout + body),
    report("1", trace + R"(,"patience":100)"),
    report("1", trace + R"(,"patience":100,"content":"")"),
    report("1", trace + R"(,"patience":100,"content":"###=")"),
    report("1", trace + R"(,"patience":100,"content":"U0VM RUNUIDE=")"),
    report("1", trace + R"(,"patience":100,"content":{})"),
    R"({"jsonrpc":"2.0","id":1,"method":"load","params":{)" + trace + client_timeout + body + "}}",
    R"({"jsonrpc":"2.0","id":1,"method":"load","params":{)" + trace + client_timeout + body +
        R"(,"nonce":"5c,ms=9,6e1a2b3d4c59a8b7c6d5e4f302","entity":"7f3a9c21e0b4d655"}})",
    R"({"jsonrpc":"2.0","id":1,"method":"load","params":{)" + trace + client_timeout + body +
        R"(,"nonce":"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}})",
};

TEST(Calls, AMalformedMessageIsReportedWithItsId) {
  const auto all = classes();
  const jsonrpc::CallReader reader(all);
  for (const std::string& line : malformed_messages)
    EXPECT_TRUE(std::holds_alternative<jsonrpc::Problem>(reader.read(line))) << line.substr(0, 200);
  const auto problem =
      std::get<jsonrpc::Problem>(reader.read(report("12", trace + R"(,"patience":-1,)" + body)));
  EXPECT_EQ(problem.id, 12);
  EXPECT_EQ(problem.code, jsonrpc::ErrorCode::invalid_params);
}

TEST(Calls, LinesAreSplitAtAnyBoundaryAndBounded) {
  const std::string bytes = "one\ntwo\r\n\nthree\nfour";
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    jsonrpc::LineSplitter lines(8);
    std::vector<std::string> found;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      lines.feed(std::string_view(bytes).substr(at, step));
      while (const auto line = lines.next()) found.emplace_back(*line);
    }
    EXPECT_EQ(found, (std::vector<std::string>{"one", "two", "", "three"})) << step;
    EXPECT_TRUE(lines.has_partial_line());
  }
  jsonrpc::LineSplitter lines(8);
  lines.feed("good\n");
  EXPECT_EQ(lines.next(), "good");
  EXPECT_EQ(lines.next(), std::nullopt);
  for (int i = 0; i < 1000; ++i) {
    lines.feed("endless ");
    EXPECT_EQ(lines.next(), std::nullopt);
  }
  EXPECT_TRUE(lines.too_long());

  lines.feed("\nmore\n");
  EXPECT_EQ(lines.next(), std::nullopt);
  EXPECT_EQ(lines.buffered_bytes(), 0U);
}

TEST(Lines, AnUnfinishedLineTakesNoMoreMemoryThanItsLimit) {
  constexpr std::size_t max_bytes = std::size_t{96} * 1024;
  jsonrpc::LineSplitter lines(max_bytes);
  const std::string piece(2000, 'x');
  for (std::size_t bytes = 0; bytes + piece.size() <= max_bytes; bytes += piece.size()) {
    lines.feed(piece);
    EXPECT_EQ(lines.next(), std::nullopt);
    EXPECT_LE(lines.allocated_bytes(), max_bytes);
  }
  const std::string rest = "\n" + std::string(64 * 1024, 'x');
  lines.feed(rest);
  EXPECT_TRUE(lines.next());
  EXPECT_EQ(lines.next(), std::nullopt);
  EXPECT_LE(lines.allocated_bytes(), max_bytes);
  lines.feed("\nab");
  EXPECT_TRUE(lines.next());
  EXPECT_EQ(lines.next(), std::nullopt);
  EXPECT_LE(lines.allocated_bytes(), 16U * 1024);
}

TEST(Calls, AnswersAreOneLineEach) {
  std::string out;
  jsonrpc::put_result(out, 7, "a\tb\tc\n");

  EXPECT_EQ(out, "{\"jsonrpc\":\"2.0\",\"id\":7,\"result\":{\"content\":\"YQliCWMK\"}}\n");

  out.clear();
  jsonrpc::put_error(out, 7, jsonrpc::ErrorCode::rejected, "a \"quote\"\n", 200ms);
  EXPECT_EQ(out,
            "{\"jsonrpc\":\"2.0\",\"id\":7,\"error\":{\"code\":-32001,\"message\":\"a \\\"quote\\\"\\n\","
            "\"data\":{\"pause\":200}}}\n");

  out.clear();
  jsonrpc::put_error(out, std::nullopt, jsonrpc::ErrorCode::parse_error, "x");
  EXPECT_EQ(out, "{\"jsonrpc\":\"2.0\",\"id\":null,\"error\":{\"code\":-32700,\"message\":\"x\"}}\n");
}

}  // namespace
}  // namespace paddlestand
