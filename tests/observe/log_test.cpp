// The format of log lines: typed fields in JSON and on a console.
#include "observe/log.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace paddlestand::observe {
namespace {

std::string json_of(const LogField& field) {
  fmt::memory_buffer line;
  append_json(line, field);
  return fmt::to_string(line);
}

std::string console_of(const LogField& field) {
  fmt::memory_buffer line;
  append_console(line, field);
  return fmt::to_string(line);
}

// A log in a temporary file, which the destructor removes.
class LogFile {
 public:
  explicit LogFile(const std::string& format, const std::string& level = "info")
      : path_(std::filesystem::temp_directory_path() /
              ("paddlestand-log-test-" + std::to_string(::getpid()))) {
    std::filesystem::remove(path_);
    LogConfig config;
    config.file = path_.string();
    config.format = format;
    config.level = level;
    log_.emplace(config, "m1");
  }
  ~LogFile() { std::filesystem::remove(path_); }
  LogFile(const LogFile&) = delete;
  LogFile& operator=(const LogFile&) = delete;

  Log& log() { return *log_; }

  /// Closes the log and returns the lines written.
  std::vector<std::string> lines() {
    log_.reset();
    std::ifstream in(path_);
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) lines.push_back(line);
    return lines;
  }

 private:
  std::filesystem::path path_;
  std::optional<Log> log_;
};

TEST(LogField, FormatsEachTypeInJson) {
  EXPECT_EQ(json_of({LogFieldName::query, std::numeric_limits<std::uint64_t>::max()}),
            R"("query":18446744073709551615)");
  EXPECT_EQ(json_of({LogFieldName::code, -7}), R"("code":-7)");
  EXPECT_EQ(json_of({LogFieldName::memory_mb, 1.5}), R"("memory_mb":1.5)");
  EXPECT_EQ(json_of({LogFieldName::retry, true}), R"("retry":true)");
  EXPECT_EQ(json_of({LogFieldName::retry, false}), R"("retry":false)");
  EXPECT_EQ(json_of({LogFieldName::reason, "ended"}), R"("reason":"ended")");
  EXPECT_EQ(json_of({LogFieldName::trace, HexId{0xab12}}), R"("trace":"000000000000ab12")");
}

TEST(LogField, FormatsEachTypeOnAConsole) {
  EXPECT_EQ(console_of({LogFieldName::query, std::uint64_t{265}}), "query=265");
  EXPECT_EQ(console_of({LogFieldName::code, -7}), "code=-7");
  EXPECT_EQ(console_of({LogFieldName::memory_mb, 1.5}), "memory_mb=1.5");
  EXPECT_EQ(console_of({LogFieldName::retry, true}), "retry=true");
  EXPECT_EQ(console_of({LogFieldName::address, "127.0.0.1:80"}), "address=127.0.0.1:80");
  EXPECT_EQ(console_of({LogFieldName::reason, "no login"}), R"(reason="no login")");
  EXPECT_EQ(console_of({LogFieldName::reason, ""}), R"(reason="")");
  EXPECT_EQ(console_of({LogFieldName::trace, HexId{0xab12}}), "trace=000000000000ab12");
}

TEST(LogField, SmallIntegersAreWrittenAsNumbers) {
  EXPECT_EQ(json_of({LogFieldName::priority, std::uint8_t{65}}), R"("priority":65)");
  EXPECT_EQ(json_of({LogFieldName::code, std::int8_t{65}}), R"("code":65)");
}

TEST(LogField, NonFiniteNumbersAreNullInJson) {
  EXPECT_EQ(json_of({LogFieldName::memory_mb, std::numeric_limits<double>::infinity()}),
            R"("memory_mb":null)");
  EXPECT_EQ(json_of({LogFieldName::memory_mb, std::numeric_limits<double>::quiet_NaN()}),
            R"("memory_mb":null)");
}

TEST(LogField, QuotesAndControlCharactersAreEscaped) {
  const LogField field(LogFieldName::reason, "a \"b\"\\\n{}");

  EXPECT_EQ(json_of(field), R"("reason":"a \"b\"\\\n{}")");
  EXPECT_EQ(console_of(field), R"(reason="a \"b\"\\\n{}")");
}

TEST(LogField, InvalidUtf8IsReplaced) {
  const LogField field(LogFieldName::reason, "a\xff");

  EXPECT_EQ(json_of(field), "\"reason\":\"a\xef\xbf\xbd\"");
  EXPECT_EQ(console_of(field), "reason=\"a\xef\xbf\xbd\"");
}

TEST(LogField, NamesAreDistinct) {
  std::set<std::string_view> names;
  constexpr auto count = static_cast<std::size_t>(LogFieldName::violations) + 1;
  for (std::size_t name = 0; name < count; ++name) names.insert(name_of(static_cast<LogFieldName>(name)));

  EXPECT_EQ(names.size(), count);
  // Every line has these members, so no field may have their names.
  for (const char* member : {"time", "manager", "level", "event", "text"})
    EXPECT_EQ(names.count(member), 0U) << member;
}

TEST(Log, JsonLineHasEventThenFieldsThenText) {
  LogFile file("json");
  file.log().info(LogEvent::attempt_sent, {{LogFieldName::query, 265U}, {LogFieldName::engine, 1U}},
                  "say \"{}\"\xff");

  const std::vector<std::string> lines = file.lines();
  ASSERT_EQ(lines.size(), 1U);
  const std::string ending = R"("event":"attempt_sent","query":265,"engine":1,"text":"say \"{}\")"
                             "\xef\xbf\xbd\"}";
  EXPECT_TRUE(lines[0].ends_with(ending)) << lines[0];
  const auto json = nlohmann::json::parse(lines[0]);
  EXPECT_EQ(json.at("manager"), "m1");
  EXPECT_EQ(json.at("level"), "info");
  EXPECT_EQ(json.at("query"), 265);
}

TEST(Log, EmptyTextIsOmitted) {
  LogFile file("json");
  file.log().warn(LogEvent::client_stalled, {{LogFieldName::session, 4U}});
  file.log().warn(LogEvent::cancel_unmatched);

  const std::vector<std::string> lines = file.lines();
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_TRUE(lines[0].ends_with(R"("event":"client_stalled","session":4})")) << lines[0];
  EXPECT_TRUE(lines[1].ends_with(R"("event":"cancel_unmatched"})")) << lines[1];
}

TEST(Log, ConsoleLineHasEventThenFieldsThenText) {
  LogFile file("console");
  file.log().error(LogEvent::violation, {{LogFieldName::query, 265U}, {LogFieldName::engine, 1U}}, "late {}");
  file.log().info(LogEvent::shutdown_complete, "all answered");

  const std::vector<std::string> lines = file.lines();
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_TRUE(lines[0].ends_with("m1 error violation: query=265 engine=1 late {}")) << lines[0];
  EXPECT_TRUE(lines[1].ends_with("m1 info shutdown_complete: all answered")) << lines[1];
}

TEST(Log, EventsBelowTheLevelAreNotWritten) {
  LogFile file("json", "warning");
  file.log().debug(LogEvent::started, {{LogFieldName::engines, 1U}});
  file.log().info(LogEvent::started, {{LogFieldName::engines, 2U}});
  file.log().warn(LogEvent::started, {{LogFieldName::engines, 3U}});
  file.log().error(LogEvent::started, {{LogFieldName::engines, 4U}});

  const std::vector<std::string> lines = file.lines();
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_EQ(nlohmann::json::parse(lines[0]).at("engines"), 3);
  EXPECT_EQ(nlohmann::json::parse(lines[1]).at("engines"), 4);
}

}  // namespace
}  // namespace paddlestand::observe
