// An independent client of the protocol, libpq, through a real manager to a test engine: what drivers do.
#include <gtest/gtest.h>
#include <libpq-fe.h>

#include <memory>

#include "../service/service_harness.hpp"

namespace paddlestand::service::test {
namespace {

using Connection = std::unique_ptr<PGconn, void (*)(PGconn*)>;
using Answer = std::unique_ptr<PGresult, void (*)(PGresult*)>;

class Libpq : public ::testing::Test {
 protected:
  Libpq()
      : manager_([&](auto& io) {
          const std::string text = R"(<manager xmlns="urn:paddlestand:manager:1" name="m"><listen port="0"/>
            <kinds><kind name="std" cores="8" memory-mb="16384"/></kinds>
            <classes otherwise="q"><class name="q" aim="5s" deadline="15s" late-worth="1" repeat="safe"/></classes>
            <decisions/><log level="error"/><engines><engine id="1" name="e" address="127.0.0.1" kind="std" port=")" +
                                   std::to_string(engine_->port()) + R"("/></engines></manager>)";
          pg::Users users;
          users.trust = true;
          return std::make_unique<PostgresServer>(
              io, std::get<config::ManagerConfig>(config::parse_manager_config(text, "test")), "", users, "");
        }) {}

  Connection connect(const std::string& more = "") {
    const auto port = manager_.run([](PostgresServer& m) { return m.port(); });
    const std::string text =
        "host=127.0.0.1 user=ann dbname=charts port=" + std::to_string(port) + " " + more;
    return {PQconnectdb(text.c_str()), PQfinish};
  }

  Engine engine_;
  Thread<PostgresServer> manager_;
};

TEST_F(Libpq, ConnectsAsksAndReadsErrors) {
  const auto c = connect("sslmode=prefer options='-c statement_timeout=10s'");
  ASSERT_EQ(PQstatus(c.get()), CONNECTION_OK) << PQerrorMessage(c.get());
  EXPECT_STREQ(PQparameterStatus(c.get(), "server_encoding"), "UTF8");
  const Answer rows(PQexec(c.get(), "select 1 /*sim_rows='3'*/"), PQclear);
  ASSERT_EQ(PQresultStatus(rows.get()), PGRES_TUPLES_OK) << PQerrorMessage(c.get());
  EXPECT_EQ(PQntuples(rows.get()), 3);
  const Answer none(PQexec(c.get(), ""), PQclear);
  EXPECT_EQ(PQresultStatus(none.get()), PGRES_EMPTY_QUERY);
  const Answer shown(PQexec(c.get(), "show statement_timeout"), PQclear);
  EXPECT_STREQ(PQgetvalue(shown.get(), 0, 0), "10s");
  const Answer refused(PQexec(c.get(), "begin"), PQclear);
  EXPECT_STREQ(PQresultErrorField(refused.get(), PG_DIAG_SQLSTATE), "0A000");
  const Answer wrong(PQexec(c.get(), "select 1 /*sim_error='42601'*/"), PQclear);
  EXPECT_STREQ(PQresultErrorField(wrong.get(), PG_DIAG_SQLSTATE), "42601");
  const Answer again(PQexec(c.get(), "select 1"), PQclear);
  EXPECT_EQ(PQresultStatus(again.get()), PGRES_TUPLES_OK);
}

TEST_F(Libpq, PreparesAndBindsParameters) {
  const auto c = connect();
  const Answer prepared(PQprepare(c.get(), "s", "select $1 /*sim_rows='2'*/", 0, nullptr), PQclear);
  ASSERT_EQ(PQresultStatus(prepared.get()), PGRES_COMMAND_OK) << PQerrorMessage(c.get());
  const char* values[] = {"x"};
  for (int i = 0; i < 3; ++i) {
    const Answer rows(PQexecPrepared(c.get(), "s", 1, values, nullptr, nullptr, 0), PQclear);
    ASSERT_EQ(PQresultStatus(rows.get()), PGRES_TUPLES_OK) << PQerrorMessage(c.get());
    EXPECT_EQ(PQntuples(rows.get()), 2);
  }
  const Answer described(PQdescribePrepared(c.get(), "s"), PQclear);
  EXPECT_EQ(PQnfields(described.get()), 1);
  const Answer unknown(PQexecPrepared(c.get(), "t", 1, values, nullptr, nullptr, 0), PQclear);
  EXPECT_STREQ(PQresultErrorField(unknown.get(), PG_DIAG_SQLSTATE), "26000");
}

TEST_F(Libpq, Pipelines) {
  const auto c = connect();
  ASSERT_EQ(PQenterPipelineMode(c.get()), 1);
  const char* values[] = {"x"};
  for (int i = 0; i < 20; ++i) {
    ASSERT_EQ(PQsendQueryParams(c.get(), "select $1", 1, nullptr, values, nullptr, nullptr, 0), 1);
    ASSERT_EQ(PQpipelineSync(c.get()), 1);
  }
  for (int i = 0; i < 20; ++i) {
    const Answer rows(PQgetResult(c.get()), PQclear);
    ASSERT_EQ(PQresultStatus(rows.get()), PGRES_TUPLES_OK) << i << PQerrorMessage(c.get());
    EXPECT_EQ(PQgetResult(c.get()), nullptr);
    const Answer sync(PQgetResult(c.get()), PQclear);
    ASSERT_EQ(PQresultStatus(sync.get()), PGRES_PIPELINE_SYNC);
  }
}

TEST_F(Libpq, CancelsWhatRuns) {
  const auto c = connect();
  ASSERT_EQ(PQsendQuery(c.get(), "select 1 /*sim_work_ms='60000'*/"), 1);
  ASSERT_TRUE(comes_true(
      [&] { return manager_.run([](PostgresServer& m) { return m.counts().attempts_out; }) == 1; }));
  PGcancel* cancel = PQgetCancel(c.get());
  char problem[256];
  EXPECT_EQ(PQcancel(cancel, problem, sizeof(problem)), 1) << problem;
  PQfreeCancel(cancel);
  const Answer answer(PQgetResult(c.get()), PQclear);
  EXPECT_STREQ(PQresultErrorField(answer.get(), PG_DIAG_SQLSTATE), "57014");
}

}  // namespace
}  // namespace paddlestand::service::test
