/// The settings text of the simulator and the platform.
#include "config/settings_parser.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <variant>

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
  for (const auto* text :
       {"classes.count=1\nclasses.0.repeat=perhaps\n", "permissions.cancel=maybe\n", "no equals\n",
        "rules.cold_ns=-5\n", "classes.count=99999999\n", "balancers=nan\n"}) {
    EXPECT_TRUE(std::holds_alternative<std::string>(config::parse_settings(text))) << text;
  }
}

}  // namespace
}  // namespace paddlestand::bench_adapter::test
