// The side of Platform that faces engines: channels of the core as streams on connections.
#include <algorithm>
#include <cmath>

#include "endpoint.hpp"
#include "hex.hpp"
#include "platform_server.hpp"

namespace paddlestand::platform {
using namespace std::chrono_literals;

namespace {

constexpr Duration slack_of_deadline = 150ms;  // that an engine may be told too much
constexpr std::uint64_t probe_ids = std::uint64_t{0xf1} << 56U;  // apart from most requests' ids

}  // namespace

// ---- Links and connections ----

// A connection whose end is here already is no place: a request written into it would be reset, and nobody
// could say that it never ran.
std::shared_ptr<EngineConnection> PlatformServer::connection_for(EngineId engine, core::ChannelUse use,
                                                                 core::StreamId id) {
  const auto at = endpoints_.address(engine);
  if (!at) return nullptr;
  for (;;) {
    const auto connection = connections_.place(engine, endpoint_of(*at), use, id, endpoints_.size());
    if (!connection || !connection->ended()) return connection;
    connection_lost(connection, core::ChannelLossReason::closed, "ended");
  }
}

// The id that a channel's frames will have; nothing where its request is over.
std::optional<core::StreamId> PlatformServer::stream_id_of(const core::OpenChannel& action) {
  if (action.use == core::ChannelUse::probe) return probe_ids | ++last_probe_;
  return trace_of(action.query);
}

void PlatformServer::execute(const core::OpenChannel& action) {
  const auto id = stream_id_of(action);
  const auto connection = id ? connection_for(action.engine, action.use, *id) : nullptr;
  if (!connection || !connection->table().reserve(*id, action.channel))
    return dispatch(core::ChannelLost{action.channel, core::ChannelLossReason::local});
  if (connection->table().exhausted()) connection->retire();
  Stream& stream = streams_[action.channel];
  stream.engine = action.engine;
  stream.use = action.use;
  stream.connection = connection;
  stream.id = *id;
  connection->join();
  if (connection->up()) dispatch(core::ChannelOpened{action.channel});
}

void PlatformServer::connection_up(const std::shared_ptr<EngineConnection>& connection) {
  std::vector<core::ChannelId> waiting;
  for (const auto& [channel, stream] : streams_)
    if (stream.connection == connection && !stream.sent) waiting.push_back(channel);
  for (const core::ChannelId channel : waiting) dispatch(core::ChannelOpened{channel});
}

void PlatformServer::connection_lost(const std::shared_ptr<EngineConnection>& connection,
                                     core::ChannelLossReason why, const std::string& what) {
  std::vector<core::ChannelId> on_it;
  for (const auto& [channel, stream] : streams_)
    if (stream.connection == connection) on_it.push_back(channel);
  if (why == core::ChannelLossReason::protocol_error || !on_it.empty() || trace_)
    log_.info("engine connection", "engine " + std::to_string(connection->engine()) + ": " + what + "; " +
                                       std::to_string(on_it.size()) + " streams end");
  connections_.drop(connection);
  for (const core::ChannelId channel : on_it) dispatch(core::ChannelLost{channel, why});
}

bool PlatformServer::may_dispatch(core::QueryId query) {
  for (bool just_read = false;; just_read = true) {
    const auto asked = requests_.find(query);
    if (asked == requests_.end()) return false;
    const std::shared_ptr<Client> client = asked->second.client;
    core::DispatchFacts facts;
    facts.client_present = client->open() && !asked->second.abandon;
    facts.since_client_was_read = now() - client->read_empty();
    facts.time_left = asked->second.until - now();
    facts.just_read = just_read;
    const core::DispatchDecision decision = core::may_dispatch(facts);
    if (decision != core::DispatchDecision::read_client_first)
      return decision == core::DispatchDecision::dispatch;
    client->read_now();
  }
}

std::string PlatformServer::request_frame(const Stream& stream, const Request& request, TimePoint at) const {
  std::string frame;
  engine_frames::Request out;
  out.id = request.trace;
  out.class_name = config_.core.module.classes[request.class_index].name;
  out.token = request.nonce;
  out.statement = request.statement;
  out.wait = request.until - at;
  out.memory_mb = stream.memory_mb;
  out.rank = stream.rank;
  engine_frames::put_request(frame, out);
  return frame;
}

std::string PlatformServer::probe_frame(const Stream& stream) const {
  std::string frame;
  engine_frames::put_probe(frame, stream.id, !config_.report_names.empty());
  return frame;
}

std::optional<std::string> PlatformServer::frame_for(core::ChannelId channel) {
  auto found = streams_.find(channel);
  if (found == streams_.end()) return std::nullopt;
  if (found->second.use == core::ChannelUse::probe) return probe_frame(found->second);
  const bool may = may_dispatch(found->second.query);
  found = streams_.find(channel);  // the look may have changed the table
  if (found == streams_.end()) return std::nullopt;
  const auto asked = requests_.find(found->second.query);
  if (!may || asked == requests_.end()) {
    found->second.sent = false;
    found->second.connection->table().release(found->second.id);
    connections_.attempts().ended(found->second.id, found->second.connection->number());
    return std::nullopt;
  }
  found->second.at = now();
  return request_frame(found->second, asked->second, found->second.at);
}

core::WriteResult PlatformServer::send(const core::SendQuery& action) {
  if (!may_dispatch(action.query)) {
    if (trace_)
      log_.info("withheld", "query " + std::to_string(action.query) + ": its client is gone, or its time");
    return core::WriteResult::suppressed;
  }
  const auto found = streams_.find(action.channel);
  const auto asked = requests_.find(action.query);
  if (found == streams_.end() || asked == requests_.end()) return core::WriteResult::failed;
  Stream& stream = found->second;
  const Request& request = asked->second;
  if (stream.connection->closed()) return core::WriteResult::failed;
  if (!may_begin_attempt(request.trace)) return core::WriteResult::suppressed;
  if (!stream.connection->table().open(stream.id, action.channel)) {
    count(core::Violation::stream_id_used_twice, hex_of(stream.id));
    return core::WriteResult::suppressed;
  }
  stream.query = action.query;
  stream.memory_mb = action.memory_mb;
  stream.rank = action.priority;
  stream.sent = true;
  stream.at = now();
  std::string frame = request_frame(stream, request, stream.at);
  if (trace_)
    log_.info("sent", hex_of(stream.id) + " query " + std::to_string(action.query) + " attempt " +
                          std::to_string(action.attempt) + " engine " + std::to_string(stream.engine) +
                          " connection " + std::to_string(stream.connection->number()) + " rank " +
                          std::to_string(action.priority) + " grant " + std::to_string(action.memory_mb));
  connections_.attempts().began(stream.id, stream.connection->number());
  const core::WriteResult written =
      stream.connection->send(action.channel, stream.id, std::move(frame), stream.at);
  if (written == core::WriteResult::failed) {
    stream.sent = false;
    connections_.attempts().ended(stream.id, stream.connection->number());
  }
  check_dispatch(stream, request);
  return written;
}

// The core is told that a cancelled attempt is over as soon as its cancel was sent. Before the next one
// begins that must be so for the engine too: where the cancel has not left, the connection's end gives the
// attempt up.
bool PlatformServer::may_begin_attempt(std::uint64_t trace) {
  for (const core::ConnectionId number : connections_.attempts().being_cancelled(trace)) {
    const auto connection = connections_.find(number);
    if (connection && !connection->cancel_has_left(trace))
      connection_lost(connection, core::ChannelLossReason::closed,
                      "a cancel could not be sent before the next attempt");
    connections_.attempts().ended(trace, number);
  }
  if (!connections_.attempts().out(trace)) return true;
  count(core::Violation::second_attempt_out, hex_of(trace));
  return false;
}

// The rule's own decision is held against what is so once the bytes have left.
void PlatformServer::check_dispatch(const Stream& stream, const Request& request) {
  if (!stream.sent) return;
  if (request.abandon || !request.client->open())
    count(core::Violation::begun_after_client_left, hex_of(stream.id));
  if (now() - stream.at > slack_of_deadline)
    count(core::Violation::deadline_beyond_client, hex_of(stream.id));
}

core::WriteResult PlatformServer::send(const core::SendProbe& action) {
  const auto found = streams_.find(action.channel);
  if (found == streams_.end() || found->second.connection->closed()) return core::WriteResult::failed;
  Stream& stream = found->second;
  if (!stream.connection->table().open(stream.id, action.channel)) return core::WriteResult::suppressed;
  stream.sent = true;
  stream.at = now();
  const core::WriteResult written =
      stream.connection->send(action.channel, stream.id, probe_frame(stream), stream.at);
  if (written == core::WriteResult::failed) stream.sent = false;
  return written;
}

void PlatformServer::frame_without_stream(const EngineConnection& connection,
                                          const engine_frames::Answer& answer) {
  ++frames_without_stream_;
  if (!trace_) return;
  log_.info("frame without stream",
            hex_of(answer.id) + " code " + std::to_string(static_cast<int>(answer.code)) + " engine " +
                std::to_string(connection.engine()) + " connection " + std::to_string(connection.number()));
}

void PlatformServer::log_attempt_end(const Stream& stream, std::string_view how) {
  if (!trace_ || stream.use == core::ChannelUse::probe) return;
  log_.info("attempt ended", hex_of(stream.id) + " query " + std::to_string(stream.query) + " engine " +
                                 std::to_string(stream.engine) + " connection " +
                                 std::to_string(stream.connection->number()) + ": " + std::string(how));
}

LoadReport PlatformServer::report_of(const engine_frames::Answer& answer) const {
  LoadReport report;
  for (const auto& [name, value] : answer.gauges)
    if (name == "inflight") report.queries = value;
  return report;
}

std::string PlatformServer::answered(EngineConnection& connection, core::ChannelId channel,
                                     engine_frames::Answer answer) {
  const auto found = streams_.find(channel);
  if (found == streams_.end()) return {};
  Stream& stream = found->second;
  if (stream.use == core::ChannelUse::probe) {
    if (answer.code != engine_frames::Reply::well && answer.code != engine_frames::Reply::ill) return {};
    core::AnswerEnd end;
    end.channel = channel;
    end.ending =
        answer.code == engine_frames::Reply::well ? core::Ending::complete : core::Ending::engine_error;
    end.report = report_of(answer);
    stream.ended = true;
    connection.end_stream(stream.id);
    if (trace_) log_.info("probe", "engine " + std::to_string(stream.engine));
    dispatch(end);
    return {};
  }
  stream.at = now();
  auto step = stream.answer.take(std::move(answer));
  if (const auto* on_violation = std::get_if<engine_frames::Broken>(&step)) return on_violation->what;
  if (const auto* more = std::get_if<PagedAnswer::More>(&step)) {
    std::string frames;
    for (std::uint32_t page = 1; page < more->pages; ++page)
      engine_frames::put_page_wanted(frames, stream.id, page);
    connection.send_command(stream.id, std::move(frames));
    return {};
  }
  const auto* done = std::get_if<PagedAnswer::Done>(&step);
  if (done == nullptr) return {};
  const engine_frames::Answer& head = stream.answer.head();
  core::AnswerEnd end;
  end.channel = channel;
  end.ending = done->ending;
  end.bytes = stream.answer.body().size();
  if (head.work_ms) end.work = Duration{std::llround(*head.work_ms * 1e6)};
  end.memory_mb = head.memory_mb;
  end.report = report_of(head);
  stream.ended = true;
  log_attempt_end(stream, "answered, code " + std::to_string(static_cast<int>(head.code)));
  connection.end_stream(stream.id);
  const core::StreamId id = stream.id;
  connections_.attempts().ended(stream.id, connection.number());
  // Writing may read clients and end channels, this one too: the stream is not touched behind it.
  if (head.pages > 1) {
    std::string frame;
    engine_frames::put_no_more(frame, id);
    connection.send_command(id, std::move(frame));
  }
  dispatch(end);
  return {};
}

// From here on the attempt is over for the core; for the engine once its cancel has left, or the connection
// is closed (may_begin_attempt).
void PlatformServer::give_up(core::ChannelId channel, Stream& stream) {
  if (!stream.sent || stream.ended) return;
  stream.ended = true;
  EngineConnection& connection = *stream.connection;
  if (connection.closed()) return;
  switch (connection.withdraw(channel)) {
    case FrameQueue::Withdrawn::whole:
      connection.table().release(stream.id);
      return connections_.attempts().ended(stream.id, connection.number());
    case FrameQueue::Withdrawn::half:
      // The engine must never get the rest, and nothing can follow half a frame.
      return connection_lost(stream.connection, core::ChannelLossReason::closed,
                             "a request was given up half written");
    case FrameQueue::Withdrawn::unknown: break;
  }
  connection.end_stream(stream.id);
  connection.retire();
  if (stream.use == core::ChannelUse::probe) return;
  std::string frame;
  stream.answer.paging() ? engine_frames::put_no_more(frame, stream.id)
                         : engine_frames::put_give_up(frame, stream.id);
  const core::StreamId id = stream.id;
  const auto kept = stream.connection;
  connection.send_cancel(id, std::move(frame));
  connection.cancel_has_left(id) ? connections_.attempts().ended(id, connection.number())
                                 : connections_.attempts().cancelling(id, connection.number());
}

// The protocol gives up at once and without an answer.
void PlatformServer::execute(const core::CancelOnEngine& action) {
  const auto found = streams_.find(action.channel);
  if (found == streams_.end()) return;
  log_attempt_end(found->second, "cancelled or timed out");
  give_up(action.channel, found->second);
  dispatch(core::ChannelLost{action.channel, core::ChannelLossReason::closed});
}

void PlatformServer::execute(const core::UpdateResourceGrant& action) {
  const auto found = streams_.find(action.channel);
  if (found == streams_.end() || !found->second.sent || found->second.ended) return;
  std::string frame;
  found->second.rank = action.priority;
  engine_frames::put_priority(frame, found->second.id, action.priority);
  found->second.connection->send_command(found->second.id, std::move(frame));
}

void PlatformServer::execute(const core::CloseChannel& action) {
  const auto found = streams_.find(action.channel);
  if (found == streams_.end()) return;
  const auto connection = found->second.connection;
  give_up(action.channel, found->second);
  if (!found->second.sent) connection->table().release(found->second.id);
  streams_.erase(found);
  connection->leave(now());
  if (connection->closed() || connection->streams() > 0) return;
  const bool hangs = !connection->up() && now() - connection->opened() >= config_.core.connect_timeout;
  if (connection->retired() || hangs || !endpoints_.address(connection->engine()))
    connections_.drop(connection);
}

void PlatformServer::sweep_connections(TimePoint at) {
  // An idle connection is closed from here, before the engine does: a request must not cross its close.
  const Duration idle =
      config_.core.idle_channel_lifetime - std::min(config_.core.idle_channel_lifetime / 2, Duration(2s));
  const Duration wait = config_.core.connect_timeout;
  std::vector<std::shared_ptr<EngineConnection>> stalled, dead;
  for (const auto& [engine, all] : connections_.all()) {
    const bool gone = !endpoints_.address(engine);
    for (const auto& connection : all) {
      if (connection->stalled_since() && at - *connection->stalled_since() > wait) {
        stalled.push_back(connection);
      } else if (connection->streams() == 0 && (gone || at - connection->used() > idle ||
                                                (!connection->up() && at - connection->opened() > wait))) {
        dead.push_back(connection);
      }
    }
  }
  for (const auto& [channel, stream] : streams_) {
    if (stream.sent && !stream.ended && stream.answer.paging() && at - stream.at > wait &&
        std::find(stalled.begin(), stalled.end(), stream.connection) == stalled.end())
      stalled.push_back(stream.connection);
  }
  for (const auto& connection : dead) connections_.drop(connection);
  for (const auto& connection : stalled)
    if (!connection->closed())
      connection_lost(connection, core::ChannelLossReason::protocol_error,
                      "the rest of an answer did not come");
}

}  // namespace paddlestand::platform
