#include <gtest/gtest.h>

#include "protocol/pg/backend_connection.hpp"
#include "protocol/pg/bytes.hpp"
#include "protocol/pg/frame.hpp"
#include "protocol/pg/frontend_session.hpp"
#include "protocol/pg/scram.hpp"
#include "protocol/pg/sqlstate.hpp"
#include "protocol/pg/statements.hpp"

namespace paddlestand::pg {
namespace {

using namespace std::chrono_literals;

std::string types_of(const std::string& bytes) {
  std::string types;
  FrameReader reader(1U << 20U);
  reader.feed(bytes);
  while (const auto frame = reader.next()) types.push_back(frame->type);
  EXPECT_EQ(reader.waiting(), 0U);
  return types;
}

std::string error_code(const std::string& bytes) {
  FrameReader reader(1U << 20U);
  reader.feed(bytes);
  while (const auto frame = reader.next())
    if (frame->type == 'E') return parse_fields(frame->body)->code;
  return {};
}

std::shared_ptr<const Users> trust() {
  auto users = std::make_shared<Users>();
  users->trust = true;
  return users;
}

std::string startup() {
  std::string out;
  const std::vector<std::pair<std::string, std::string>> parameters{{"user", "ann"},
                                                                    {"database", "charts"},
                                                                    {"options", "-c statement_timeout=900ms"},
                                                                    {"application_name", "psql"}};
  put_startup(out, parameters);
  return out;
}

// A session that is past its startup.
class Seat {
 public:
  explicit Seat(FrontendSettings settings = {}) : front(settings, trust(), {7, 8}, "nonce") {
    front.feed(startup());
    EXPECT_TRUE(std::holds_alternative<FrontendStarted>(*front.next()));
    EXPECT_FALSE(front.next());
    front.out().clear();
  }
  std::optional<FrontendRequest> request() {
    const auto event = front.next();
    if (!event) return std::nullopt;
    const auto* found = std::get_if<FrontendRequest>(&*event);
    return found == nullptr ? std::nullopt : std::optional(*found);
  }
  std::string take() {
    std::string out;
    out.swap(front.out());
    return out;
  }
  FrontendSession front;
};

void parse(std::string& out, const char* name, const char* text) { put_parse(out, name, text, {"\0\0", 2}); }
void bind(std::string& out, const char* name) { put_bind(out, "", name, {"\0\0\0\0\0\0", 6}); }
void execute(std::string& out) { put_raw(out, 'E', {"\0\0\0\0\0", 5}); }

TEST(Frames, ComeOneByteAtATimeAndAbsurdLengthsAreRefusedBeforeRoomIsMade) {
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

TEST(FrontendSession, StartsUpByteByByteAfterRefusingTls) {
  FrontendSession front({}, trust(), {7, 8}, "nonce");
  std::string bytes;
  Writer(bytes).begin_untyped().u32(ssl_code).end();
  bytes += startup();
  bool started = false;
  for (const char c : bytes) {
    front.feed({&c, 1});
    while (const auto event = front.next()) started |= std::holds_alternative<FrontendStarted>(*event);
  }
  EXPECT_TRUE(started);
  ASSERT_EQ(front.out()[0], 'N');
  EXPECT_EQ(front.user(), "ann");
  const std::string types = types_of(front.out().substr(1));
  EXPECT_EQ(types.front(), 'R');
  EXPECT_EQ(types.substr(types.size() - 2), "KZ");
}

TEST(FrontendSession, SimpleQueriesArePipelinedOneAtATime) {
  Seat seat;
  std::string bytes;
  for (int i = 0; i < 1000; ++i) put_query(bytes, "select " + std::to_string(i));
  seat.front.feed(bytes);
  for (int i = 0; i < 1000; ++i) {
    const auto request = seat.request();
    ASSERT_TRUE(request);
    EXPECT_EQ(request->text, "select " + std::to_string(i));
    EXPECT_EQ(request->statement_timeout, 900ms);
    EXPECT_FALSE(seat.front.next());  // until it is done
    seat.front.request_done({});
  }
  EXPECT_EQ(types_of(seat.take()), std::string(1000, 'Z'));
}

TEST(FrontendSession, WhatIsNotCarriedIsRefusedByNameAndTheSessionLivesOn) {
  for (const char* text :
       {"begin", "START TRANSACTION", "copy t from stdin", "listen x", "select 1; commit", "/* a */ rollback",
        "create temp table x(a int)", "declare c cursor for select 1", "select 1 into temp y"}) {
    Seat seat;
    std::string bytes;
    put_query(bytes, text);
    put_query(bytes, "select ';begin' /* ;commit */ -- ;begin\n , $$;begin$$, \"begin\"");
    seat.front.feed(bytes);
    const auto request = seat.request();
    ASSERT_TRUE(request) << text;
    const std::string out = seat.take();
    EXPECT_EQ(types_of(out), "EZ") << text;
    EXPECT_EQ(error_code(out), "0A000") << text;
  }
  Seat seat;
  std::string bytes;
  put_raw(bytes, 'F', "xxxx");
  seat.front.feed(bytes);
  EXPECT_FALSE(seat.front.next());
  EXPECT_EQ(error_code(seat.take()), "0A000");
}

TEST(FrontendSession, AnswersSetShowAndResetItself) {
  Seat seat;
  std::string bytes;
  put_query(bytes, "SET extra_float_digits = 3; set timezone to 'Europe/Berlin'; show timezone");
  put_query(bytes, "SET datestyle TO ISO, DMY");
  put_query(bytes, "reset timezone");
  put_query(bytes, "set search_path = x");
  put_query(bytes, "set statement_timeout = '2s'");
  put_query(bytes, "select 1");
  seat.front.feed(bytes);
  const auto request = seat.request();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->statement_timeout, 2s);
  const std::map<std::string, std::string> wanted{{"datestyle", "iso, dmy"}, {"extra_float_digits", "3"}};
  EXPECT_EQ(request->query.settings, wanted);
  const std::string out = seat.take();
  EXPECT_EQ(types_of(out), "CSCTDCZSCZSCZEZCZ");
  EXPECT_EQ(error_code(out), "0A000");
}

TEST(FrontendSession, ExtendedBatchesArePreparedAtTheEngineWhenNeeded) {
  Seat seat;
  std::string bytes;
  parse(bytes, "s1", "select $1");
  put_empty(bytes, 'S');
  seat.front.feed(bytes);
  auto request = seat.request();
  ASSERT_TRUE(request);
  EXPECT_EQ(types_of(request->query.bytes), "PS");
  BackendAnswerEnd end;
  end.parses_shown = 1;
  seat.front.request_done(end);

  bytes.clear();
  bind(bytes, "s1");
  execute(bytes);
  bind(bytes, "s1");
  execute(bytes);
  put_empty(bytes, 'S');
  bind(bytes, "s2");  // no such statement
  execute(bytes);
  put_empty(bytes, 'S');
  seat.front.feed(bytes);
  request = seat.request();
  ASSERT_TRUE(request);
  EXPECT_EQ(types_of(request->query.bytes), "PBEBES");  // one Parse serves both
  EXPECT_EQ(request->query.parse_shown, std::vector<bool>{false});
  EXPECT_EQ(request->text, "select $1");
  seat.take();
  seat.front.request_done({});
  EXPECT_FALSE(seat.front.next());
  const std::string out = seat.take();
  EXPECT_EQ(types_of(out), "ZEZ");
  EXPECT_EQ(error_code(out), "26000");
}

TEST(FrontendSession, AStatementWhoseParseFailedIsNotKept) {
  Seat seat;
  std::string bytes;
  parse(bytes, "bad", "selec 1");
  put_empty(bytes, 'S');
  seat.front.feed(bytes);
  ASSERT_TRUE(seat.request());
  BackendAnswerEnd end;
  end.error_code = "42601";
  seat.front.request_done(end);
  bytes.clear();
  put_named(bytes, 'D', 'S', "bad");
  put_empty(bytes, 'S');
  seat.take();
  seat.front.feed(bytes);
  EXPECT_FALSE(seat.request());
  EXPECT_EQ(error_code(seat.take()), "26000");
}

TEST(FrontendSession, FlushAnswersWhatCameAndAnErrorBehindItSkipsToTheSync) {
  Seat seat;
  std::string bytes;
  parse(bytes, "", "select 1");
  put_named(bytes, 'D', 'S', "");
  put_empty(bytes, 'H');
  seat.front.feed(bytes);
  const auto request = seat.request();
  ASSERT_TRUE(request);
  EXPECT_EQ(types_of(request->query.bytes), "PDS");
  seat.front.request_failed(error("53400", "refused"));
  EXPECT_EQ(types_of(seat.take()), "E");  // no ReadyForQuery before its Sync
  bytes.clear();
  bind(bytes, "");
  execute(bytes);
  put_empty(bytes, 'S');
  seat.front.feed(bytes);
  EXPECT_FALSE(seat.request());
  EXPECT_EQ(types_of(seat.take()), "Z");
}

TEST(FrontendSession, SettingsByTheExtendedProtocol) {
  Seat seat;
  std::string bytes;
  parse(bytes, "", "SHOW transaction isolation level");
  bind(bytes, "");
  put_named(bytes, 'D', 'P', "");
  execute(bytes);
  put_empty(bytes, 'S');
  seat.front.feed(bytes);
  EXPECT_FALSE(seat.request());
  EXPECT_EQ(types_of(seat.take()), "12TDCZ");
}

TEST(FrontendSession, MalformedMessagesOfEveryTypeGetOneErrorEach) {
  for (const char type : std::string("PBDEC")) {
    Seat seat;
    std::string bytes;
    put_raw(bytes, type, {"S\xff", 2});
    put_empty(bytes, 'S');
    put_query(bytes, "select 1");
    seat.front.feed(bytes);
    EXPECT_TRUE(seat.request()) << type;
    EXPECT_EQ(types_of(seat.take()), "EZ") << type;
  }
  for (const char type : std::string("Q?p")) {
    Seat seat;
    std::string bytes;
    put_raw(bytes, type, "unended");
    seat.front.feed(bytes);
    EXPECT_TRUE(std::holds_alternative<FrontendClosed>(*seat.front.next())) << type;
    EXPECT_EQ(error_code(seat.take()), "08P01") << type;
  }
  Seat seat;
  std::string bytes;
  put_query(bytes, "select '\xc3\x28'");
  seat.front.feed(bytes);
  EXPECT_FALSE(seat.request());
  EXPECT_EQ(error_code(seat.take()), "22021");
}

TEST(FrontendSession, NamedStatementsAreBounded) {
  FrontendSettings settings;
  settings.most_statements = 2;
  Seat seat(settings);
  for (const char* name : {"a", "b", "c"}) {
    std::string bytes;
    parse(bytes, name, "select 1");
    put_empty(bytes, 'S');
    seat.front.feed(bytes);
    if (seat.request()) {
      BackendAnswerEnd end;
      end.parses_shown = 1;
      seat.front.request_done(end);
    }
  }
  EXPECT_EQ(error_code(seat.take()), "54000");
}

std::string answer(const char* value, char status = 'I') {
  std::string out;
  const Column column{"v", 25, -1};
  put_row_description(out, {&column, 1});
  const std::string_view cell = value;
  put_row(out, {&cell, 1});
  put_complete(out, "SELECT 1");
  put_parameter(out, "paddlestand.inflight", "3");
  put_parameter(out, "paddlestand.work_ms", "12.5");
  put_ready(out, status);
  return out;
}

class Wire {
 public:
  Wire() {
    channel.start({"u", "d", "a", "", "n"});
    std::string hello;
    put_authentication(hello, 0);
    put_key(hello, {5, 6});
    put_ready(hello, 'I');
    feed(hello);
    EXPECT_TRUE(std::holds_alternative<BackendReady>(events.at(0)));
    events.clear();
  }
  void feed(std::string_view bytes) { channel.feed(bytes, events, reply); }
  BackendConnection channel;
  std::vector<BackendEvent> events;
  std::string reply;
};

EngineQuery query(const char* text) {
  EngineQuery out;
  put_query(out.bytes, text);
  return out;
}

TEST(BackendConnection, TermsRideAheadOfTheQueryOnceAndOnlyWhereTheyDiffer) {
  Wire wire;
  EXPECT_EQ(types_of(wire.channel.flight(query("select 1"), 2, 100)), "QQ");
  std::string set;
  put_complete(set, "SET");
  put_ready(set, 'I');
  wire.feed(set + answer("x"));
  ASSERT_EQ(wire.events.size(), 1U);
  const auto& end = std::get<BackendAnswerEnd>(wire.events[0]);
  EXPECT_EQ(end.ending, core::Ending::complete);
  EXPECT_EQ(end.work, 12500us);
  EXPECT_EQ(end.report.queries, 3);
  EXPECT_EQ(types_of(wire.channel.answer()), "TDC");  // ours were taken out
  EXPECT_EQ(types_of(wire.channel.flight(query("select 1"), 2, 100)), "Q");
  EXPECT_EQ(settings_change({{"work_mem", "5MB"}, {"timezone", "UTC"}}, {{"timezone", "X'Y"}}),
            "RESET work_mem;SET timezone='X''Y';");
}

TEST(BackendConnection, ByteByByteGivesTheSameAnswer) {
  Wire wire;
  wire.channel.flight(query("select 1"), 0, 0);
  std::string set;
  put_complete(set, "SET");
  put_ready(set, 'I');
  for (const char c : set + answer("x")) wire.feed({&c, 1});
  EXPECT_EQ(types_of(wire.channel.answer()), "TDC");
  EXPECT_TRUE(std::holds_alternative<BackendAnswerEnd>(wire.events.back()));
}

TEST(BackendConnection, ATransactionLeftOpenMakesTheLinkUnusable) {
  Wire wire;
  wire.channel.flight(query("select 1"), 0, 0);
  std::string set;
  put_ready(set, 'I');
  wire.feed(set + answer("x", 'T'));
  EXPECT_FALSE(std::get<BackendAnswerEnd>(wire.events.back()).reusable);
}

TEST(BackendConnection, ErrorsAreSortedByWhatTheyMean) {
  const auto ending = [](const char* code) {
    Wire wire;
    wire.channel.flight(query("select 1"), 0, 0);
    std::string bytes;
    put_ready(bytes, 'I');
    put_error(bytes, error(code, "x"));
    put_ready(bytes, 'I');
    wire.feed(bytes);
    return std::get<BackendAnswerEnd>(wire.events.back()).ending;
  };
  EXPECT_EQ(ending("42601"), core::Ending::complete);
  EXPECT_EQ(ending("23505"), core::Ending::complete);
  EXPECT_EQ(ending("53300"), core::Ending::full);
  EXPECT_EQ(ending("57014"), core::Ending::cancelled);
  EXPECT_EQ(ending("XX000"), core::Ending::engine_error);
  EXPECT_EQ(ending("53200"), core::Ending::engine_error);
  EXPECT_EQ(ending_of_error("53300", true), core::Ending::engine_error);
}

TEST(BackendConnection, HugeRowsPassAsTheyComeAndNothingElseMay) {
  Wire wire;
  wire.channel.flight(query("select 1"), 0, 0);
  std::string head;
  put_ready(head, 'I');
  std::string row;
  const std::string big(1U << 20U, 'x');
  const std::string_view cell = big;
  put_row(row, {&cell, 1});
  wire.feed(head + row.substr(0, 70000));
  EXPECT_TRUE(wire.channel.mid_message());
  EXPECT_EQ(wire.channel.answer().size(), 70000U);
  wire.feed(row.substr(70000));
  EXPECT_FALSE(wire.channel.mid_message());
  wire.feed({"S\x10\0\0\0", 5});
  EXPECT_TRUE(std::holds_alternative<BackendBroken>(wire.events.back()));
}

TEST(BackendConnection, WhatIsNoAnswerBreaksIt) {
  for (const std::string& bytes :
       {std::string("Z\0\0\0\5T", 6), std::string("?\0\0\0\4", 5), std::string("D\0\0\0\1", 5)}) {
    Wire wire;
    wire.feed(bytes);
    ASSERT_FALSE(wire.events.empty());
    EXPECT_TRUE(std::holds_alternative<BackendBroken>(wire.events.back()));
    EXPECT_EQ(wire.events.size(), 1U);
  }
}

TEST(BackendConnection, NotesOfProgressAreTakenOut) {
  Wire wire;
  wire.channel.flight(query("select 1"), 0, 0);
  std::string bytes;
  put_ready(bytes, 'I');
  put_notice(bytes, {"NOTICE", "01P5T", "progress=0.25", "", ""});
  put_notice(bytes, {"NOTICE", "01000", "for the client", "", ""});
  wire.feed(bytes);
  EXPECT_EQ(std::get<BackendProgress>(wire.events.at(0)).level, 0.25);
  EXPECT_EQ(types_of(wire.channel.answer()), "N");
}

TEST(Scram, TestVectorOfRfc7677) {
  ScramClient client("pencil", "rOprNGfwEbeRWgbNEkqO");
  // The vector names a user in client-first; PostgreSQL's clients leave it empty, so ours does: the exchange
  // is checked against itself, the verifier against a known one.
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

TEST(Scram, WrongPasswordsUnknownUsersAndDoctoredMessagesFail) {
  const auto verifier = Verifier::of_password("right", "0123456789abcdef");
  const auto attempt = [&](const char* password, bool known, bool doctored) {
    ScramClient client(password, "cnonce");
    ScramServer server(verifier, known, "snonce");
    auto last = *client.last(*server.first(client.first()));
    if (doctored) last.replace(last.find("r=cnonce"), 8, "r=Cnonce");
    return server.last(last).has_value();
  };
  EXPECT_TRUE(attempt("right", true, false));
  EXPECT_FALSE(attempt("wrong", true, false));
  EXPECT_FALSE(attempt("right", false, false));
  EXPECT_FALSE(attempt("right", true, true));
  EXPECT_FALSE(Verifier::parse("SCRAM-SHA-256$99999999:AAAA$AAAA:AAAA"));
  EXPECT_FALSE(Verifier::parse("md5abc"));
  EXPECT_FALSE(ScramServer(verifier, true, "n").first("p=tls-unique,,n=,r=x"));
}

TEST(Answers, CarryAdviceThatReadsBack) {
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
}  // namespace paddlestand::pg
