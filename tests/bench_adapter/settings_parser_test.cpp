/// Parsing of the settings of the simulator and the platform.
#include "config/settings_parser.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "wire_frames.hpp"

namespace paddlestand::bench_adapter::test {
namespace {

TEST(SettingsParser, SkipsUnknownKeys) {
  const auto parsed = config::parse_settings(std::string(settings_text));

  ASSERT_TRUE(std::holds_alternative<config::ParsedSettings>(parsed));
  const Settings& settings = std::get<config::ParsedSettings>(parsed).settings;
  ASSERT_EQ(settings.classes.size(), 1U);
  EXPECT_EQ(settings.classes[0].latency_objective, std::chrono::seconds(1));
  EXPECT_EQ(settings.classes[0].idempotency, Idempotency::idempotent);
  EXPECT_EQ(settings.max_attempts, 3U);
  EXPECT_FALSE(settings.retry_budget.has_value());
  EXPECT_FALSE(settings.classes[0].allowed_kinds.has_value());
}

TEST(SettingsParser, RejectsInvalidValues) {
  using Kind = config::SettingsError::Kind;
  struct Case {
    std::string settings;
    Kind kind;
    std::string text;
  };
  const std::vector<Case> cases{
      {"classes.count=1\nclasses.0.repeat=perhaps\n", Kind::unknown_choice,
       "setting classes.0.repeat=perhaps: unknown value"},
      {"permissions.cancel=maybe\n", Kind::not_a_flag,
       "setting permissions.cancel=maybe: expected true or false"},
      {"no equals\n", Kind::missing_equals_sign, "settings line 'no equals': expected path=value"},
      {"rules.cold_ns=-5\n", Kind::out_of_range, "setting rules.cold_ns: value out of range"},
      {"classes.count=99999999\n", Kind::count_too_large, "setting classes: count too large"},
      {"balancers=nan\n", Kind::out_of_range, "setting balancers: value out of range"},
      {"rules.tip_multiple=high\n", Kind::not_a_number,
       "setting rules.tip_multiple=high: expected a number"}};

  for (const Case& test_case : cases) {
    const auto parsed = config::parse_settings(test_case.settings);

    const auto* error = std::get_if<config::SettingsError>(&parsed);
    ASSERT_NE(error, nullptr) << test_case.settings;
    EXPECT_EQ(error->kind, test_case.kind) << test_case.settings;
    EXPECT_EQ(error->text(), test_case.text);
  }
}

}  // namespace
}  // namespace paddlestand::bench_adapter::test
