/// Tests with libpq, an independent implementation of the protocol, as the client of a real manager with one
/// test engine.
#include <gtest/gtest.h>
#include <libpq-fe.h>

#include <array>
#include <memory>

#include "../service/service_harness.hpp"

namespace paddlestand::service::test {
namespace {

using Connection = std::unique_ptr<PGconn, void (*)(PGconn*)>;
using Result = std::unique_ptr<PGresult, void (*)(PGresult*)>;

/// The settings of a manager with one engine on this port of the local host.
config::ManagerConfig make_config(std::uint16_t engine_port) {
  const std::string text = R"(<manager xmlns="urn:paddlestand:manager:1" name="m"><listen port="0"/>
            <kinds><kind name="std" cores="8" memory-mb="16384"/></kinds>
            <classes otherwise="q"><class name="q" aim="5s" deadline="15s" late-worth="1" repeat="safe"/></classes>
            <decisions/><log level="error"/><engines><engine id="1" name="e" address="127.0.0.1" kind="std" port=")" +
                           std::to_string(engine_port) + R"("/></engines></manager>)";
  return std::get<config::ManagerConfig>(config::parse_manager_config(text, "test"));
}

/// A manager with one test engine.
class Libpq : public ::testing::Test {
 protected:
  Libpq()
      : manager_([&](auto& io) {
          return std::make_unique<PostgresServer>(io, make_config(engine_->port()), "", trusted_users(), "");
        }) {}

  /// Connects to the manager. `parameters`: additional parameters of the connection string.
  Connection connect(const std::string& parameters = "") {
    const auto port = manager_.run([](PostgresServer& server) { return server.port(); });
    const std::string connection_string =
        "host=127.0.0.1 user=ann dbname=charts port=" + std::to_string(port) + " " + parameters;
    return {PQconnectdb(connection_string.c_str()), PQfinish};
  }

  Engine engine_;
  EventLoopThread<PostgresServer> manager_;
};

TEST_F(Libpq, ExecutesQueriesAndReadsErrors) {
  const auto connection = connect("sslmode=prefer options='-c statement_timeout=10s'");
  ASSERT_EQ(PQstatus(connection.get()), CONNECTION_OK) << PQerrorMessage(connection.get());
  EXPECT_STREQ(PQparameterStatus(connection.get(), "server_encoding"), "UTF8");

  const Result rows(PQexec(connection.get(), "select 1 /*sim_rows='3'*/"), PQclear);
  ASSERT_EQ(PQresultStatus(rows.get()), PGRES_TUPLES_OK) << PQerrorMessage(connection.get());
  EXPECT_EQ(PQntuples(rows.get()), 3);

  const Result empty(PQexec(connection.get(), ""), PQclear);
  EXPECT_EQ(PQresultStatus(empty.get()), PGRES_EMPTY_QUERY);

  const Result shown(PQexec(connection.get(), "show statement_timeout"), PQclear);
  EXPECT_STREQ(PQgetvalue(shown.get(), 0, 0), "10s");

  const Result rejected(PQexec(connection.get(), "begin"), PQclear);
  EXPECT_STREQ(PQresultErrorField(rejected.get(), PG_DIAG_SQLSTATE), "0A000");

  const Result failed(PQexec(connection.get(), "select 1 /*sim_error='42601'*/"), PQclear);
  EXPECT_STREQ(PQresultErrorField(failed.get(), PG_DIAG_SQLSTATE), "42601");

  const Result next(PQexec(connection.get(), "select 1"), PQclear);
  EXPECT_EQ(PQresultStatus(next.get()), PGRES_TUPLES_OK);
}

TEST_F(Libpq, PreparesAndBindsParameters) {
  const auto connection = connect();

  const Result prepared(PQprepare(connection.get(), "s", "select $1 /*sim_rows='2'*/", 0, nullptr), PQclear);
  ASSERT_EQ(PQresultStatus(prepared.get()), PGRES_COMMAND_OK) << PQerrorMessage(connection.get());
  const std::array<const char*, 1> values{"x"};

  for (int i = 0; i < 3; ++i) {
    const Result rows(PQexecPrepared(connection.get(), "s", 1, values.data(), nullptr, nullptr, 0), PQclear);
    ASSERT_EQ(PQresultStatus(rows.get()), PGRES_TUPLES_OK) << PQerrorMessage(connection.get());
    EXPECT_EQ(PQntuples(rows.get()), 2);
  }

  const Result described(PQdescribePrepared(connection.get(), "s"), PQclear);
  EXPECT_EQ(PQnfields(described.get()), 1);

  const Result unknown(PQexecPrepared(connection.get(), "t", 1, values.data(), nullptr, nullptr, 0), PQclear);
  EXPECT_STREQ(PQresultErrorField(unknown.get(), PG_DIAG_SQLSTATE), "26000");
}

TEST_F(Libpq, SendsPipelinedQueries) {
  const auto connection = connect();
  ASSERT_EQ(PQenterPipelineMode(connection.get()), 1);
  const std::array<const char*, 1> values{"x"};

  for (int i = 0; i < 20; ++i) {
    ASSERT_EQ(
        PQsendQueryParams(connection.get(), "select $1", 1, nullptr, values.data(), nullptr, nullptr, 0), 1);
    ASSERT_EQ(PQpipelineSync(connection.get()), 1);
  }

  for (int i = 0; i < 20; ++i) {
    const Result rows(PQgetResult(connection.get()), PQclear);
    ASSERT_EQ(PQresultStatus(rows.get()), PGRES_TUPLES_OK) << i << PQerrorMessage(connection.get());
    EXPECT_EQ(PQgetResult(connection.get()), nullptr);
    const Result sync(PQgetResult(connection.get()), PQclear);
    ASSERT_EQ(PQresultStatus(sync.get()), PGRES_PIPELINE_SYNC);
  }
}

TEST_F(Libpq, CancelsARunningQuery) {
  const auto connection = connect();
  ASSERT_EQ(PQsendQuery(connection.get(), "select 1 /*sim_work_ms='60000'*/"), 1);
  ASSERT_TRUE(wait_until([&] {
    return manager_.run([](PostgresServer& server) { return server.counts().attempts_out; }) == 1;
  }));

  PGcancel* cancel = PQgetCancel(connection.get());
  std::array<char, 256> error_message{};
  EXPECT_EQ(PQcancel(cancel, error_message.data(), static_cast<int>(error_message.size())), 1)
      << error_message.data();
  PQfreeCancel(cancel);

  const Result answer(PQgetResult(connection.get()), PQclear);
  EXPECT_STREQ(PQresultErrorField(answer.get(), PG_DIAG_SQLSTATE), "57014");
}

}  // namespace
}  // namespace paddlestand::service::test
