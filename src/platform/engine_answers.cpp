// EngineDispatch: answers from engines, and the sweep that handles overdue answers.
#include <algorithm>
#include <cmath>

#include "engine_dispatch.hpp"

namespace paddlestand::platform {
using Field = observe::LogFieldName;
using namespace std::chrono_literals;

namespace {

constexpr Duration max_idle_margin = 2s;  // before the engine closes an idle connection
constexpr double nanoseconds_per_millisecond = 1e6;

LoadReport load_report_of(const engine_frames::Answer& answer) {
  LoadReport report;
  for (const auto& [name, value] : answer.gauges)
    if (name == "inflight") report.queries = value;
  return report;
}

}  // namespace

// ---- Answers ----

std::optional<ProtocolError> EngineDispatch::on_answer(EngineConnection& connection, core::ChannelId channel,
                                                       engine_frames::Answer answer) {
  EngineStream* const stream = find(channel);
  if (stream == nullptr) return std::nullopt;
  if (!stream->is_probe()) return continue_answer(connection, channel, *stream, std::move(answer));
  end_probe(connection, channel, *stream, answer);
  return std::nullopt;
}

void EngineDispatch::end_probe(EngineConnection& connection, core::ChannelId channel, EngineStream& stream,
                               const engine_frames::Answer& answer) {
  const bool is_healthy = answer.code == engine_frames::Reply::healthy;
  if (!is_healthy && answer.code != engine_frames::Reply::unhealthy) return;
  core::AnswerEnd end;
  end.channel = channel;
  end.ending = is_healthy ? core::Ending::complete : core::Ending::engine_error;
  end.report = load_report_of(answer);
  stream.is_ended = true;
  connection.end_stream(stream.id);
  if (host_.is_tracing()) host_.log().info(observe::LogEvent::health_check, {{Field::engine, stream.engine}});
  host_.dispatch(end);
}

std::optional<ProtocolError> EngineDispatch::continue_answer(EngineConnection& connection,
                                                             core::ChannelId channel, EngineStream& stream,
                                                             engine_frames::Answer answer) {
  stream.last_progress = host_.now();
  const PagedAnswer::Step step = stream.answer.add(std::move(answer));
  if (const auto* invalid = std::get_if<engine_frames::ProtocolViolation>(&step))
    return ProtocolError{ProtocolError::Kind::invalid_result, invalid->what};
  if (std::holds_alternative<PagedAnswer::RequestPages>(step)) {
    request_pages_when_possible(connection, channel, stream);
  } else if (const auto* done = std::get_if<PagedAnswer::Done>(&step)) {
    finish_attempt(connection, channel, stream, done->ending);
  }
  return std::nullopt;
}

void EngineDispatch::request_pages(EngineConnection& connection, const EngineStream& stream) {
  std::string frames;
  for (std::uint32_t page = 1; page < stream.answer.head().pages; ++page)
    engine_frames::put_page_request(frames, stream.id, page);
  connection.send_command(stream.id, std::move(frames));
}

void EngineDispatch::request_pages_when_possible(EngineConnection& connection, core::ChannelId channel,
                                                 const EngineStream& stream) {
  const std::size_t bytes = std::min(max_result, stream.answer.head().pages * engine_frames::max_page);
  if (answer_budget_.reserve(channel, bytes)) request_pages(connection, stream);
}

// Writing may read clients' input and end channels, so each stream is looked up when it is its turn.
void EngineDispatch::request_waiting_pages() {
  for (const core::ChannelId channel : answer_budget_.grant_available()) {
    EngineStream* const stream = find(channel);
    if (stream == nullptr || !stream->is_active()) continue;
    stream->last_progress = host_.now();
    request_pages(*stream->connection, *stream);
  }
}

void EngineDispatch::finish_attempt(EngineConnection& connection, core::ChannelId channel,
                                    EngineStream& stream, core::Ending ending) {
  const engine_frames::Answer& head = stream.answer.head();
  core::AnswerEnd end;
  end.channel = channel;
  end.ending = ending;
  end.bytes = stream.answer.body().size();
  if (head.work_ms) end.work = Duration{std::llround(*head.work_ms * nanoseconds_per_millisecond)};
  end.memory_mb = head.memory_mb;
  end.report = load_report_of(head);
  stream.is_ended = true;
  log_attempt_end(stream, {Field::code, static_cast<int>(head.code)});
  connection.end_stream(stream.id);
  connections_.attempts().ended(stream.id, connection.number());
  // Writing may read clients' input and end channels, including this one, so the stream must not be used
  // after it.
  if (head.pages > 1) {
    const core::StreamId id = stream.id;
    std::string frame;
    engine_frames::put_discard_pages(frame, id);
    connection.send_command(id, std::move(frame));
  }
  host_.dispatch(end);
}

void EngineDispatch::on_unmatched_frame(const EngineConnection& connection,
                                        const engine_frames::Answer& answer) {
  ++unmatched_frames_;
  if (!host_.is_tracing()) return;
  host_.log().info(observe::LogEvent::frame_unmatched, {{Field::trace, observe::HexId{answer.id}},
                                                        {Field::code, static_cast<int>(answer.code)},
                                                        {Field::engine, connection.engine()},
                                                        {Field::connection, connection.number()}});
}

// ---- Sweep ----

bool EngineDispatch::is_stalled(const EngineConnection& connection, TimePoint now) const {
  const auto since = connection.partial_frame_since();
  return since && now - *since > config_.core.connect_timeout;
}

// This side closes an idle connection before the engine does, so that no request is sent while the engine
// closes it.
bool EngineDispatch::is_expired(const EngineConnection& connection, TimePoint now) const {
  if (connection.stream_count() > 0) return false;
  const Duration lifetime = config_.core.idle_channel_lifetime;
  const bool is_idle_too_long =
      now - connection.last_used() > lifetime - std::min(lifetime / 2, max_idle_margin);
  const bool connects_too_long =
      !connection.is_connected() && now - connection.opened_at() > config_.core.connect_timeout;
  return is_idle_too_long || connects_too_long || !endpoints_.address(connection.engine());
}

std::vector<EngineDispatch::Connection> EngineDispatch::find_expired(TimePoint now) const {
  std::vector<Connection> expired;
  for (const auto& [engine, connections] : connections_.all()) {
    for (const Connection& connection : connections)
      if (!is_stalled(*connection, now) && is_expired(*connection, now)) expired.push_back(connection);
  }
  return expired;
}

std::vector<EngineDispatch::Connection> EngineDispatch::find_stalled(TimePoint now) const {
  std::vector<Connection> stalled;
  for (const auto& [engine, connections] : connections_.all()) {
    for (const Connection& connection : connections)
      if (is_stalled(*connection, now)) stalled.push_back(connection);
  }
  for (const auto& [channel, stream] : streams_) {
    const bool awaits_page = stream.is_active() && stream.answer.is_paging() &&
                             !answer_budget_.is_waiting(channel) &&
                             now - stream.last_progress > config_.core.connect_timeout;
    if (awaits_page && std::find(stalled.begin(), stalled.end(), stream.connection) == stalled.end())
      stalled.push_back(stream.connection);
  }
  return stalled;
}

void EngineDispatch::sweep(TimePoint now) {
  const auto stalled = find_stalled(now);
  for (const Connection& connection : find_expired(now)) connections_.drop(connection);
  for (const Connection& connection : stalled) {
    if (!connection->is_closed())
      on_lost(connection, core::ChannelLossReason::protocol_error, "incomplete answer: timed out");
  }
}

// ---- Log ----

void EngineDispatch::log_sent(const core::SendQuery& action, const EngineStream& stream) {
  host_.log().info(observe::LogEvent::attempt_sent, {{Field::trace, observe::HexId{stream.id}},
                                                     {Field::query, action.query},
                                                     {Field::attempt, action.attempt},
                                                     {Field::engine, stream.engine},
                                                     {Field::connection, stream.connection->number()},
                                                     {Field::priority, action.priority},
                                                     {Field::memory_mb, action.memory_mb}});
}

void EngineDispatch::log_attempt_end(const EngineStream& stream, const observe::LogField& outcome) {
  if (!host_.is_tracing() || stream.is_probe()) return;
  host_.log().info(observe::LogEvent::attempt_ended, {{Field::trace, observe::HexId{stream.id}},
                                                      {Field::query, stream.query},
                                                      {Field::engine, stream.engine},
                                                      {Field::connection, stream.connection->number()},
                                                      outcome});
}

}  // namespace paddlestand::platform
