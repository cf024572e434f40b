#include "engine_dispatch.hpp"

#include "client.hpp"
#include "endpoint.hpp"

namespace paddlestand::platform {
using Field = observe::LogFieldName;
using namespace std::chrono_literals;

namespace {

constexpr Duration deadline_tolerance = 150ms;  // for time granted to an engine beyond the deadline
constexpr std::uint64_t probe_id_prefix = std::uint64_t{0xf1} << 56U;  // unlike most trace ids of requests

}  // namespace

EngineDispatch::EngineDispatch(PlatformHost& host, RequestHandler& requests, const EndpointList& endpoints,
                               RefreshEndpoints refresh_endpoints, const PlatformConfig& config,
                               const ResourceLimits& limits)
    : host_(host),
      requests_(requests),
      endpoints_(endpoints),
      refresh_endpoints_(std::move(refresh_endpoints)),
      config_(config),
      connections_(
          host, *this,
          {config.streams_per_connection, limits.max_engine_connections, config.core.connect_timeout}),
      answer_budget_(limits.max_answer_bytes) {}

EngineStream* EngineDispatch::find(core::ChannelId channel) {
  const auto found = streams_.find(channel);
  return found == streams_.end() ? nullptr : &found->second;
}

std::string* EngineDispatch::find_result(core::ChannelId channel) {
  EngineStream* const stream = find(channel);
  return stream == nullptr ? nullptr : &stream->answer.body();
}

// ---- Opening ----

// Returns the stream id for a channel, or std::nullopt if its request has ended.
std::optional<core::StreamId> EngineDispatch::stream_id_for(const core::OpenChannel& action) {
  if (action.use == core::ChannelUse::probe) return probe_id_prefix | ++last_probe_;
  return requests_.trace_of(action.query);
}

// Skips connections that the engine has closed: a request written to one would be reset, with unknown
// outcome.
EngineDispatch::Connection EngineDispatch::connection_for(EngineId engine, core::ChannelUse use,
                                                          core::StreamId stream) {
  const auto address = endpoints_.address(engine);
  if (!address) return nullptr;
  for (;;) {
    auto connection = connections_.place(engine, endpoint_of(*address), use, stream, endpoints_.size());
    if (!connection || !connection->is_closed_by_engine()) return connection;
    on_lost(connection, core::ChannelLossReason::closed, "closed by the engine");
  }
}

void EngineDispatch::open(const core::OpenChannel& action) {
  const auto id = stream_id_for(action);
  const auto connection = id ? connection_for(action.engine, action.use, *id) : nullptr;
  if (!connection || !connection->stream_table().reserve(*id, action.channel)) {
    host_.dispatch(core::ChannelLost{action.channel, core::ChannelLossReason::local});
    return;
  }
  if (connection->stream_table().exhausted()) connection->retire();
  EngineStream& stream = streams_[action.channel];
  stream.engine = action.engine;
  stream.use = action.use;
  stream.connection = connection;
  stream.id = *id;
  connection->add_stream();
  if (connection->is_connected()) host_.dispatch(core::ChannelOpened{action.channel});
}

void EngineDispatch::on_connected(const Connection& connection) {
  std::vector<core::ChannelId> waiting;
  for (const auto& [channel, stream] : streams_)
    if (stream.connection == connection && !stream.is_sent) waiting.push_back(channel);
  for (const core::ChannelId channel : waiting) host_.dispatch(core::ChannelOpened{channel});
}

void EngineDispatch::on_connect_failure(EngineId engine, const boost::system::error_code& error,
                                        ConnectRetry retry) {
  if (!host_.is_tracing()) return;
  host_.log().info(observe::LogEvent::engine_connect_failed, {{Field::engine, engine},
                                                              {Field::reason, error.message()},
                                                              {Field::retry, retry == ConnectRetry::yes}});
}

void EngineDispatch::on_lost(const Connection& connection, core::ChannelLossReason reason,
                             const std::string& description) {
  std::vector<core::ChannelId> lost;
  for (const auto& [channel, stream] : streams_)
    if (stream.connection == connection) lost.push_back(channel);
  if (reason == core::ChannelLossReason::protocol_error || !lost.empty() || host_.is_tracing()) {
    host_.log().info(
        observe::LogEvent::engine_connection_lost,
        {{Field::engine, connection->engine()}, {Field::reason, description}, {Field::streams, lost.size()}});
  }
  connections_.drop(connection);
  for (const core::ChannelId channel : lost) host_.dispatch(core::ChannelLost{channel, reason});
}

// ---- Sending ----

std::string EngineDispatch::request_frame(const EngineStream& stream, const ClientRequest& request,
                                          TimePoint now) const {
  engine_frames::Request fields;
  fields.id = request.trace;
  fields.class_name = config_.core.module.classes[request.class_index].name;
  fields.token = request.token;
  fields.statement = request.statement;
  fields.time_left = request.deadline - now;
  fields.memory_mb = stream.memory_mb;
  fields.priority = stream.priority;
  std::string frame;
  engine_frames::put_request(frame, fields);
  return frame;
}

std::string EngineDispatch::probe_frame(const EngineStream& stream) const {
  std::string frame;
  engine_frames::put_probe(frame, stream.id, !config_.report_names.empty());
  return frame;
}

std::optional<StreamFrame> EngineDispatch::rebuild_frame(core::ChannelId channel) {
  const service::ResumeCount facts_as_of = service::ResumeMonitor::count();
  EngineStream* stream = find(channel);
  if (stream == nullptr) return std::nullopt;
  if (stream->is_probe()) return StreamFrame{probe_frame(*stream), host_.now(), facts_as_of};
  const bool is_allowed = may_dispatch(stream->query, stream->engine);
  stream = find(channel);  // reading the client's input may have changed streams_
  if (stream == nullptr) return std::nullopt;
  const ClientRequest* const request = requests_.find(stream->query);
  if (!is_allowed || request == nullptr) {
    abandon_unsent(*stream);
    return std::nullopt;
  }
  stream->last_progress = host_.now();
  return StreamFrame{request_frame(*stream, *request, stream->last_progress), stream->last_progress,
                     facts_as_of};
}

// Resets a stream whose frame was withdrawn before any byte of it was sent.
void EngineDispatch::abandon_unsent(EngineStream& stream) {
  stream.is_sent = false;
  stream.connection->stream_table().release(stream.id);
  connections_.attempts().ended(stream.id, stream.connection->number());
}

core::WriteResult EngineDispatch::send(const core::SendQuery& action) {
  const service::ResumeCount facts_as_of = service::ResumeMonitor::count();
  EngineStream* stream = find(action.channel);
  if (stream == nullptr) return core::WriteResult::failed;
  if (!may_dispatch(action.query, stream->engine)) return core::WriteResult::suppressed;
  stream = find(action.channel);  // reading the client's input may have changed streams_
  const ClientRequest* const request = requests_.find(action.query);
  if (stream == nullptr || request == nullptr) return core::WriteResult::failed;
  if (stream->connection->is_closed()) return core::WriteResult::failed;
  if (!may_begin_attempt(request->trace)) return core::WriteResult::suppressed;
  if (!stream->connection->stream_table().open(stream->id, action.channel)) {
    host_.count(core::Violation::stream_id_reused, {Field::trace, observe::HexId{stream->id}});
    return core::WriteResult::suppressed;
  }
  return send_attempt(action, *stream, *request, facts_as_of);
}

core::WriteResult EngineDispatch::send_attempt(const core::SendQuery& action, EngineStream& stream,
                                               const ClientRequest& request,
                                               service::ResumeCount facts_as_of) {
  stream.query = action.query;
  stream.memory_mb = action.memory_mb;
  stream.priority = action.priority;
  stream.is_sent = true;
  stream.last_progress = host_.now();
  std::string frame = request_frame(stream, request, stream.last_progress);
  if (host_.is_tracing()) log_sent(action, stream);
  connections_.attempts().began(stream.id, stream.connection->number());
  requests_.record_attempt(action.query);
  const core::WriteResult result = stream.connection->send(
      action.channel, stream.id, {std::move(frame), stream.last_progress, facts_as_of});
  if (result == core::WriteResult::failed) {
    stream.is_sent = false;
    connections_.attempts().ended(stream.id, stream.connection->number());
  }
  check_sent_attempt(stream, request);
  return result;
}

// Reads pending input first, which may show that the client has disconnected or that the engine drains.
bool EngineDispatch::may_dispatch(core::QueryId query, EngineId engine) {
  refresh_endpoints_();
  const char* reason = nullptr;
  if (!endpoints_.is_ready(engine)) {
    reason = "engine is not ready";
  } else if (!requests_.may_dispatch(query)) {
    reason = "client disconnected or deadline passed";
  }
  if (reason != nullptr && host_.is_tracing()) {
    host_.log().info(observe::LogEvent::send_suppressed, {{Field::query, query}, {Field::reason, reason}});
  }
  return reason == nullptr;
}

// For the core, a cancelled attempt ends as soon as its cancel is written. It must have ended for the engine
// too before the next attempt starts: if the cancel was not transmitted, the connection is closed, which
// cancels the attempt.
bool EngineDispatch::may_begin_attempt(std::uint64_t trace) {
  for (const core::ConnectionId number : connections_.attempts().being_cancelled(trace)) {
    const auto connection = connections_.find(number);
    if (connection && !connection->is_cancel_transmitted(trace)) {
      on_lost(connection, core::ChannelLossReason::closed, "cancel not transmitted before the next attempt");
    }
    connections_.attempts().ended(trace, number);
  }
  if (!connections_.attempts().out(trace)) return true;
  host_.count(core::Violation::second_active_attempt, {Field::trace, observe::HexId{trace}});
  return false;
}

// After sending, verifies the facts that the decision to send was based on.
void EngineDispatch::check_sent_attempt(const EngineStream& stream, const ClientRequest& request) {
  if (!stream.is_sent || stream.connection->is_closed()) return;
  if (request.abandoned || !request.client->is_open())
    host_.count(core::Violation::sent_after_disconnect, {Field::trace, observe::HexId{stream.id}});
  if (host_.now() - stream.last_progress > deadline_tolerance)
    host_.count(core::Violation::deadline_after_client_timeout, {Field::trace, observe::HexId{stream.id}});
}

core::WriteResult EngineDispatch::send(const core::SendProbe& action) {
  EngineStream* const stream = find(action.channel);
  if (stream == nullptr || stream->connection->is_closed()) return core::WriteResult::failed;
  if (!stream->connection->stream_table().open(stream->id, action.channel))
    return core::WriteResult::suppressed;
  stream->is_sent = true;
  stream->last_progress = host_.now();
  const core::WriteResult result = stream->connection->send(
      action.channel, stream->id,
      {probe_frame(*stream), stream->last_progress, service::ResumeMonitor::count()});
  if (result == core::WriteResult::failed) stream->is_sent = false;
  return result;
}

void EngineDispatch::update_grant(const core::UpdateResourceGrant& action) {
  EngineStream* const stream = find(action.channel);
  if (stream == nullptr || !stream->is_active()) return;
  stream->priority = action.priority;
  std::string frame;
  engine_frames::put_priority(frame, stream->id, action.priority);
  stream->connection->send_command(stream->id, std::move(frame));
}

// ---- Cancelling and closing ----

void EngineDispatch::cancel(const core::CancelOnEngine& action) {
  EngineStream* const stream = find(action.channel);
  if (stream == nullptr) return;
  log_attempt_end(*stream, {Field::reason, "cancelled or timed out"});
  cancel_stream(action.channel, *stream);
  host_.dispatch(core::ChannelLost{action.channel, core::ChannelLossReason::closed});
}

// The attempt ends immediately for the core. For the engine, it ends when the cancel has been transmitted or
// the connection is closed (see may_begin_attempt).
void EngineDispatch::cancel_stream(core::ChannelId channel, EngineStream& stream) {
  if (!stream.is_active()) return;
  stream.is_ended = true;
  EngineConnection& connection = *stream.connection;
  if (connection.is_closed()) return;
  switch (connection.withdraw(channel)) {
    case FrameQueue::WithdrawResult::withdrawn:
      connection.stream_table().release(stream.id);
      connections_.attempts().ended(stream.id, connection.number());
      return;
    case FrameQueue::WithdrawResult::partially_sent:
      // The engine must never get the remaining bytes, and no other frame can follow a partial one.
      on_lost(stream.connection, core::ChannelLossReason::closed, "request cancelled while partially sent");
      return;
    case FrameQueue::WithdrawResult::not_queued: break;
  }
  connection.end_stream(stream.id);
  connection.retire();
  if (!stream.is_probe()) send_cancel(stream);
}

void EngineDispatch::send_cancel(const EngineStream& stream) {
  std::string frame;
  if (stream.answer.is_paging()) {
    engine_frames::put_discard_pages(frame, stream.id);
  } else {
    engine_frames::put_cancel(frame, stream.id);
  }
  // Writing may read clients' input and end channels, including this one, so the stream must not be used
  // after it.
  const core::StreamId id = stream.id;
  const Connection connection = stream.connection;
  connection->send_cancel(id, std::move(frame));
  if (connection->is_cancel_transmitted(id)) {
    connections_.attempts().ended(id, connection->number());
  } else {
    connections_.attempts().cancelling(id, connection->number());
  }
}

void EngineDispatch::close(const core::CloseChannel& action) {
  const auto found = streams_.find(action.channel);
  if (found == streams_.end()) return;
  EngineStream& stream = found->second;
  const Connection connection = stream.connection;
  cancel_stream(action.channel, stream);
  if (!stream.is_sent) connection->stream_table().release(stream.id);
  streams_.erase(found);
  connection->remove_stream(host_.now());
  drop_if_unused(connection);
  answer_budget_.release(action.channel);
  request_waiting_pages();
}

void EngineDispatch::drop_if_unused(const Connection& connection) {
  if (connection->is_closed() || connection->stream_count() > 0) return;
  const bool connects_too_long =
      !connection->is_connected() && host_.now() - connection->opened_at() >= config_.core.connect_timeout;
  if (connection->is_retired() || connects_too_long || !endpoints_.address(connection->engine()))
    connections_.drop(connection);
}

}  // namespace paddlestand::platform
