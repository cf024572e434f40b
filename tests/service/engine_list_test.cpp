/// Changes of the PostgreSQL service's engine list, by reloads of the settings file and by the engine list
/// file; and the rejection of logins by a draining test engine.
#include "failure_fixtures.hpp"

namespace paddlestand::service::test {
namespace {

/// Two test engines that write to the same truth log, and a folder for the manager's files.
class EngineList : public ::testing::Test {
 protected:
  EngineList() : first_(engine_settings("first")), second_(engine_settings("second")) {}

  [[nodiscard]] test_engine::TestEngineSettings engine_settings(const std::string& name) const {
    test_engine::TestEngineSettings settings;
    settings.name = name;
    settings.truth_log = folder_.path("truth.jsonl");
    return settings;
  }
  /// The engine that logged the last event of the query with this sim_id; empty if none did.
  [[nodiscard]] std::string last_engine_of(const std::string& id) const {
    const auto events = events_of(folder_.path("truth.jsonl"), id);
    return events.empty() ? "" : events.back()["engine"].get<std::string>();
  }

  const TemporaryFolder folder_;
  Engine first_;
  Engine second_;
};

// Guards against a reload that does not read an invalid settings file again after the file was corrected. The
// manager must get the path of that file: without a path, the reload would fail because it cannot read any
// file, not because the settings are invalid.
TEST_F(EngineList, InvalidSettingsAreReadAgainUntilTheyAreCorrected) {
  RunningManager manager(manager_settings({first_->port()}), trusted_users(), folder_.path("manager.xml"));
  RawClient client(manager.port());

  folder_.write("manager.xml", "<manager");
  manager.reload();
  EXPECT_EQ(client.execute("select 1 /*cost_ms='1',sim_id='a'*/"), "TDCZ");
  EXPECT_EQ(last_engine_of("a"), "first");

  std::string corrected = manager_settings({second_->port()});
  corrected.replace(corrected.find("id=\"1\""), 6, "id=\"2\"");  // a different engine than before
  folder_.replace("manager.xml", corrected);
  const auto is_sent_to_second = [&] {
    EXPECT_EQ(client.execute("select 1 /*cost_ms='1',sim_id='b'*/"), "TDCZ");
    return last_engine_of("b") == "second";
  };
  EXPECT_TRUE(wait_until(is_sent_to_second));
}

// Guards against queries that are sent to an engine's previous address, on a channel that was idle.
TEST_F(EngineList, QueriesAreSentToTheNewAddressOfAnEngineWithTheSameId) {
  RunningManager manager(manager_settings({first_->port()}), trusted_users(), folder_.path("manager.xml"));
  RawClient client(manager.port());
  ASSERT_EQ(client.execute("select 1 /*cost_ms='1',sim_id='a'*/"), "TDCZ");

  folder_.replace("manager.xml", manager_settings({second_->port()}));
  manager.reload();
  ASSERT_EQ(client.execute("select 1 /*cost_ms='1',sim_id='b'*/"), "TDCZ");

  EXPECT_EQ(last_engine_of("b"), "second");
}

// Guards against a memory leak: state about engines that are no longer listed.
TEST_F(EngineList, TenThousandEnginesAreForgottenOnceTheyAreNoLongerListed) {
  constexpr int list_count = 50;
  constexpr int engines_in_a_list = 200;
  constexpr std::uint16_t unused_port = 1;
  folder_.replace_engine_list("</engines>");
  RunningManager manager(manager_settings_with_list_file(), trusted_users(), folder_.path("manager.xml"));

  int next_id = 1;
  for (int list_index = 0; list_index < list_count; ++list_index) {
    std::string list;
    for (int i = 0; i < engines_in_a_list; ++i) list += engine_element(next_id++, unused_port, "ready");
    folder_.replace_engine_list(list + "</engines>");
    ASSERT_TRUE(wait_until([&] { return manager.knows_engine(static_cast<EngineId>(next_id - 1)); }))
        << list_index;
  }

  EXPECT_EQ(manager.known_engines(), static_cast<std::size_t>(engines_in_a_list));
}

// Guards against a test engine that closes the connection before its error is written, so that managers see
// a protocol failure instead of a rejected login.
TEST_F(EngineList, ADrainingTestEngineRejectsALoginWithAnErrorCode) {
  first_.command("drain");

  EXPECT_EQ(scram_login(first_->port(), "ann", "secret"), "57P03");
}

}  // namespace
}  // namespace paddlestand::service::test
