// The parser of the platform's configuration file, and the table group of a statement.
#include "platform/config.hpp"

#include <gtest/gtest.h>

#include "protocol/sql/tables.hpp"

namespace paddlestand {
namespace {

using namespace std::chrono_literals;
using namespace std::string_literals;

TEST(Tables, TheTableGroupIsTheNumberInTheSchemaName) {
  EXPECT_EQ(sql::table_group("SELECT * FROM sales_17.orders"), 17U);
  EXPECT_EQ(sql::table_group("select o_3.x from \"sales_17\".orders o_3"), 17U);
  EXPECT_EQ(sql::table_group("INSERT INTO staging.t SELECT 1 FROM /* sales_4.x */ sales_17.a -- sales_5.y"),
            17U);
  EXPECT_EQ(sql::table_group("SELECT 'from sales_4.x', 1 FROM db.sales_17.orders"), 17U);
  EXPECT_EQ(sql::table_group("COPY sales_17.orders"), 17U);
  EXPECT_EQ(sql::table_group("SELECT * FROM staging.rows"), std::nullopt);
  EXPECT_EQ(sql::table_group("SELECT 1"), std::nullopt);
}

std::string config_text(const std::string& from = "", const std::string& to = "") {
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
  if (const auto at = text.find(from); !from.empty() && at != std::string::npos)
    text.replace(at, from.size(), to);
  return text;
}

TEST(PlatformConfig, IsReadWithTheSettingsParserOfTheSimulator) {
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
  EXPECT_TRUE(config.known[0].is_full_list);

  const auto& record = config.known[0].records.at(0);
  EXPECT_EQ(record.entry.engine, 0x00c41f7aU);
  EXPECT_EQ(record.entry.zone, 1U);
  EXPECT_EQ(record.entry.kind, 1U);
  EXPECT_EQ(record.address, 0x7f010009U);
}

TEST(PlatformConfig, EveryInvalidFileIsReportedAsAProblem) {
  EXPECT_TRUE(std::holds_alternative<platform::Problem>(platform::read_config("/nowhere/config.json")));
  const std::string complete = config_text();
  for (std::size_t size = 0; size < complete.size(); size += 97) {
    const auto config = platform::parse_config(complete.substr(0, size));
    EXPECT_TRUE(std::holds_alternative<platform::Problem>(config)) << size;
  }
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
  for (const auto& [from, to] : changes) {
    const auto config = platform::parse_config(config_text(from, to));
    EXPECT_TRUE(std::holds_alternative<platform::Problem>(config)) << to;
  }
}

}  // namespace
}  // namespace paddlestand
