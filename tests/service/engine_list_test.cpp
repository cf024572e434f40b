/// Engines of the PostgreSQL service that come, go and move: by reloads of the settings, by the engine list's
/// file, and by their own refusal.
#include "failure_fixtures.hpp"

namespace paddlestand::service::test {
namespace {

/// Two engines that log to one file, and a folder for the manager's files.
class EngineList : public ::testing::Test {
 protected:
  EngineList() : first_(settings_named("first")), second_(settings_named("second")) {}

  [[nodiscard]] test_engine::TestEngineSettings settings_named(const std::string& name) const {
    test_engine::TestEngineSettings settings;
    settings.name = name;
    settings.truth_log = folder_.path("truth.jsonl");
    return settings;
  }
  /// The engine that got the query with this sim_id last; empty: none has.
  [[nodiscard]] std::string engine_of(const std::string& id) const {
    const auto events = events_of(folder_.path("truth.jsonl"), id);
    return events.empty() ? "" : events.back()["engine"].get<std::string>();
  }

  const FilesFolder folder_;
  Engine first_;
  Engine second_;
};

// Guards against a reload that reads no file: a test of it once named none, and tested an unreadable one.
TEST_F(EngineList, FaultySettingsAreReadAgainUntilTheyAreCorrected) {
  RunningManager manager(manager_settings({first_->port()}), trusted_users(), folder_.path("manager.xml"));
  RawClient client(manager.port());

  folder_.write("manager.xml", "<manager");
  manager.reload();
  EXPECT_EQ(client.execute("select 1 /*cost_ms='1',sim_id='a'*/"), "TDCZ");
  EXPECT_EQ(engine_of("a"), "first");

  std::string corrected = manager_settings({second_->port()});
  corrected.replace(corrected.find("id=\"1\""), 6, "id=\"2\"");  // not the engine that was listed before
  folder_.replace("manager.xml", corrected);
  const auto is_sent_to_second = [&] {
    EXPECT_EQ(client.execute("select 1 /*cost_ms='1',sim_id='b'*/"), "TDCZ");
    return engine_of("b") == "second";
  };
  EXPECT_TRUE(wait_until(is_sent_to_second));
}

// Guards against queries that go on to the earlier address of an engine, on a channel that was idle.
TEST_F(EngineList, AnEngineThatMovesUnderItsIdGetsItsQueriesAtTheNewAddress) {
  RunningManager manager(manager_settings({first_->port()}), trusted_users(), folder_.path("manager.xml"));
  RawClient client(manager.port());
  ASSERT_EQ(client.execute("select 1 /*cost_ms='1',sim_id='a'*/"), "TDCZ");

  folder_.replace("manager.xml", manager_settings({second_->port()}));
  manager.reload();
  ASSERT_EQ(client.execute("select 1 /*cost_ms='1',sim_id='b'*/"), "TDCZ");

  EXPECT_EQ(engine_of("b"), "second");
}

// Guards against state that grows with every engine that was ever listed.
TEST_F(EngineList, TenThousandEnginesThatCameAndWentAreForgotten) {
  constexpr int rolls = 50;
  constexpr int engines_in_a_list = 200;
  constexpr std::uint16_t unused_port = 1;
  folder_.replace_engine_list("</engines>");
  RunningManager manager(manager_settings_with_list_file(), trusted_users(), folder_.path("manager.xml"));

  int next_id = 1;
  for (int roll = 0; roll < rolls; ++roll) {
    std::string list;
    for (int i = 0; i < engines_in_a_list; ++i) list += engine_element(next_id++, unused_port, "ready");
    folder_.replace_engine_list(list + "</engines>");
    ASSERT_TRUE(wait_until([&] { return manager.knows_engine(static_cast<EngineId>(next_id - 1)); })) << roll;
  }

  EXPECT_EQ(manager.known_engines(), static_cast<std::size_t>(engines_in_a_list));
}

// Guards against a test engine whose refusal is closed before it was written: managers saw a broken login.
TEST_F(EngineList, ADrainingTestEngineSaysWhyItRefusesASession) {
  first_.command("drain");

  EXPECT_EQ(scram_login(first_->port(), "ann", "secret"), "57P03");
}

}  // namespace
}  // namespace paddlestand::service::test
