// Encoding and decoding of engine frames, and assembly of answers from their pages.
#include <gtest/gtest.h>

#include "platform/paged_answer.hpp"
#include "protocol/engine_frames/frames.hpp"

namespace paddlestand {
namespace {

using namespace std::chrono_literals;
using namespace std::string_literals;

using engine_frames::Side;

TEST(Frames, ARequestIsEncodedExactly) {
  std::string out;
  engine_frames::Request request;

  request.id = 0x0102030405060708;
  request.class_name = "load";
  request.token = "ab12";
  request.statement = "SQL";
  request.time_left = 1500us;
  request.memory_mb = 95.2;
  request.priority = 3;
  engine_frames::put_request(out, request);
  const std::string fields = "kind=load,ms=2,token=ab12,grant=96,rank=3";
  ASSERT_EQ(out.size(), 16 + fields.size() + 3 + 4);
  EXPECT_EQ(out.substr(0, 16), "\x80\x01\x00\x29\x00\x00\x00\x03\x01\x02\x03\x04\x05\x06\x07\x08"s);
  EXPECT_EQ(out.substr(16, fields.size() + 3), fields + "SQL");

  std::string empty;
  engine_frames::put_cancel(empty, 1);
  EXPECT_EQ(empty, "\x80\x02\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x00"s);

  std::string check;  // the CRC-32 (IEEE) of "123456789" is published as a check value
  engine_frames::put_frame(check, Side::engine, 0, 1, "1234", "56789");
  EXPECT_EQ(check.substr(check.size() - 4), "\xcb\xf4\x39\x26"s);
}

std::string frame(std::uint8_t code, std::uint64_t id, std::string_view fields, std::string_view page = {}) {
  std::string out;
  engine_frames::put_frame(out, Side::engine, code, id, fields, page);
  return out;
}

TEST(Frames, AreDecodedAtAnySplit) {
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
    EXPECT_FALSE(reader.has_partial_frame());
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

// Guards against readers of hundreds of connections that each keep the memory of their largest read.
TEST(Frames, AReaderOfPartOfAFrameKeepsLittleMemory) {
  constexpr std::size_t max_kept_bytes = 4 * engine_frames::max_page;
  const std::string page(5900, 'x');
  std::string input;
  while (input.size() < 64 * 1024) input += frame(9, 5, "part_no=1", page);
  engine_frames::FrameReader reader(Side::engine);
  reader.feed(input);
  reader.feed(input.substr(0, 100));
  while (std::holds_alternative<engine_frames::Frame>(reader.next())) {}

  EXPECT_TRUE(reader.has_partial_frame());
  EXPECT_LE(reader.allocated_bytes(), max_kept_bytes);
}

TEST(Frames, AMalformedFrameIsDetectedAtItsFirstInvalidByte) {
  const std::string good = frame(0, 5, "parts=1", "a\tb\tc\n");
  const auto is_malformed = [](const std::string& bytes) {
    engine_frames::FrameReader reader(Side::engine);
    reader.feed(bytes);
    return std::holds_alternative<engine_frames::ProtocolViolation>(reader.next());
  };

  EXPECT_FALSE(is_malformed(good));
  EXPECT_TRUE(is_malformed("\x80"));  // a manager's magic byte
  EXPECT_TRUE(is_malformed("\x81\x01"s));  // a manager's frame code
  // A body of 3 GB is rejected before any of its bytes arrive.
  EXPECT_TRUE(is_malformed("\x81\x00\x00\x00\xc0\x00\x00\x00"s));
  EXPECT_TRUE(is_malformed("\x81\x00\xff\xff\x00\x00\x00\x00"s));

  for (std::size_t at = 16; at < good.size(); ++at) {  // fields, body, checksum
    std::string corrupted = good;
    corrupted[at] = static_cast<char>(corrupted[at] ^ 1);
    EXPECT_TRUE(is_malformed(corrupted)) << at;
  }
  const auto has_invalid_fields = [](std::uint8_t code, std::string_view fields) {
    engine_frames::Frame incoming;
    incoming.code = code;
    incoming.fields = fields;
    return std::holds_alternative<engine_frames::ProtocolViolation>(engine_frames::read_answer(incoming));
  };
  EXPECT_FALSE(has_invalid_fields(0, "work=1,unknown=x"));

  for (const char* fields : {"work=x", "work=-1", "work=nan", "peak=", "parts=0", "parts=65", "parts=-1",
                             "parts=1.5", "gauges=util", "gauges=util:x"})
    EXPECT_TRUE(has_invalid_fields(0, fields)) << fields;
  EXPECT_TRUE(has_invalid_fields(9, ""));
  EXPECT_TRUE(has_invalid_fields(9, "part_no=9999"));
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

TEST(PagedAnswer, OrdersPagesAndIgnoresDuplicates) {
  using engine_frames::Reply;
  platform::PagedAnswer paged;
  const auto step = paged.add(answer(Reply::ok, 3, 0, "a\t\t\n"));

  ASSERT_TRUE(std::holds_alternative<platform::PagedAnswer::RequestPages>(step));
  EXPECT_EQ(std::get<platform::PagedAnswer::RequestPages>(step).pages, 3U);
  EXPECT_TRUE(paged.is_paging());

  using NoAction = platform::PagedAnswer::NoAction;
  EXPECT_TRUE(std::holds_alternative<NoAction>(paged.add(answer(Reply::page, 1, 2, "c\t\t\n"))));
  EXPECT_TRUE(std::holds_alternative<NoAction>(paged.add(answer(Reply::page, 1, 2, "c\t\t\n"))));
  EXPECT_TRUE(std::holds_alternative<NoAction>(paged.add(answer(Reply::ok, 3, 0, "a\t\t\n"))));
  EXPECT_TRUE(std::holds_alternative<NoAction>(paged.add(answer(Reply::full, 1, 0, ""))));

  const auto last = paged.add(answer(Reply::page, 1, 1, "b\t\t\n"));
  ASSERT_TRUE(std::holds_alternative<platform::PagedAnswer::Done>(last));
  EXPECT_EQ(std::get<platform::PagedAnswer::Done>(last).ending, core::Ending::complete);
  EXPECT_EQ(paged.body(), "a\t\t\nb\t\t\nc\t\t\n");
}

TEST(PagedAnswer, NeverServesMissingOrBrokenRows) {
  using engine_frames::ProtocolViolation;
  using engine_frames::Reply;

  for (const char* text : {"a\tb\tc", "a\tb\n", "a\tb\tc\td\n", "\n", "a\tb\tc\nd"}) {
    platform::PagedAnswer paged;
    EXPECT_TRUE(std::holds_alternative<ProtocolViolation>(paged.add(answer(Reply::ok, 1, 0, text)))) << text;
  }
  platform::PagedAnswer not_requested;
  EXPECT_TRUE(
      std::holds_alternative<ProtocolViolation>(not_requested.add(answer(Reply::page, 1, 1, "a\t\t\n"))));

  platform::PagedAnswer page_out_of_range;
  page_out_of_range.add(answer(Reply::ok, 2, 0, "a\t\t\n"));
  EXPECT_TRUE(
      std::holds_alternative<ProtocolViolation>(page_out_of_range.add(answer(Reply::page, 1, 2, "a\t\t\n"))));

  platform::PagedAnswer lost_page;  // the engine no longer has the page
  lost_page.add(answer(Reply::ok, 2, 0, "a\t\t\n"));
  const auto end = lost_page.add(answer(Reply::error, 1, 0, ""));
  ASSERT_TRUE(std::holds_alternative<platform::PagedAnswer::Done>(end));
  EXPECT_EQ(std::get<platform::PagedAnswer::Done>(end).ending, core::Ending::engine_error);

  platform::PagedAnswer large;
  std::string full_page(5997, 'x');
  full_page += "\t\t\n";
  large.add(answer(Reply::ok, 64, 0, full_page));
  std::size_t pages = 1;
  while (!std::holds_alternative<ProtocolViolation>(
      large.add(answer(Reply::page, 1, static_cast<std::uint32_t>(pages), full_page))))
    ASSERT_LT(++pages, 10U);
}

}  // namespace
}  // namespace paddlestand
