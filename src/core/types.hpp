/// The core's interface to its hosts: the events that a host reports to the query coordinator, and the
/// actions that the host executes for it. No I/O, no clock, no protocol. A session is one client
/// connection. A channel is a way to one engine that carries one query at a time. The bytes of queries and
/// answers stay with the host, which finds them by the ids below.
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

using SessionId = std::uint64_t;  ///< assigned by the host, never reused
using QueryId = RequestId;  ///< assigned by the host, never reused
using ChannelId = std::uint64_t;  ///< assigned by the query coordinator, never reused

enum class ChannelUse : std::uint8_t { query, probe };

/// How an engine's answer ended, independent of the protocol. The loss of a channel is reported as
/// ChannelLost instead: its meaning depends on the progress of the query, which the query coordinator knows.
enum class Ending : std::uint8_t {
  complete,  ///< the complete answer arrived; it may be an error that the statement itself caused
  engine_error,  ///< the engine failed to execute the query, which may have run
  full,  ///< rejected before it ran
  expired,  ///< the deadline passed before the query started on the engine: it never ran
  cancelled,  ///< the engine reports that it stopped the query
};

/// Why a channel was lost. `local`: a fault of this manager or its machine, not of the engine.
enum class ChannelLossReason : std::uint8_t { refused, timed_out, closed, protocol_error, local };

enum class AnswerKind : std::uint8_t { served, rejected, failed, cancelled };
/// Whether a client may safely retry a query that was not served.
enum class RetrySafety : std::uint8_t { safe, unknown };

// ---- Events ----

struct SessionOpened {
  SessionId session{};
};
/// The client disconnected: nothing more can be sent to it.
struct SessionClosed {
  SessionId session{};
};
struct QueryArrived {
  SessionId session{};
  QueryId query{};
  std::uint32_t class_index{};
  std::uint32_t tenant{};
  std::uint64_t ordering_key{};  ///< zero: none
  Duration client_timeout{};
  std::optional<Duration> estimated_cost;
  double estimated_memory_mb{};  ///< zero: unknown
  double tables{};
  bool repeated{};
};
/// The client cancels the active query of its session, if any.
struct ClientCancelled {
  SessionId session{};
};
struct ChannelOpened {
  ChannelId channel{};
};
struct ChannelLost {
  ChannelId channel{};
  ChannelLossReason why{};
};
/// The socket accepted the query's last byte.
struct QuerySent {
  ChannelId channel{};
};
/// Bytes of an answer arrived. The host buffers them until a Deliver or Discard.
struct AnswerPart {
  ChannelId channel{};
  std::size_t bytes{};
};
/// An answer ended: the engine is ready for another query on this channel.
struct AnswerEnd {
  ChannelId channel{};
  Ending ending{};
  std::size_t bytes{};  ///< of the answer, not yet reported by an AnswerPart
  bool reusable = true;  ///< the engine holds no state of this query, such as an open transaction
  std::optional<Duration> work;
  std::optional<double> memory_mb;
  LoadReport report;
};
struct EngineProgress {
  ChannelId channel{};
  ProgressKind kind{};
  double level{};
};
/// The client consumed `bytes` of the bytes delivered to it.
struct ClientConsumed {
  SessionId session{};
  std::size_t bytes{};
};
struct EndpointsUpdated {
  EndpointUpdate scope{};
  std::vector<EngineEntry> engines;
};
/// Starts the graceful shutdown: new queries are rejected, and pending ones are answered within the grace.
struct BeginShutdown {
  Duration grace{};
};
/// QueryCoordinator::due() has passed.
struct TimerExpired {};

using CoreEvent = std::variant<SessionOpened, SessionClosed, QueryArrived, ClientCancelled, ChannelOpened,
                               ChannelLost, QuerySent, AnswerPart, AnswerEnd, EngineProgress, ClientConsumed,
                               EndpointsUpdated, BeginShutdown, TimerExpired>;

// ---- Actions ----

struct OpenChannel {
  ChannelId channel{};
  EngineId engine{};
  ChannelUse use{};
  QueryId query{};  ///< for which it is opened; zero: a probe
};
/// Send a query on an open channel.
struct SendQuery {
  ChannelId channel{};
  QueryId query{};
  std::uint32_t attempt{};
  std::uint8_t priority{};
  double memory_mb{};  ///< zero: the engine decides
};
struct SendProbe {
  ChannelId channel{};
};
/// Cancel the query on the engine, over a separate connection. The channel is never used again.
struct CancelOnEngine {
  ChannelId channel{};
};
/// Change the resource grant of a running query, over a separate connection.
struct UpdateResourceGrant {
  ChannelId channel{};
  std::uint8_t priority{};
  double memory_mb{};
};
/// Close a channel. Bytes buffered for it are discarded, and no event of it follows.
struct CloseChannel {
  ChannelId channel{};
};
/// Send all bytes buffered for the channel to the client, in order, after those sent before.
struct Deliver {
  ChannelId channel{};
  SessionId session{};
  std::size_t bytes{};
};
/// Discard all bytes buffered for the channel.
struct Discard {
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
  std::optional<AttemptResult> result;  ///< none: still active
  Duration began{};  ///< time from the query's arrival to the start of the attempt
  Duration elapsed{};  ///< time from the start of the attempt to its end, or to now if it is active
};
/// The final answer: nothing more is sent to the client for this query.
struct Answer {
  SessionId session{};
  QueryId query{};
  AnswerKind kind{};
  RetrySafety retry_safety{};
  bool deadline_exceeded{};  ///< the query could not be served within the client timeout
  bool begun{};  ///< part of the answer was delivered before
  bool shutting_down{};  ///< the manager is shutting down
  Duration retry_after{};  ///< zero: no advice
  // For the log.
  std::uint32_t class_index{};
  Duration elapsed{};
  std::vector<AttemptAccount> attempts;
};
/// A message of the decision module for the log.
struct LogMessage {
  std::string text;
};
/// The graceful shutdown is complete: no query is left, and the host may stop.
struct ShutdownComplete {};

using HostAction =
    std::variant<OpenChannel, SendQuery, SendProbe, CancelOnEngine, UpdateResourceGrant, CloseChannel,
                 Deliver, Discard, PauseChannel, ResumeChannel, Answer, LogMessage, ShutdownComplete>;

/// The result of writing the bytes of a SendQuery or SendProbe.
enum class WriteResult : std::uint8_t {
  complete,  ///< the socket accepted the last byte
  partial,  ///< QuerySent or ChannelLost follows later
  failed,  ///< not all bytes were accepted, and the channel is lost
  suppressed,  ///< nothing was written, since it may not be sent now; not a fault of the channel
};

/// Settings of the core; `module` holds those of the decision module.
struct CoreSettings {
  Settings module;
  std::uint32_t channels_per_engine = 64;  ///< for queries, including opening ones
  std::uint32_t idle_channels_per_engine = 16;  ///< kept open while unused
  Duration idle_channel_lifetime{};
  Duration connect_timeout{};
  Duration probe_timeout{};
  Duration cancel_grace{};  ///< how long an engine may take to confirm a cancel
  /// Bytes. Until an answer exceeds them, its query can be retried unnoticed by the client.
  std::size_t answer_buffer = std::size_t{64} * 1024;
  /// Bytes. A channel pauses while more are delivered to its client but not consumed.
  std::size_t client_window = std::size_t{256} * 1024;
  /// Limit of buffered bytes over all sessions; beyond it every channel may still hold one part.
  std::size_t buffers_in_total = std::size_t{64} * 1024 * 1024;
};

}  // namespace paddlestand::core
