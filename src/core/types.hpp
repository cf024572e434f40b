// The words of the core: what hosts tell the query coordinator (events) and what they carry out for it
// (effects). No I/O, no clock, no protocol: a session is a client's seat, a channel one connection to an
// engine, and the bytes of queries and answers stay with the host, named by the ids below.
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
using ChannelId = std::uint64_t;  // given by the query coordinator, never used twice

enum class ChannelUse : std::uint8_t { query, probe };

// How an engine's answer ended, in words that every protocol can be put into. What a channel's loss means is
// not among them: that hangs on how far the query had got, which the query coordinator knows.
enum class Ending : std::uint8_t {
  complete,  // the whole answer came; an error that the statement itself deserved is one too
  engine_error,  // the engine failed it; it may have run
  full,  // turned away before it ran
  expired,  // its time was over before the engine began: it never ran
  cancelled,  // the engine says that it stopped it
};

// Why a channel is gone. `local`: trouble of this manager, which speaks against no engine.
enum class ChannelLossReason : std::uint8_t { refused, timed_out, closed, protocol_error, local };

enum class AnswerKind : std::uint8_t { served, rejected, failed, cancelled };
// What a client may conclude about repeating what was not served.
enum class RetrySafety : std::uint8_t { safe, unknown };

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
  std::uint64_t ordering_key{};  // zero: none
  Duration client_timeout{};
  std::optional<Duration> estimated_cost;
  double estimated_memory_mb{};  // zero: not told
  double tables{};
  bool repeated{};
};
struct ClientCancelled {  // by the client, for whatever the session has under way
  SessionId session{};
};
struct ChannelOpened {
  ChannelId channel{};
};
struct ChannelLost {
  ChannelId channel{};
  ChannelLossReason why{};
};
struct QuerySent {  // its bytes were wholly handed to the socket
  ChannelId channel{};
};
struct AnswerPart {  // bytes of an answer, kept by the host until told to deliver or to discard them
  ChannelId channel{};
  std::size_t bytes{};
};
struct AnswerEnd {  // the engine is ready for another query on this channel
  ChannelId channel{};
  Ending ending{};
  std::size_t bytes{};  // of the answer, not told by an AnswerPart yet
  bool reusable = true;  // the engine holds no state of this query's, such as a transaction left open
  std::optional<Duration> work;
  std::optional<double> memory_mb;
  LoadReport report;
};
struct EngineProgress {
  ChannelId channel{};
  ProgressKind kind{};
  double level{};
};
struct ClientConsumed {  // so much of what was delivered left for the client
  SessionId session{};
  std::size_t bytes{};
};
struct EndpointsUpdated {
  EndpointUpdate scope{};
  std::vector<EngineEntry> engines;
};
struct BeginShutdown {  // take no more, answer what is held, within the grace
  Duration grace{};
};
struct TimerExpired {};  // due() has passed

using CoreEvent = std::variant<SessionOpened, SessionClosed, QueryArrived, ClientCancelled, ChannelOpened,
                               ChannelLost, QuerySent, AnswerPart, AnswerEnd, EngineProgress, ClientConsumed,
                               EndpointsUpdated, BeginShutdown, TimerExpired>;

// ---- Effects ----

struct OpenChannel {
  ChannelId channel{};
  EngineId engine{};
  ChannelUse use{};
  QueryId query{};  // it is opened for; zero: a probe
};
struct SendQuery {  // on a channel that is up
  ChannelId channel{};
  QueryId query{};
  std::uint32_t attempt{};
  std::uint8_t priority{};
  double memory_mb{};  // zero: the engine's choice
};
struct SendProbe {
  ChannelId channel{};
};
struct CancelOnEngine {  // on a connection of its own; the channel is never used again
  ChannelId channel{};
};
struct UpdateResourceGrant {  // of a query that runs, on a connection of its own
  ChannelId channel{};
  std::uint8_t priority{};
  double memory_mb{};
};
struct CloseChannel {  // bytes kept for it are dropped; nothing is told of it any more
  ChannelId channel{};
};
struct Deliver {  // all bytes kept for the channel go to the client, in order, behind what went before
  ChannelId channel{};
  SessionId session{};
  std::size_t bytes{};
};
struct Discard {  // all bytes kept for the channel
  ChannelId channel{};
};
struct PauseChannel {
  ChannelId channel{};
};
struct ResumeChannel {
  ChannelId channel{};
};

struct AttemptAccount {
  EngineId engine{};
  std::optional<AttemptResult> result;  // none: still out
  Duration began{};  // since the query came
  Duration took{};  // until it ended, or until now
};
struct Answer {  // the final one; after it nothing more goes to the client for this query
  SessionId session{};
  QueryId query{};
  AnswerKind kind{};
  RetrySafety retry_safety{};
  bool deadline_exceeded{};  // it could not be answered within the client's client timeout
  bool begun{};  // part of the answer went to the client before
  bool shutting_down{};  // the manager is going
  Duration retry_after{};  // zero: no advice
  // For the log.
  std::uint32_t class_index{};
  Duration took{};
  std::vector<AttemptAccount> attempts;
};
struct LogMessage {  // a judgment of the module
  std::string text;
};
struct ShutdownComplete {};  // nothing is held any more: the host may go

using HostAction =
    std::variant<OpenChannel, SendQuery, SendProbe, CancelOnEngine, UpdateResourceGrant, CloseChannel,
                 Deliver, Discard, PauseChannel, ResumeChannel, Answer, LogMessage, ShutdownComplete>;

struct CoreSettings {
  Settings module;
  std::uint32_t channels_per_engine = 64;  // those for queries, opening ones too
  std::uint32_t idle_channels_per_engine = 16;  // kept open while nothing runs on them
  Duration idle_channel_lifetime{};
  Duration connect_timeout{};
  Duration probe_timeout{};
  Duration cancel_grace{};  // how long an engine may take to say that it stopped
  std::size_t answer_buffer = 64 * 1024;  // an answer up to this size is repeated elsewhere unseen
  std::size_t client_window = 256 * 1024;  // delivered but not yet taken by the client: its channel rests
  std::size_t buffers_in_total =
      64 * 1024 * 1024;  // over all sessions; past it every channel may hold one part
};

}  // namespace paddlestand::core
