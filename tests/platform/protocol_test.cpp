// The codecs of the platform, byte by byte, and what is made of them without a socket.
#include <gtest/gtest.h>

#include "platform/config.hpp"
#include "platform/endpoint_list.hpp"
#include "platform/paged_answer.hpp"
#include "protocol/base64.hpp"
#include "protocol/discovery/events.hpp"
#include "protocol/engine_frames/frames.hpp"
#include "protocol/jsonrpc/calls.hpp"
#include "protocol/sql/tables.hpp"

namespace paddlestand {
namespace {

using namespace std::chrono_literals;
using namespace std::string_literals;

// ---- Base64 ----

TEST(Base64, IsStrict) {
  EXPECT_EQ(base64("any"), "YW55");
  EXPECT_EQ(base64("an"), "YW4=");
  EXPECT_EQ(from_base64("YW4="), "an");
  EXPECT_EQ(from_base64(""), "");
  for (const char* wrong : {"YW4", "YW4==", " YW4", "YW4\n", "YW!=", "====", "Y===",
                            "YW=="
                            "YW4="})
    EXPECT_FALSE(from_base64(wrong)) << wrong;
}

// ---- JSON-RPC ----

std::vector<ClassSettings> classes() {
  std::vector<ClassSettings> all(2);
  all[0].name = "report";
  all[0].deadline = 10s;
  all[1].name = "load";
  all[1].deadline = 10s;
  all[1].repeat = Idempotency::idempotent_with_key;
  all[1].ordered_by_key = true;
  return all;
}

std::string report(const std::string& id, const std::string& params) {
  return R"({"jsonrpc":"2.0","id":)" + id + R"(,"method":"report","params":{)" + params + "}}";
}
const std::string trace = R"("trace":"9b1f03aa5c7e2d41")", body = R"("content":"U0VMRUNUIDE=")";

TEST(Calls, EveryFormOfOneMessageIsReadAlike) {
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
  EXPECT_EQ(tenant(""), 2U);  // none
  EXPECT_EQ(tenant(R"(,"customer":"nobody")"), std::nullopt);
  EXPECT_EQ(tenant(R"(,"customer":1)"), std::nullopt);
}

TEST(Calls, AQueryIsReadWhole) {
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
  EXPECT_EQ(query->nonce, "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
  EXPECT_EQ(query->cost, 820500us);
  EXPECT_EQ(query->memory_mb, 96);
  EXPECT_EQ(query->ordering_key, 0x7f3a9c21e0b4d655U);
  EXPECT_EQ(query->statement, "SELECT 1");
}

TEST(Calls, WhatIsNotWellFormedIsAProblemUnderItsNumber) {
  const auto all = classes();
  const jsonrpc::CallReader reader(all);
  const std::string client_timeout = R"(,"patience":100,)";
  const std::vector<std::string> wrong{
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
  for (const std::string& line : wrong)
    EXPECT_TRUE(std::holds_alternative<jsonrpc::Problem>(reader.read(line))) << line.substr(0, 200);
  const auto under =
      std::get<jsonrpc::Problem>(reader.read(report("12", trace + R"(,"patience":-1,)" + body)));
  EXPECT_EQ(under.id, 12);
  EXPECT_EQ(under.code, jsonrpc::Code::invalid_params);
}

TEST(Calls, LinesAreCutAtAnySplitAndBounded) {
  const std::string bytes = "one\ntwo\r\n\nthree\nfour";
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    jsonrpc::LineCutter lines(8);
    std::vector<std::string> found;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      lines.feed(std::string_view(bytes).substr(at, step));
      while (const auto line = lines.next()) found.emplace_back(*line);
    }
    EXPECT_EQ(found, (std::vector<std::string>{"one", "two", "", "three"})) << step;
    EXPECT_TRUE(lines.inside());
  }
  jsonrpc::LineCutter lines(8);
  lines.feed("good\n");
  for (int i = 0; i < 1000; ++i) lines.feed("endless ");
  EXPECT_EQ(lines.next(), "good");
  EXPECT_EQ(lines.next(), std::nullopt);
  EXPECT_TRUE(lines.too_long());
  lines.feed("\nmore\n");
  EXPECT_EQ(lines.next(), std::nullopt);
  EXPECT_EQ(lines.kept(), 0U);
}

TEST(Calls, AnswersAreOneLineEach) {
  std::string out;
  jsonrpc::put_result(out, 7, "a\tb\tc\n");
  EXPECT_EQ(out, "{\"jsonrpc\":\"2.0\",\"id\":7,\"result\":{\"content\":\"YQliCWMK\"}}\n");
  out.clear();
  jsonrpc::put_error(out, 7, jsonrpc::Code::refused, "a \"quote\"\n", 200ms);
  EXPECT_EQ(out,
            "{\"jsonrpc\":\"2.0\",\"id\":7,\"error\":{\"code\":-32001,\"message\":\"a \\\"quote\\\"\\n\","
            "\"data\":{\"pause\":200}}}\n");
  out.clear();
  jsonrpc::put_error(out, std::nullopt, jsonrpc::Code::parse_error, "x");
  EXPECT_EQ(out, "{\"jsonrpc\":\"2.0\",\"id\":null,\"error\":{\"code\":-32700,\"message\":\"x\"}}\n");
}

// ---- Engine frames ----

using engine_frames::Side;

TEST(Frames, ARequestByteByByte) {
  std::string out;
  engine_frames::Request request;
  request.id = 0x0102030405060708;
  request.class_name = "load";
  request.token = "ab12";
  request.statement = "SQL";
  request.wait = 1500us;
  request.memory_mb = 95.2;
  request.rank = 3;
  engine_frames::put_request(out, request);
  const std::string fields = "kind=load,ms=2,token=ab12,grant=96,rank=3";
  ASSERT_EQ(out.size(), 16 + fields.size() + 3 + 4);
  EXPECT_EQ(out.substr(0, 16), "\x80\x01\x00\x29\x00\x00\x00\x03\x01\x02\x03\x04\x05\x06\x07\x08"s);
  EXPECT_EQ(out.substr(16, fields.size() + 3), fields + "SQL");
  std::string empty;
  engine_frames::put_give_up(empty, 1);
  EXPECT_EQ(empty, "\x80\x02\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x00"s);
  std::string check;  // CRC-32 (IEEE) of its nine digits, as published
  engine_frames::put_frame(check, Side::engine, 0, 1, "1234", "56789");
  EXPECT_EQ(check.substr(check.size() - 4), "\xcb\xf4\x39\x26"s);
}

std::string frame(std::uint8_t code, std::uint64_t id, std::string_view fields, std::string_view page = {}) {
  std::string out;
  engine_frames::put_frame(out, Side::engine, code, id, fields, page);
  return out;
}

TEST(Frames, AreReadAtAnySplit) {
  const std::string bytes =
      frame(0, 5, "parts=2,work=81.5,peak=96,gauges=inflight:7;util:0.61", "a\tb\tc\n") +
      frame(9, 5, "part_no=1", "d\te\tf\n") + frame(3, 6, "");
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    engine_frames::FrameReader reader(Side::engine);
    std::vector<engine_frames::Answer> found;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      reader.feed(std::string_view(bytes).substr(at, step));
      for (auto next = reader.next(); !std::holds_alternative<std::monostate>(next); next = reader.next()) {
        ASSERT_TRUE(std::holds_alternative<engine_frames::Frame>(next));
        auto answer = engine_frames::read_answer(std::move(std::get<engine_frames::Frame>(next)));
        ASSERT_TRUE(std::holds_alternative<engine_frames::Answer>(answer));
        found.push_back(std::move(std::get<engine_frames::Answer>(answer)));
      }
    }
    ASSERT_EQ(found.size(), 3U);
    EXPECT_FALSE(reader.inside());
    EXPECT_EQ(found[0].pages, 2U);
    EXPECT_EQ(found[0].work_ms, 81.5);
    EXPECT_EQ(found[0].memory_mb, 96);
    ASSERT_EQ(found[0].gauges.size(), 2U);
    EXPECT_EQ(found[0].gauges[1], (std::pair<std::string, double>{"util", 0.61}));
    EXPECT_EQ(found[1].page, 1U);
    EXPECT_EQ(found[1].body, "d\te\tf\n");
    EXPECT_EQ(found[2].code, engine_frames::Reply::full);
  }
}

TEST(Frames, WhatCannotBeTrustedIsSeenAsSoonAsItIsThere) {
  const std::string good = frame(0, 5, "parts=1", "a\tb\tc\n");
  const auto broken = [](const std::string& bytes) {
    engine_frames::FrameReader reader(Side::engine);
    reader.feed(bytes);
    return std::holds_alternative<engine_frames::Broken>(reader.next());
  };
  EXPECT_FALSE(broken(good));
  EXPECT_TRUE(broken("\x80"));  // a manager's mark
  EXPECT_TRUE(broken("\x81\x01"s));  // a manager's code
  EXPECT_TRUE(broken("\x81\x00\x00\x00\xc0\x00\x00\x00"s));  // 3 GB announced: no byte of them is awaited
  EXPECT_TRUE(broken("\x81\x00\xff\xff\x00\x00\x00\x00"s));
  for (std::size_t at = 16; at < good.size(); ++at) {  // fields, body, check
    std::string spoilt = good;
    spoilt[at] = static_cast<char>(spoilt[at] ^ 1);
    EXPECT_TRUE(broken(spoilt)) << at;
  }
  const auto unreadable = [](std::uint8_t code, std::string_view fields) {
    engine_frames::Frame one;
    one.code = code;
    one.fields = fields;
    return std::holds_alternative<engine_frames::Broken>(engine_frames::read_answer(one));
  };
  EXPECT_FALSE(unreadable(0, "work=1,unknown=x"));
  for (const char* fields : {"work=x", "work=-1", "work=nan", "peak=", "parts=0", "parts=65", "parts=-1",
                             "parts=1.5", "gauges=util", "gauges=util:x"})
    EXPECT_TRUE(unreadable(0, fields)) << fields;
  EXPECT_TRUE(unreadable(9, ""));
  EXPECT_TRUE(unreadable(9, "part_no=9999"));
}

engine_frames::Answer answer(engine_frames::Reply code, std::uint32_t pages, std::uint32_t page,
                             std::string text) {
  engine_frames::Answer out;
  out.code = code;
  out.pages = pages;
  out.page = page;
  out.body = std::move(text);
  return out;
}

TEST(PagedAnswer, PutsPagesInOrderAndPassesOverSecondCopies) {
  using engine_frames::Reply;
  platform::PagedAnswer paged;
  const auto step = paged.take(answer(Reply::ok, 3, 0, "a\t\t\n"));
  ASSERT_TRUE(std::holds_alternative<platform::PagedAnswer::More>(step));
  EXPECT_EQ(std::get<platform::PagedAnswer::More>(step).pages, 3U);
  EXPECT_TRUE(paged.paging());
  using Nothing = platform::PagedAnswer::Nothing;
  EXPECT_TRUE(std::holds_alternative<Nothing>(paged.take(answer(Reply::page, 1, 2, "c\t\t\n"))));
  EXPECT_TRUE(std::holds_alternative<Nothing>(paged.take(answer(Reply::page, 1, 2, "c\t\t\n"))));
  EXPECT_TRUE(std::holds_alternative<Nothing>(paged.take(answer(Reply::ok, 3, 0, "a\t\t\n"))));
  EXPECT_TRUE(std::holds_alternative<Nothing>(paged.take(answer(Reply::full, 1, 0, ""))));
  const auto last = paged.take(answer(Reply::page, 1, 1, "b\t\t\n"));
  ASSERT_TRUE(std::holds_alternative<platform::PagedAnswer::Done>(last));
  EXPECT_EQ(std::get<platform::PagedAnswer::Done>(last).ending, core::Ending::complete);
  EXPECT_EQ(paged.body(), "a\t\t\nb\t\t\nc\t\t\n");
}

TEST(PagedAnswer, NeverServesMissingOrBrokenRows) {
  using engine_frames::Broken;
  using engine_frames::Reply;
  for (const char* text : {"a\tb\tc", "a\tb\n", "a\tb\tc\td\n", "\n", "a\tb\tc\nd"}) {
    platform::PagedAnswer paged;
    EXPECT_TRUE(std::holds_alternative<Broken>(paged.take(answer(Reply::ok, 1, 0, text)))) << text;
  }
  platform::PagedAnswer unasked;
  EXPECT_TRUE(std::holds_alternative<Broken>(unasked.take(answer(Reply::page, 1, 1, "a\t\t\n"))));
  platform::PagedAnswer beyond;
  beyond.take(answer(Reply::ok, 2, 0, "a\t\t\n"));
  EXPECT_TRUE(std::holds_alternative<Broken>(beyond.take(answer(Reply::page, 1, 2, "a\t\t\n"))));
  platform::PagedAnswer lost;  // the engine no longer knows the page
  lost.take(answer(Reply::ok, 2, 0, "a\t\t\n"));
  const auto end = lost.take(answer(Reply::error, 1, 0, ""));
  ASSERT_TRUE(std::holds_alternative<platform::PagedAnswer::Done>(end));
  EXPECT_EQ(std::get<platform::PagedAnswer::Done>(end).ending, core::Ending::engine_error);
  platform::PagedAnswer large;
  std::string full_page(5997, 'x');
  full_page += "\t\t\n";
  large.take(answer(Reply::ok, 64, 0, full_page));
  std::size_t pages = 1;
  while (!std::holds_alternative<Broken>(
      large.take(answer(Reply::page, 1, static_cast<std::uint32_t>(pages), full_page))))
    ASSERT_LT(++pages, 10U);
}

// ---- The command channel ----

discovery::Event event(std::uint64_t number, bool whole, std::vector<EngineId> engines,
                       EngineState state = EngineState::ready) {
  discovery::Event out;
  out.number = number;
  out.whole = whole;
  for (const EngineId id : engines) {
    discovery::Record record;
    record.entry = {id, state, 1, 2, 3, 1.5, 1700000000123ms};
    record.address = 0x0a010009;
    record.port = static_cast<std::uint16_t>(4000 + id);
    out.records.push_back(record);
  }
  return out;
}

TEST(CommandChannel, EventsByteByByteAndAtAnySplit) {
  std::string cursor;
  discovery::put_cursor(cursor, 41);
  EXPECT_EQ(cursor, "\0\0\0\0\0\0\0\x29"s);
  std::string bytes;
  discovery::put_event(bytes, event(42, false, {7}, EngineState::draining));
  EXPECT_EQ(bytes,
            "\0\0\0\x24\0\0\0\0\0\0\0\x2a\x02"
            "\0\0\0\x07\x0a\x01\0\x09\x0f\xa7\x01\x02\x01\0\x03\0\0\x05\xdc\0\0\x01\x8b\xcf\xe5\x68\x7b"s);
  discovery::put_beat(bytes, 42);
  discovery::put_event(bytes, event(43, true, {}));
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    discovery::EventReader reader;
    std::string order;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      reader.feed(std::string_view(bytes).substr(at, step));
      for (auto next = reader.next(); !std::holds_alternative<std::monostate>(next); next = reader.next()) {
        order += std::holds_alternative<discovery::Heartbeat>(next) ? 'b' : 'e';
        ASSERT_FALSE(std::holds_alternative<discovery::Broken>(next));
        if (const auto* one = std::get_if<discovery::Event>(&next); one != nullptr && one->number == 42) {
          ASSERT_EQ(one->records.size(), 1U);
          EXPECT_EQ(one->records[0].entry.state, EngineState::draining);
          EXPECT_EQ(one->records[0].entry.weight, 1.5);
          EXPECT_EQ(one->records[0].entry.started, 1700000000123ms);
          EXPECT_EQ(one->records[0].port, 4007);
        }
      }
    }
    EXPECT_EQ(order, "ebe");
  }
}

TEST(CommandChannel, DamageIsSeen) {
  const auto broken = [](const std::string& bytes) {
    discovery::EventReader reader;
    reader.feed(bytes);
    return std::holds_alternative<discovery::Broken>(reader.next());
  };
  EXPECT_TRUE(broken("\0\0\0\x08"s));
  EXPECT_TRUE(broken("\xff\xff\xff\xff"s));
  EXPECT_TRUE(broken("\0\0\0\x09\0\0\0\0\0\0\0\x01\x05"s));
  EXPECT_TRUE(broken("\0\0\0\x0a\0\0\0\0\0\0\0\x01\x02\0"s));
  std::string state;
  discovery::put_event(state, event(1, false, {1}));
  state[13 + 10] = 3;
  EXPECT_TRUE(broken(state));
}

TEST(EndpointList, TellsWhichProcessesHaveEnded) {
  platform::EndpointList fleet;
  const auto ended_by = [&](const discovery::Event& one) {
    core::EndpointsUpdated told;
    std::vector<EngineId> ended;
    fleet.take(one, told, ended);
    fleet.forget_removed();
    return ended;
  };
  const std::vector<EngineId> none, second{2}, all{1, 2, 3};
  EXPECT_EQ(ended_by(event(1, true, {1, 2, 3})), none);
  EXPECT_EQ(ended_by(event(2, false, {2}, EngineState::draining)), none);
  EXPECT_EQ(ended_by(event(3, false, {2}, EngineState::removed)), second);
  EXPECT_EQ(ended_by(event(4, false, {2})), none) << "its process before ended then";
  auto anew = event(5, false, {2});
  anew.records[0].entry.started = std::chrono::seconds(7);
  EXPECT_EQ(ended_by(anew), second) << "started anew under its id";
  anew.number = 6;
  anew.records[0].port ^= 1;
  EXPECT_EQ(ended_by(anew), second) << "at another address";
  EXPECT_EQ(ended_by(event(7, true, {4})), all) << "a whole list does not name them";
}

TEST(EndpointList, TakesEachEventOnceAndAsksForWhatIsMissing) {
  platform::EndpointList fleet;
  const auto take = [&](const discovery::Event& one) {
    core::EndpointsUpdated told;
    std::vector<EngineId> ended;
    const auto taken = fleet.take(one, told, ended);
    return std::pair(taken, told.engines.size());
  };
  using ApplyResult = platform::EndpointList::ApplyResult;
  EXPECT_EQ(take(event(5, true, {1, 2})),
            std::pair(ApplyResult::applied, std::size_t{2}));  // a whole list needs no other
  EXPECT_EQ(take(event(5, true, {1, 2})), std::pair(ApplyResult::duplicate, std::size_t{0}));
  EXPECT_EQ(take(event(7, false, {3})).first, ApplyResult::gap);
  EXPECT_EQ(fleet.last(), 5U);
  EXPECT_EQ(take(event(6, false, {2}, EngineState::removed)).first, ApplyResult::applied);
  ASSERT_TRUE(fleet.address(2));
  fleet.forget_removed();
  EXPECT_FALSE(fleet.address(2));
  EXPECT_EQ(fleet.address(1), (platform::Address{0x0a010009, 4001}));
  EXPECT_EQ(take(event(7, true, {4})).first, ApplyResult::applied);
  fleet.forget_removed();
  EXPECT_EQ(fleet.size(), 1U);
}

// ---- The group of tables ----

TEST(Tables, TheGroupIsTheNumberOfTheSchema) {
  EXPECT_EQ(sql::table_group("SELECT * FROM sales_17.orders"), 17U);
  EXPECT_EQ(sql::table_group("select o_3.x from \"sales_17\".orders o_3"), 17U);
  EXPECT_EQ(sql::table_group("INSERT INTO staging.t SELECT 1 FROM /* sales_4.x */ sales_17.a -- sales_5.y"),
            17U);
  EXPECT_EQ(sql::table_group("SELECT 'from sales_4.x', 1 FROM db.sales_17.orders"), 17U);
  EXPECT_EQ(sql::table_group("COPY sales_17.orders"), 17U);
  EXPECT_EQ(sql::table_group("SELECT * FROM staging.rows"), std::nullopt);
  EXPECT_EQ(sql::table_group("SELECT 1"), std::nullopt);
}

// ---- The configuration ----

std::string config_text(const std::string& change = "", const std::string& to = "") {
  std::string text = R"({"name":"n3","listen":"127.0.0.4:4100","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":48,"sockets":256},"channel":"127.2.0.1:2379",
    "known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"generation":7,"reset":true,"instances":[
      {"instanceId":"s-00c41f7a","hostPort":"127.1.0.9:4100","zone":"east","machineType":"std b","cell":2,
       "lifecycle":"active","weight":4,"startedAtMs":0}]}}]},
    "settings":{"balancers":3,"position":1,"az":0,"areas":["west","east"],"flavors":["std a","std b"],
      "granularity_ns":5000000,"classes":[{"name":"report","aim_ns":1500000000,"deadline_ns":7500000000,
      "gain":1.0,"repeat":"pure"}],"family_info":{"class_threads":[4],"kind_cores":[8,8],"size_mb":[16384,16384]},
      "permissions":{"multiplex":32,"conn_idle_ns":15000000000,"dial_timeout_ns":250000000,"max_attempts":3},
      "rules":{"drain_grace_ns":250000000},"report":{"how":"inline","names":["util"]},"tenants":[]}})";
  if (const auto at = text.find(change); !change.empty() && at != std::string::npos)
    text.replace(at, change.size(), to);
  return text;
}

TEST(PlatformConfig, IsReadWithTheReadingOfTheSimulatorsSettings) {
  const auto read = platform::parse_config(config_text());
  ASSERT_TRUE(std::holds_alternative<platform::PlatformConfig>(read))
      << std::get<platform::Problem>(read).text;
  const auto& config = std::get<platform::PlatformConfig>(read);
  EXPECT_EQ(config.name, "n3");
  EXPECT_EQ(platform::text_of(config.listen), "127.0.0.4:4100");
  EXPECT_EQ(config.limits.descriptors, 256U);
  EXPECT_EQ(config.streams_per_connection, 32U);
  EXPECT_EQ(config.core.connect_timeout, 250ms);
  const Settings& settings = config.core.module;
  EXPECT_EQ(settings.seed, 0x8c1f30d27a5be964U);
  EXPECT_EQ(settings.instances, 3U);
  ASSERT_EQ(settings.classes.size(), 1U);
  EXPECT_EQ(settings.classes[0].threads, 4);
  EXPECT_EQ(settings.classes[0].deadline, 7500ms);
  EXPECT_EQ(settings.kinds[1].cores, 8);
  ASSERT_EQ(config.known.size(), 1U);
  EXPECT_TRUE(config.known[0].whole);
  const auto& record = config.known[0].records.at(0);
  EXPECT_EQ(record.entry.engine, 0x00c41f7aU);
  EXPECT_EQ(record.entry.zone, 1U);
  EXPECT_EQ(record.entry.kind, 1U);
  EXPECT_EQ(record.address, 0x7f010009U);
}

TEST(PlatformConfig, EveryFaultIsOneProblem) {
  EXPECT_TRUE(std::holds_alternative<platform::Problem>(platform::read_config("/nowhere/config.json")));
  const std::string whole = config_text();
  for (std::size_t size = 0; size < whole.size(); size += 97)
    EXPECT_TRUE(std::holds_alternative<platform::Problem>(platform::parse_config(whole.substr(0, size))))
        << size;
  const std::vector<std::pair<std::string, std::string>> changes{
      {"127.0.0.4:4100", "localhost"},
      {"127.0.0.4:4100", "127.0.0.4:0"},
      {"127.0.0.4:4100", "127.0.0.400:1"},
      {"127.2.0.1:2379", "127.2.0.1"},
      {"\"channel\"", "\"chanel\""},
      {"8c1f30d27a5be964", "seed"},
      {"s-00c41f7a", "00c41f7a"},
      {"\"zone\":\"east\"", "\"zone\":9.5"},
      {"\"std b\",\"cell\"", "\"std c\",\"cell\""},
      {"\"active\"", "\"odd\""},
      {"\"cell\":2", "\"cell\":-2"},
      {"\"multiplex\":32", "\"multiplex\":0"},
      {"\"pure\"", "\"odd\""},
      {"\"cursor\":1,\"cmds\"", "\"cursor\":-1,\"cmds\""}};
  for (const auto& [from, to] : changes)
    EXPECT_TRUE(std::holds_alternative<platform::Problem>(platform::parse_config(config_text(from, to))))
        << to;
}

}  // namespace
}  // namespace paddlestand
