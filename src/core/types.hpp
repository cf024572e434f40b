// The words of the heart: what hosts tell the conductor (events) and what they carry out for it (effects).
// No I/O, no clock, no protocol: a session is a client's seat, a link one connection to an engine, and the
// bytes of queries and answers stay with the host, named by the ids below.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::core {

using SessionId = std::uint64_t;  // given by the host, never used twice
using QueryId = RequestId;  // given by the host, never used twice
using LinkId = std::uint64_t;  // given by the conductor, never used twice

enum class LinkUse : std::uint8_t { query, probe };

// How an engine's answer ended, in words that every protocol can be put into. What a link's loss means is
// not among them: that hangs on how far the query had got, which the conductor knows.
enum class Ending : std::uint8_t {
  complete,  // the whole answer came; an error that the statement itself deserved is one too
  engine_error,  // the engine failed it; it may have run
  full,  // turned away before it ran
  expired,  // its time was over before the engine began: it never ran
  cancelled,  // the engine says that it stopped it
};

// Why a link is gone. `local`: trouble of this manager, which speaks against no engine.
enum class LinkLoss : std::uint8_t { refused, timed_out, closed, broken_protocol, local };

enum class AnswerKind : std::uint8_t { served, refused, failed, cancelled };
// What a client may conclude about repeating what was not served.
enum class Repeatable : std::uint8_t { harmless, unknown };

// ---- Events ----

struct SessionOpened {
  SessionId session{};
};
struct SessionClosed {  // the client is gone: nothing can be told to it any more
  SessionId session{};
};
struct QueryArrived {
  SessionId session{};
  QueryId query{};
  std::uint32_t class_index{};
  std::uint32_t tenant{};
  std::uint64_t order_key{};  // zero: none
  Duration patience{};
  std::optional<Duration> told_cost;
  double told_memory_mb{};  // zero: not told
  double tables{};
  bool repeated{};
};
struct CancelAsked {  // by the client, for whatever the session has under way
  SessionId session{};
};
struct LinkUp {
  LinkId link{};
};
struct LinkLost {
  LinkId link{};
  LinkLoss why{};
};
struct QuerySent {  // its bytes were wholly handed to the socket
  LinkId link{};
};
struct AnswerPart {  // bytes of an answer, kept by the host until told to deliver or to discard them
  LinkId link{};
  std::size_t bytes{};
};
struct AnswerEnd {  // the engine is ready for another query on this link
  LinkId link{};
  Ending ending{};
  std::size_t bytes{};  // of the answer, not told by an AnswerPart yet
  bool reusable = true;  // the engine holds no state of this query's, such as a transaction left open
  std::optional<Duration> work;
  std::optional<double> memory_mb;
  LoadReport report;
};
struct EngineNote {
  LinkId link{};
  NoteKind kind{};
  double level{};
};
struct ClientTook {  // so much of what was delivered left for the client
  SessionId session{};
  std::size_t bytes{};
};
struct FleetTold {
  FleetScope scope{};
  std::vector<EngineEntry> engines;
};
struct Leave {  // take no more, answer what is held, within the grace
  Duration grace{};
};
struct TimeCame {};  // due() has passed

using CoreEvent =
    std::variant<SessionOpened, SessionClosed, QueryArrived, CancelAsked, LinkUp, LinkLost, QuerySent,
                 AnswerPart, AnswerEnd, EngineNote, ClientTook, FleetTold, Leave, TimeCame>;

// ---- Effects ----

struct OpenLink {
  LinkId link{};
  EngineId engine{};
  LinkUse use{};
  QueryId query{};  // it is opened for; zero: a probe
};
struct SendQuery {  // on a link that is up
  LinkId link{};
  QueryId query{};
  std::uint32_t attempt{};
  std::uint8_t priority{};
  double memory_mb{};  // zero: the engine's choice
};
struct SendProbe {
  LinkId link{};
};
struct CancelOnEngine {  // on a connection of its own; the link is never used again
  LinkId link{};
};
struct ChangeTerms {  // of a query that runs, on a connection of its own
  LinkId link{};
  std::uint8_t priority{};
  double memory_mb{};
};
struct CloseLink {  // bytes kept for it are dropped; nothing is told of it any more
  LinkId link{};
};
struct Deliver {  // all bytes kept for the link go to the client, in order, behind what went before
  LinkId link{};
  SessionId session{};
  std::size_t bytes{};
};
struct Discard {  // all bytes kept for the link
  LinkId link{};
};
struct PauseLink {
  LinkId link{};
};
struct ResumeLink {
  LinkId link{};
};

struct AttemptAccount {
  EngineId engine{};
  std::optional<Result> result;  // none: still out
  Duration began{};  // since the query came
  Duration took{};  // until it ended, or until now
};
struct Answer {  // the final one; after it nothing more goes to the client for this query
  SessionId session{};
  QueryId query{};
  AnswerKind kind{};
  Repeatable repeatable{};
  bool time_up{};  // it could not be answered within the client's patience
  bool begun{};  // part of the answer went to the client before
  bool leaving{};  // the manager is going
  Duration retry_after{};  // zero: no advice
  // For the log.
  std::uint32_t class_index{};
  Duration took{};
  std::vector<AttemptAccount> attempts;
};
struct Remark {  // a judgment of the module
  std::string text;
};
struct Left {};  // nothing is held any more: the host may go

using Effect = std::variant<OpenLink, SendQuery, SendProbe, CancelOnEngine, ChangeTerms, CloseLink, Deliver,
                            Discard, PauseLink, ResumeLink, Answer, Remark, Left>;

struct CoreSettings {
  Settings module;
  std::uint32_t links_per_engine = 64;  // those for queries, opening ones too
  std::uint32_t idle_links_per_engine = 16;  // kept open while nothing runs on them
  Duration idle_link_life{};
  Duration connect_time_out{};
  Duration probe_time_out{};
  Duration cancel_grace{};  // how long an engine may take to say that it stopped
  std::size_t answer_buffer = 64 * 1024;  // an answer up to this size is repeated elsewhere unseen
  std::size_t client_window = 256 * 1024;  // delivered but not yet taken by the client: its link rests
  std::size_t buffers_in_total = 64 * 1024 * 1024;  // over all sessions; past it every link may hold one part
};

}  // namespace paddlestand::core
