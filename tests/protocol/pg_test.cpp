/// PostgreSQL's protocol without sockets: framing, clients' sessions, connections to engines, SCRAM,
/// SQLSTATEs.
#include <gtest/gtest.h>

#include "pg_fixtures.hpp"
#include "protocol/pg/bytes.hpp"
#include "protocol/pg/scram.hpp"
#include "protocol/pg/sqlstate.hpp"

namespace paddlestand::pg::test {
namespace {

using namespace std::chrono_literals;

TEST(FrameReader, ReadsByteByByteAndRejectsImpossibleLengthsBeforeBuffering) {
  std::string bytes;
  put_query(bytes, "select 1");
  put_empty(bytes, 'S');
  FrameReader reader(100);
  std::string types;

  for (const char c : bytes) {
    reader.feed({&c, 1});
    while (const auto frame = reader.next()) types.push_back(frame->type);
  }

  EXPECT_EQ(types, "QS");

  reader.feed({"Q\x40\0\0\0", 5});  // a gigabyte
  EXPECT_FALSE(reader.next());
  EXPECT_TRUE(reader.bad());
  EXPECT_NE(reader.problem().find("1073741824"), std::string::npos);

  FrameReader small(100);
  small.feed({"Q\0\0\0\3", 5});
  EXPECT_FALSE(small.next());
  EXPECT_TRUE(small.bad());
}

TEST(FrontendSession, LogsInByteByByteAfterDecliningTls) {
  FrontendSession frontend({}, trusted_users(), {7, 8}, "nonce");
  std::string bytes;
  Writer(bytes).begin_untyped().u32(ssl_code).end();
  bytes += startup_message();

  bool started = false;
  for (const char c : bytes) {
    frontend.feed({&c, 1});
    while (const auto event = frontend.next()) started |= std::holds_alternative<FrontendStarted>(*event);
  }

  EXPECT_TRUE(started);
  ASSERT_EQ(frontend.out()[0], 'N');
  EXPECT_EQ(frontend.user(), "ann");
  const std::string types = types_of(frontend.out().substr(1));
  EXPECT_EQ(types.front(), 'R');
  EXPECT_EQ(types.substr(types.size() - 2), "KZ");
}

TEST(FrontendSession, PipelinedSimpleQueriesAreSubmittedOneAtATime) {
  LoggedInSession session;
  std::string bytes;
  for (int i = 0; i < 1000; ++i) put_query(bytes, "select " + std::to_string(i));
  session.frontend.feed(bytes);

  for (int i = 0; i < 1000; ++i) {
    const auto request = session.next_request();
    ASSERT_TRUE(request);
    EXPECT_EQ(request->text, "select " + std::to_string(i));
    EXPECT_EQ(request->statement_timeout, 900ms);
    EXPECT_FALSE(session.frontend.next());  // until it is answered
    session.frontend.request_done({});
  }

  EXPECT_EQ(types_of(session.extract_output()), std::string(1000, 'Z'));
}

TEST(FrontendSession, UnsupportedStatementsAreRejectedAndTheSessionContinues) {
  for (const char* text :
       {"begin", "START TRANSACTION", "copy t from stdin", "listen x", "select 1; commit", "/* a */ rollback",
        "create temp table x(a int)", "declare c cursor for select 1", "select 1 into temp y"}) {
    LoggedInSession session;
    std::string bytes;
    put_query(bytes, text);
    put_query(bytes, "select ';begin' /* ;commit */ -- ;begin\n , $$;begin$$, \"begin\"");
    session.frontend.feed(bytes);

    const auto request = session.next_request();
    ASSERT_TRUE(request) << text;
    const std::string out = session.extract_output();
    EXPECT_EQ(types_of(out), "EZ") << text;
    EXPECT_EQ(error_code(out), "0A000") << text;
  }

  LoggedInSession session;
  std::string bytes;
  put_raw(bytes, 'F', "xxxx");
  session.frontend.feed(bytes);

  EXPECT_FALSE(session.frontend.next());
  EXPECT_EQ(error_code(session.extract_output()), "0A000");
}

TEST(FrontendSession, AnswersSetShowAndResetItself) {
  LoggedInSession session;
  std::string bytes;
  put_query(bytes, "SET extra_float_digits = 3; set timezone to 'Europe/Berlin'; show timezone");
  put_query(bytes, "SET datestyle TO ISO, DMY");
  put_query(bytes, "reset timezone");
  put_query(bytes, "set search_path = x");
  put_query(bytes, "set statement_timeout = '2s'");
  put_query(bytes, "select 1");
  session.frontend.feed(bytes);

  const auto request = session.next_request();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->statement_timeout, 2s);
  const std::map<std::string, std::string> wanted{{"datestyle", "iso, dmy"}, {"extra_float_digits", "3"}};
  EXPECT_EQ(request->query.settings, wanted);
  const std::string out = session.extract_output();
  EXPECT_EQ(types_of(out), "CSCTDCZSCZSCZEZCZ");
  EXPECT_EQ(error_code(out), "0A000");
}

TEST(FrontendSession, PreparedStatementsAreParsedAtTheEngineWhenNeeded) {
  LoggedInSession session;
  std::string bytes;
  append_parse(bytes, "s1", "select $1");
  put_empty(bytes, 'S');
  session.frontend.feed(bytes);

  auto request = session.next_request();
  ASSERT_TRUE(request);
  EXPECT_EQ(types_of(request->query.bytes), "PS");

  BackendAnswerEnd end;
  end.parses_shown = 1;
  session.frontend.request_done(end);

  bytes.clear();
  append_bind(bytes, "s1");
  append_execute(bytes);
  append_bind(bytes, "s1");
  append_execute(bytes);
  put_empty(bytes, 'S');
  append_bind(bytes, "s2");  // no such statement
  append_execute(bytes);
  put_empty(bytes, 'S');
  session.frontend.feed(bytes);

  request = session.next_request();
  ASSERT_TRUE(request);
  EXPECT_EQ(types_of(request->query.bytes), "PBEBES");  // one Parse for both
  EXPECT_EQ(request->query.parse_shown, std::vector<bool>{false});
  EXPECT_EQ(request->text, "select $1");

  session.extract_output();
  session.frontend.request_done({});
  EXPECT_FALSE(session.frontend.next());
  const std::string out = session.extract_output();
  EXPECT_EQ(types_of(out), "ZEZ");
  EXPECT_EQ(error_code(out), "26000");
}

TEST(FrontendSession, AStatementWhoseParseFailedDoesNotExist) {
  LoggedInSession session;
  std::string bytes;
  append_parse(bytes, "bad", "selec 1");
  put_empty(bytes, 'S');
  session.frontend.feed(bytes);

  ASSERT_TRUE(session.next_request());
  BackendAnswerEnd end;
  end.error_code = "42601";
  session.frontend.request_done(end);

  bytes.clear();
  put_named(bytes, 'D', 'S', "bad");
  put_empty(bytes, 'S');
  session.extract_output();
  session.frontend.feed(bytes);

  EXPECT_FALSE(session.next_request());
  EXPECT_EQ(error_code(session.extract_output()), "26000");
}

TEST(FrontendSession, AnErrorAfterAFlushSkipsMessagesUpToTheSync) {
  LoggedInSession session;
  std::string bytes;
  append_parse(bytes, "", "select 1");
  put_named(bytes, 'D', 'S', "");
  put_empty(bytes, 'H');
  session.frontend.feed(bytes);

  const auto request = session.next_request();
  ASSERT_TRUE(request);
  EXPECT_EQ(types_of(request->query.bytes), "PDS");

  session.frontend.request_failed(error("53400", "refused"));
  EXPECT_EQ(types_of(session.extract_output()), "E");  // no ReadyForQuery before its Sync

  bytes.clear();
  append_bind(bytes, "");
  append_execute(bytes);
  put_empty(bytes, 'S');
  session.frontend.feed(bytes);

  EXPECT_FALSE(session.next_request());
  EXPECT_EQ(types_of(session.extract_output()), "Z");
}

TEST(FrontendSession, AnswersSettingsInTheExtendedProtocol) {
  LoggedInSession session;
  std::string bytes;
  append_parse(bytes, "", "SHOW transaction isolation level");
  append_bind(bytes, "");
  put_named(bytes, 'D', 'P', "");
  append_execute(bytes);
  put_empty(bytes, 'S');
  session.frontend.feed(bytes);

  EXPECT_FALSE(session.next_request());
  EXPECT_EQ(types_of(session.extract_output()), "12TDCZ");
}

TEST(FrontendSession, EachMalformedMessageIsAnsweredWithOneError) {
  for (const char type : std::string("PBDEC")) {
    LoggedInSession session;
    std::string bytes;
    put_raw(bytes, type, {"S\xff", 2});
    put_empty(bytes, 'S');
    put_query(bytes, "select 1");
    session.frontend.feed(bytes);

    EXPECT_TRUE(session.next_request()) << type;
    EXPECT_EQ(types_of(session.extract_output()), "EZ") << type;
  }
  for (const char type : std::string("Q?p")) {
    LoggedInSession session;
    std::string bytes;
    put_raw(bytes, type, "unended");
    session.frontend.feed(bytes);

    EXPECT_TRUE(std::holds_alternative<FrontendClosed>(*session.frontend.next())) << type;
    EXPECT_EQ(error_code(session.extract_output()), "08P01") << type;
  }
  LoggedInSession session;
  std::string bytes;
  put_query(bytes, "select '\xc3\x28'");
  session.frontend.feed(bytes);

  EXPECT_FALSE(session.next_request());
  EXPECT_EQ(error_code(session.extract_output()), "22021");
}

TEST(FrontendSession, PreparedStatementsAreLimited) {
  FrontendSettings settings;
  settings.max_statements = 2;
  LoggedInSession session(settings);
  for (const char* name : {"a", "b", "c"}) {
    std::string bytes;
    append_parse(bytes, name, "select 1");
    put_empty(bytes, 'S');
    session.frontend.feed(bytes);
    if (session.next_request()) {
      BackendAnswerEnd end;
      end.parses_shown = 1;
      session.frontend.request_done(end);
    }
  }

  EXPECT_EQ(error_code(session.extract_output()), "54000");
}

TEST(BackendConnection, SettingsAreSentBeforeTheQueryOnlyWhereTheyDiffer) {
  LoggedInConnection engine;

  EXPECT_EQ(types_of(engine.connection.flight(simple_query("select 1"), 2, 100)), "QQ");

  std::string set_answer;
  put_complete(set_answer, "SET");
  put_ready(set_answer, 'I');
  engine.feed(set_answer + engine_answer("x"));

  ASSERT_EQ(engine.events.size(), 1U);
  const auto& end = std::get<BackendAnswerEnd>(engine.events[0]);
  EXPECT_EQ(end.ending, core::Ending::complete);
  EXPECT_EQ(end.work, 12500us);
  EXPECT_EQ(end.report.queries, 3);
  EXPECT_EQ(types_of(engine.connection.answer()), "TDC");  // the engine's reports are not for the client

  EXPECT_EQ(types_of(engine.connection.flight(simple_query("select 1"), 2, 100)), "Q");

  EXPECT_EQ(settings_change({{"work_mem", "5MB"}, {"timezone", "UTC"}}, {{"timezone", "X'Y"}}),
            "RESET work_mem;SET timezone='X''Y';");
}

TEST(BackendConnection, ReadsAnAnswerByteByByte) {
  LoggedInConnection engine;
  engine.connection.flight(simple_query("select 1"), 0, 0);
  std::string set_answer;
  put_complete(set_answer, "SET");
  put_ready(set_answer, 'I');

  for (const char c : set_answer + engine_answer("x")) engine.feed({&c, 1});

  EXPECT_EQ(types_of(engine.connection.answer()), "TDC");
  EXPECT_TRUE(std::holds_alternative<BackendAnswerEnd>(engine.events.back()));
}

TEST(BackendConnection, AnOpenTransactionMakesTheConnectionNotReusable) {
  LoggedInConnection engine;
  engine.connection.flight(simple_query("select 1"), 0, 0);
  std::string set_answer;
  put_ready(set_answer, 'I');

  engine.feed(set_answer + engine_answer("x", 'T'));

  EXPECT_FALSE(std::get<BackendAnswerEnd>(engine.events.back()).reusable);
}

TEST(BackendConnection, ErrorsAreClassifiedBySqlstate) {
  const auto ending = [](const char* code) {
    LoggedInConnection engine;
    engine.connection.flight(simple_query("select 1"), 0, 0);
    std::string bytes;
    put_ready(bytes, 'I');
    put_error(bytes, error(code, "x"));
    put_ready(bytes, 'I');

    engine.feed(bytes);
    return std::get<BackendAnswerEnd>(engine.events.back()).ending;
  };

  EXPECT_EQ(ending("42601"), core::Ending::complete);
  EXPECT_EQ(ending("23505"), core::Ending::complete);
  EXPECT_EQ(ending("53300"), core::Ending::full);
  EXPECT_EQ(ending("57014"), core::Ending::cancelled);
  EXPECT_EQ(ending("XX000"), core::Ending::engine_error);
  EXPECT_EQ(ending("53200"), core::Ending::engine_error);

  EXPECT_EQ(ending_of_error("53300", true), core::Ending::engine_error);
}

TEST(BackendConnection, LargeRowsPassThroughAndOtherLargeMessagesAreRejected) {
  LoggedInConnection engine;
  engine.connection.flight(simple_query("select 1"), 0, 0);
  std::string set_answer;
  put_ready(set_answer, 'I');
  std::string row;
  const std::string large_value(1U << 20U, 'x');
  const std::string_view cell = large_value;
  put_row(row, {&cell, 1});

  engine.feed(set_answer + row.substr(0, 70000));
  EXPECT_TRUE(engine.connection.mid_message());
  EXPECT_EQ(engine.connection.answer().size(), 70000U);

  engine.feed(row.substr(70000));
  EXPECT_FALSE(engine.connection.mid_message());

  engine.feed({"S\x10\0\0\0", 5});
  EXPECT_TRUE(std::holds_alternative<BackendBroken>(engine.events.back()));
}

TEST(BackendConnection, ProtocolViolationsBreakIt) {
  for (const std::string& bytes :
       {std::string("Z\0\0\0\5T", 6), std::string("?\0\0\0\4", 5), std::string("D\0\0\0\1", 5)}) {
    LoggedInConnection engine;
    engine.feed(bytes);

    ASSERT_FALSE(engine.events.empty());
    EXPECT_TRUE(std::holds_alternative<BackendBroken>(engine.events.back()));
    EXPECT_EQ(engine.events.size(), 1U);
  }
}

TEST(BackendConnection, ProgressNoticesAreNotPassedToTheClient) {
  LoggedInConnection engine;
  engine.connection.flight(simple_query("select 1"), 0, 0);
  std::string bytes;
  put_ready(bytes, 'I');
  put_notice(bytes, {"NOTICE", "01P5T", "progress=0.25", "", ""});
  put_notice(bytes, {"NOTICE", "01000", "for the client", "", ""});
  engine.feed(bytes);

  EXPECT_EQ(std::get<BackendProgress>(engine.events.at(0)).level, 0.25);
  EXPECT_EQ(types_of(engine.connection.answer()), "N");
}

TEST(Scram, VerifierOfRfc7677AuthenticatesItsPassword) {
  ScramClient client("pencil", "rOprNGfwEbeRWgbNEkqO");
  // The vector names a user in client-first; PostgreSQL's clients leave it empty, and so does this one: the
  // exchange is checked against itself, the verifier against a known one.

  const auto salt = from_base64("W22ZaJ0SNY7soEsUEjb6gQ==");
  const auto verifier = Verifier::of_password("pencil", *salt);
  EXPECT_EQ(verifier.text(),
            "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:"
            "wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=");

  ScramServer server(*Verifier::parse(verifier.text()), true, "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0");
  const auto first = server.first(client.first());
  ASSERT_TRUE(first);
  const auto last = client.last(*first);
  ASSERT_TRUE(last);
  const auto proof = server.last(*last);
  ASSERT_TRUE(proof);
  EXPECT_TRUE(client.verify(*proof));
  EXPECT_FALSE(client.verify("v=" + base64(std::string(32, 'x'))));
}

TEST(Scram, WrongPasswordsUnknownUsersAndModifiedMessagesFail) {
  const auto verifier = Verifier::of_password("right", "0123456789abcdef");
  enum class Message { original, modified };
  const auto authenticates = [&](const char* password, bool known, Message client_final) {
    ScramClient client(password, "cnonce");
    ScramServer server(verifier, known, "snonce");
    auto last = *client.last(*server.first(client.first()));
    if (client_final == Message::modified) last.replace(last.find("r=cnonce"), 8, "r=Cnonce");
    return server.last(last).has_value();
  };

  EXPECT_TRUE(authenticates("right", true, Message::original));
  EXPECT_FALSE(authenticates("wrong", true, Message::original));
  EXPECT_FALSE(authenticates("right", false, Message::original));
  EXPECT_FALSE(authenticates("right", true, Message::modified));

  EXPECT_FALSE(Verifier::parse("SCRAM-SHA-256$99999999:AAAA$AAAA:AAAA"));
  EXPECT_FALSE(Verifier::parse("md5abc"));
  EXPECT_FALSE(ScramServer(verifier, true, "n").first("p=tls-unique,,n=,r=x"));
}

TEST(Sqlstate, AdviceInAnErrorsHintIsReadBack) {
  core::Answer answer;
  answer.kind = core::AnswerKind::rejected;
  answer.retry_safety = core::RetrySafety::safe;
  answer.retry_after = 120ms;

  const Fields fields = fields_of(answer);
  EXPECT_EQ(fields.code, "53400");
  const Advice advice = read_advice(fields.hint);
  EXPECT_EQ(advice.retry_after, 120ms);
  EXPECT_EQ(advice.harmless, true);

  answer.kind = core::AnswerKind::failed;
  answer.retry_safety = core::RetrySafety::unknown;
  EXPECT_EQ(fields_of(answer).code, "08007");

  answer.deadline_exceeded = true;
  EXPECT_EQ(fields_of(answer).code, "57014");
  EXPECT_EQ(read_advice(fields_of(answer).hint).harmless, false);

  EXPECT_FALSE(read_advice("retry_after_ms=x; nonsense").retry_after);
}

}  // namespace
}  // namespace paddlestand::pg::test
