#include <gtest/gtest.h>

#include <fstream>

#include "config/manager_config.hpp"
#include "core/classify.hpp"

namespace paddlestand::config {
namespace {

using namespace std::chrono_literals;

/// A valid settings file in which the first `original` is replaced.
std::string manager(const std::string& original = "", const std::string& replacement = "") {
  std::string text = R"(<manager xmlns="urn:paddlestand:manager:1" name="m">
<listen port="6432"/>
<zones names="north south" own="north"/>
<kinds><kind name="std" cores="8" memory-mb="16384"/></kinds>
<classes otherwise="lookup">
<class name="lookup" aim="1s" deadline="5s" repeat="safe"/>
<class name="load" aim="1s" deadline="5s" repeat="keyed" key-window="25s" zones="south"/>
</classes>
<rules><rule statement="^insert" class="load"/></rules>
<decisions budget-floor="5" budget-share="0.1" budget-window="5s"/>
<engines><engine id="1" name="e1" address="127.0.0.1" port="7001" kind="std"/></engines>
</manager>)";
  if (const auto position = text.find(original); !original.empty() && position != text.npos)
    text.replace(position, original.size(), replacement);
  return text;
}

std::string error_of(const std::string& text) {
  const auto read = parse_manager_config(text, "m.xml");
  const auto* error = std::get_if<ConfigError>(&read);
  return error == nullptr ? std::string{} : error->text();
}

TEST(Config, FillsInDefaults) {
  const auto read = parse_manager_config(manager(), "m.xml");
  ASSERT_TRUE(std::holds_alternative<ManagerConfig>(read)) << std::get<ConfigError>(read).text();
  const auto& config = std::get<ManagerConfig>(read);
  EXPECT_EQ(config.core.module.classes[1].idempotency_window, 25s);
  EXPECT_EQ(config.core.module.classes[1].allowed_zones->at(0), 1U);
  EXPECT_EQ(config.core.module.max_attempts, 3U);
  EXPECT_EQ(config.core.module.retry_budget->window, 5s);
  EXPECT_EQ(config.core.answer_buffer, 64U * 1024);
  EXPECT_EQ(config.listen.address, "127.0.0.1");
  EXPECT_EQ(config.engines.at(0).endpoint.port, 7001);
}

TEST(Config, ErrorsStateTheLineAndTheExpectedValue) {
  const std::vector<std::tuple<const char*, const char*, const char*, const char*>> cases{
      {"aim=\"1s\" deadline=\"5s\" repeat=\"safe\"", "aim=\"1\" deadline=\"5s\"", "m.xml:6:", "aim"},
      {"</manager>", "", "m.xml:", ""},
      {"<listen port=\"6432\"/>", "<listen port=\"99999\"/>", "m.xml:2:", "99999"},
      {"<listen port=\"6432\"/>", "<listen port=\"1\" address=\"0.0.0.0\"/>", "m.xml:2:", "scram"},
      {"<listen port=\"6432\"/>", "<listen port=\"1\" authentication=\"scram\"/>", "m.xml:2:", "users file"},
      {"otherwise=\"lookup\"", "otherwise=\"nope\"", "m.xml:", "lookup, load"},
      {"zones=\"south\"", "zones=\"east\"", "m.xml:7:", "north, south"},
      {"class=\"load\"/>", "class=\"nope\"/>", "m.xml:9:", "lookup, load"},
      {"statement=\"^insert\"", "statement=\"(\"", "m.xml:9:", "regular expression"},
      {"kind=\"std\"", "kind=\"big\"", "m.xml:11:", "expected one of: std"},
      {"key-window=\"25s\"", "", "m.xml:7:", "key-window"},
      {"deadline=\"5s\" repeat=\"keyed\"", "deadline=\"1ms\" repeat=\"keyed\"",
       "m.xml:7:", "aim <= deadline"},
      {"budget-share=\"0.1\"", "", "m.xml:10:", "together"},
      {"port=\"7001\" kind=\"std\"/>",
       "port=\"7001\" kind=\"std\"/><engine id=\"1\" name=\"e2\" address=\"a\" port=\"1\" kind=\"std\"/>",
       "m.xml:11:", "one-id-each"},
      {"name=\"m\"", "name=\"m\" colour=\"red\"", "m.xml:1:", "colour"},
  };
  for (const auto& [original, replacement, location, message] : cases) {
    const std::string error = error_of(manager(original, replacement));
    EXPECT_NE(error.find(location), std::string::npos) << original << " -> " << replacement << ": " << error;
    EXPECT_NE(error.find(message), std::string::npos) << original << " -> " << replacement << ": " << error;
  }
}

TEST(Config, ExternalEntitiesAreNotLoaded) {
  const std::string text =
      "<!DOCTYPE x [<!ENTITY e SYSTEM \"file:///etc/hostname\">]>" + manager("name=\"m\"", "name=\"&e;\"");
  EXPECT_FALSE(error_of(text).empty());
}

TEST(Config, EngineListIsValidatedByTheSameSchema) {
  const auto config = std::get<ManagerConfig>(parse_manager_config(manager(), "m.xml"));
  const std::string path = ::testing::TempDir() + "engines-" + std::to_string(getpid()) + ".xml";
  const auto read = [&](const std::string& text) {
    std::ofstream(path) << text;
    return read_engine_list(path, config);
  };
  const std::string list =
      R"(<engines xmlns="urn:paddlestand:manager:1"><engine id="7" name="a" address="::1" port="1" kind="std" zone="south" state="draining" started="1700000000.5"/></engines>)";
  const auto valid = read(list);
  ASSERT_TRUE(std::holds_alternative<std::vector<ListedEngine>>(valid));
  const auto& engine = std::get<std::vector<ListedEngine>>(valid).at(0);
  EXPECT_EQ(engine.entry.state, EngineState::draining);
  EXPECT_EQ(engine.entry.zone, 1U);
  EXPECT_EQ(engine.entry.started, 1700000000500ms);
  EXPECT_TRUE(std::holds_alternative<ConfigError>(read(list.substr(0, list.size() / 2))));
  EXPECT_TRUE(std::holds_alternative<ConfigError>(read("")));
  EXPECT_TRUE(std::holds_alternative<ConfigError>(read_engine_list("/nonexistent/x.xml", config)));
  unlink(path.c_str());
}

TEST(Config, SettingsThatCannotBeReloadedAreNamed) {
  const auto current = std::get<ManagerConfig>(parse_manager_config(manager(), "m.xml"));
  const auto same = std::get<ManagerConfig>(parse_manager_config(manager("^insert", "^update"), "m.xml"));
  EXPECT_FALSE(find_fixed_change(current, same).has_value());
  const auto port = std::get<ManagerConfig>(parse_manager_config(manager("6432", "6433"), "m.xml"));
  const auto port_change = find_fixed_change(current, port);
  ASSERT_TRUE(port_change.has_value());
  EXPECT_EQ(port_change->part, FixedSetting::Part::listen);
  EXPECT_EQ(port_change->text(), "listen");
  const auto latency_objective =
      std::get<ManagerConfig>(parse_manager_config(manager("aim=\"1s\"", "aim=\"2s\""), "m.xml"));
  const auto class_change = find_fixed_change(current, latency_objective);
  ASSERT_TRUE(class_change.has_value());
  EXPECT_EQ(class_change->part, FixedSetting::Part::one_class);
  EXPECT_EQ(class_change->text(), "class 'lookup'");
}

TEST(Classifier, NamesTheFirstErrorOfItsSettings) {
  using Kind = core::ClassifierError::Kind;
  const auto config = std::get<ManagerConfig>(parse_manager_config(manager(), "m.xml"));
  core::ClassifierSettings settings;
  settings.default_class = "lookup";
  settings.rules = {{.user = {},
                     .database = {},
                     .application = {},
                     .statement = {},
                     .class_name = "nightly",
                     .tenant = {}}};

  const core::Classifier classifier(settings, config.core.module);

  ASSERT_TRUE(classifier.error().has_value());
  EXPECT_EQ(classifier.error()->kind, Kind::unknown_rule_class);
  EXPECT_EQ(classifier.error()->value, "nightly");
  EXPECT_EQ(classifier.error()->text().find("a rule names class 'nightly'; expected one of: lookup"), 0U);
}

TEST(Classifier, PrefersTagsToRulesToTheDefault) {
  auto config = std::get<ManagerConfig>(parse_manager_config(manager(), "m.xml"));
  const core::Classifier classifier(config.classifier, config.core.module);
  ASSERT_FALSE(classifier.error().has_value());
  const auto classify = [&](const char* statement, std::vector<std::pair<std::string, std::string>> tags = {},
                            std::optional<Duration> timeout = {}) {
    core::RequestFacts facts;
    facts.statement = statement;
    facts.tags = std::move(tags);
    facts.timeout = timeout;
    return classifier.classify(facts);
  };
  EXPECT_EQ(std::get<core::QueryArrived>(classify("INSERT into t")).class_index, 1U);
  EXPECT_EQ(std::get<core::QueryArrived>(classify("insert", {{"class", "lookup"}})).class_index, 0U);
  EXPECT_EQ(std::get<core::QueryArrived>(classify("select")).client_timeout, 5s);
  EXPECT_EQ(std::get<core::QueryArrived>(classify("select", {}, 700ms)).client_timeout, 700ms);
  EXPECT_EQ(std::get<core::QueryArrived>(classify("select", {{"deadline_ms", "90"}}, 700ms)).client_timeout,
            90ms);
  const auto full = std::get<core::QueryArrived>(
      classify("select", {{"cost_ms", "12.5"}, {"key", "a"}, {"memory_mb", "3"}, {"repeat", "1"}}));
  EXPECT_EQ(full.estimated_cost, 12500us);
  EXPECT_EQ(full.ordering_key, core::key_of("a"));
  EXPECT_TRUE(full.repeated);
  EXPECT_TRUE(std::holds_alternative<core::TagError>(classify("select", {{"class", "x"}})));
}

}  // namespace
}  // namespace paddlestand::config
