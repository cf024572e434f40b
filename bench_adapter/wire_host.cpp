#include "wire_host.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "config/settings_parser.hpp"
#include "wire_codes.hpp"
#include "wire_io.hpp"

namespace paddlestand::bench_adapter {
using config::gossip_entry_bytes;
using config::parse_settings;
using config::ParsedSettings;

namespace {

// ---- Actions ----

void write_action(WireWriter& out, std::uint16_t instance, const Send& action) {
  out.begin_record(ActionCode::send, instance);
  out.write(action.request);
  out.write(static_cast<std::int64_t>(action.timeout.count()));
  out.write(action.engine);
}

void write_action(WireWriter& out, std::uint16_t instance, const Cancel& action) {
  out.begin_record(ActionCode::cancel, instance);
  out.write(action.request);
  out.write(static_cast<std::uint16_t>(action.attempt));
}

void write_action(WireWriter& out, std::uint16_t instance, const Reject& action) {
  out.begin_record(ActionCode::reject, instance);
  out.write(action.request);
  out.write(static_cast<std::uint64_t>(action.retry_after.count()));
}

void write_action(WireWriter& out, std::uint16_t instance, const Fail& action) {
  out.begin_record(ActionCode::fail, instance);
  out.write(action.request);
}

void write_action(WireWriter& out, std::uint16_t instance, const SetTimer& action) {
  out.begin_record(ActionCode::set_timer, instance);
  out.write(action.token);
  out.write(static_cast<std::uint64_t>(action.after.count()));
}

void write_action(WireWriter& out, std::uint16_t instance, const Probe& action) {
  out.begin_record(ActionCode::probe, instance);
  out.write(action.engine);
}

void write_action(WireWriter& out, std::uint16_t instance, const SetResourceGrant& action) {
  out.begin_record(ActionCode::set_resource_grant, instance);
  out.write(action.request);
  out.write(action.priority);
  out.write(static_cast<float>(action.memory_mb));
}

void write_action(WireWriter& out, std::uint16_t instance, const SubscribeEndpoints&) {
  out.begin_record(ActionCode::subscribe_endpoints, instance);
  out.write(std::uint8_t{1});
}

/// An engine's mark is the lower half of its id.
void append_gossip_entry(std::string& bytes, const GossipEntry& entry) {
  const auto threads =
      static_cast<std::uint32_t>(std::clamp(entry.threads, 0.0, static_cast<double>(gossip_max_threads)));
  const double memory_units = entry.memory_share * gossip_memory_units;
  const auto memory =  // NOLINTNEXTLINE(bugprone-incorrect-roundings): it is not negative
      static_cast<std::uint32_t>(std::clamp(memory_units, 0.0, static_cast<double>(gossip_max_memory)) + 0.5);
  bytes.push_back(static_cast<char>(entry.engine & 255U));
  bytes.push_back(static_cast<char>(entry.engine >> 8U & 255U));
  bytes.push_back(static_cast<char>(threads << gossip_memory_bits | std::min(memory, gossip_max_memory)));
}

void write_action(WireWriter& out, std::uint16_t instance, const SendGossip& action) {
  std::string bytes;
  for (const GossipEntry& entry : action.out) {
    if (bytes.size() + gossip_entry_bytes > max_gossip_bytes) break;
    append_gossip_entry(bytes, entry);
  }
  out.begin_record(ActionCode::gossip, instance);
  out.write(all_peers);
  out.write_text(bytes);
}

void write_action(WireWriter& out, std::uint16_t instance, const Log& action) {
  out.begin_record(ActionCode::log, instance);
  out.write_text(action.text);
}

// ---- Events ----

AttemptResult read_result(WireReader& in) {
  const auto code = in.read<std::uint16_t>();
  switch (static_cast<CompletionCode>(code)) {
    case CompletionCode::served: return AttemptResult::served;
    case CompletionCode::engine_error: return AttemptResult::engine_error;
    case CompletionCode::rejected: return AttemptResult::rejected;
    case CompletionCode::timed_out: return AttemptResult::timed_out;
    case CompletionCode::connect_failed: return AttemptResult::connect_failed;
    case CompletionCode::reset: return AttemptResult::reset;
    case CompletionCode::cancelled: return AttemptResult::cancelled;
    case CompletionCode::not_sent: return AttemptResult::not_sent;
  }
  throw MalformedFrame("unknown completion code " + std::to_string(code));
}

EngineEntry read_entry(WireReader& in) {
  EngineEntry entry;
  entry.kind = in.read<std::uint16_t>();
  const auto state = in.read<std::uint8_t>();
  if (state > last_engine_state) throw MalformedFrame("unknown engine condition " + std::to_string(state));
  entry.state = static_cast<EngineState>(state);
  entry.zone = in.read<std::uint8_t>();
  entry.weight = in.read_float();
  entry.cell = in.read<std::uint16_t>();
  entry.engine = in.read<std::uint32_t>();
  entry.started = in.read_time();
  return entry;
}

LoadReport read_report(WireReader& in, const std::vector<std::string>& names) {
  LoadReport report;
  const auto count = in.read<std::uint8_t>();
  for (std::size_t i = 0; i < count; ++i) {
    const double value = in.read_float();
    if (i < names.size() && names[i] == "outstanding") report.queries = value;
  }
  return report;
}

RequestArrived read_request(WireReader& in) {
  RequestArrived event;
  event.request = in.read<std::uint64_t>();
  event.class_index = in.read<std::uint8_t>();
  event.tenant = in.read<std::uint16_t>();
  event.ordering_key = in.read<std::uint64_t>();
  event.client_timeout = in.read_time();
  const Duration cost = in.read_time();
  event.estimated_memory_mb = in.read_float();
  event.tables = in.read_float();
  const auto flags = in.read<std::uint8_t>();
  if ((flags & has_estimated_cost) != 0) event.estimated_cost = cost;
  event.repeated = (flags & is_repeated) != 0;
  return event;
}

AnswerStarted read_answer_start(WireReader& in) {
  const AnswerStarted event{in.read<std::uint64_t>()};
  in.read<std::uint16_t>();  // attempt
  in.read<std::uint64_t>();  // time
  in.read<std::uint32_t>();  // engine
  return event;
}

AttemptEnded read_attempt_end(WireReader& in, const std::vector<std::string>& report_names,
                              bool answers_report_cost) {
  AttemptEnded event;
  event.request = in.read<std::uint64_t>();
  event.attempt = in.read<std::uint16_t>();
  event.engine = in.read<std::uint32_t>();
  event.result = read_result(in);
  event.elapsed = in.read_time();
  event.request_over = in.read<std::uint8_t>() != 0;
  const auto cost = in.read<std::uint32_t>();
  if (answers_report_cost && cost != 0 && event.result == AttemptResult::served) {
    event.work = std::chrono::milliseconds{cost / cost_memory_units};
    event.memory_mb = cost_memory_unit_mb * static_cast<double>(cost % cost_memory_units);
  }
  event.report = read_report(in, report_names);
  return event;
}

ProbeEnded read_probe_end(WireReader& in, const std::vector<std::string>& report_names) {
  ProbeEnded event;
  event.result = read_result(in);
  event.engine = in.read<std::uint32_t>();
  event.elapsed = in.read_time();
  event.report = read_report(in, report_names);
  return event;
}

ProgressReported read_progress(WireReader& in) {
  ProgressReported event;
  event.request = in.read<std::uint64_t>();
  event.attempt = in.read<std::uint16_t>();
  in.read<std::uint32_t>();  // engine
  const auto kind = in.read<std::uint8_t>();
  if (kind < first_progress_kind || kind > last_progress_kind)
    throw MalformedFrame("unknown note " + std::to_string(kind));
  event.kind = static_cast<ProgressKind>(kind - first_progress_kind);
  event.level = in.read_float();
  return event;
}

}  // namespace

std::size_t frame_length(std::span<const std::uint8_t> first_four) {
  const auto length = WireReader(first_four).read<std::uint32_t>();
  if (length < batch_header_bytes || length > max_frame_bytes)
    throw MalformedFrame("impossible frame length " + std::to_string(length));
  return length;
}

std::vector<std::uint8_t> WireHost::reply_to(std::span<const std::uint8_t> batch) {
  WireReader in(batch);
  if (in.read<std::uint32_t>() != batch.size()) throw MalformedFrame("frame length does not match");
  const auto records = in.read<std::uint32_t>();
  const TimePoint now = in.read_time();
  const auto number = in.read<std::uint32_t>();

  WireWriter out;
  out.write(std::uint32_t{0});  // the length, set by finish()
  out.write(number);
  for (std::uint32_t i = 0; i < records; ++i) process_record(in, now, out);
  if (!in.is_at_end()) throw MalformedFrame("bytes after the last record");
  return out.finish();
}

void WireHost::process_record(WireReader& in, TimePoint now, WireWriter& out) {
  const auto code = in.read<std::uint8_t>();
  if (code == static_cast<std::uint8_t>(EventCode::endpoint_list)) {
    read_list(in);
    return;
  }
  if (code < first_event_code || code > last_event_code)
    throw MalformedFrame("unknown event code " + std::to_string(code));
  const auto id = in.read<std::uint16_t>();
  switch (static_cast<EventCode>(code)) {
    case EventCode::create_instance: create_instance(in, id, out); break;
    case EventCode::destroy_instance:
      find_instance(id);
      instances_.erase(id);
      break;
    default: dispatch(id, now, read_event(in, code, id), out); break;
  }
}

void WireHost::dispatch(std::uint16_t id, TimePoint now, const Event& event, WireWriter& out) {
  actions_.clear();
  find_instance(id).manager.handle(now, event, actions_);
  for (const Action& action : actions_)
    std::visit([&](const auto& alternative) { write_action(out, id, alternative); }, action);
}

Event WireHost::read_event(WireReader& in, std::uint8_t code, std::uint16_t id) {
  switch (static_cast<EventCode>(code)) {
    case EventCode::progress: return read_progress(in);
    case EventCode::timer_fired: return TimerFired{in.read<std::uint32_t>()};
    case EventCode::attempt_ended: {
      const Instance& instance = find_instance(id);
      return read_attempt_end(in, instance.report_names, instance.answers_report_cost);
    }
    case EventCode::answer_started: return read_answer_start(in);
    case EventCode::gossip: return read_gossip(in, find_instance(id));
    case EventCode::request_arrived: return read_request(in);
    case EventCode::endpoints_changed: {
      EndpointsChanged event = read_endpoints(in);
      Instance& instance = find_instance(id);
      for (const EngineEntry& entry : event.engines)
        instance.engines_by_mark[static_cast<std::uint16_t>(entry.engine)] = entry.engine;
      return event;
    }
    case EventCode::probe_ended: return read_probe_end(in, find_instance(id).report_names);
    case EventCode::request_abandoned: return RequestAbandoned{in.read<std::uint64_t>()};
    case EventCode::endpoint_list:
    case EventCode::create_instance:
    case EventCode::destroy_instance: break;  // no events: see process_record()
  }
  throw MalformedFrame("unknown event code " + std::to_string(code));
}

EndpointsChanged WireHost::read_endpoints(WireReader& in) const {
  const auto number = in.read<std::uint32_t>();
  in.read<std::uint64_t>();  // time
  const auto update = in.read<std::uint8_t>();
  if (update > last_endpoint_update)
    throw MalformedFrame("unknown scope of a list " + std::to_string(update));
  EndpointsChanged event;
  event.scope = static_cast<EndpointUpdate>(update);
  if (event.scope != EndpointUpdate::failed) event.engines = list(number);
  return event;
}

// Skips bytes that are no complete entry, and entries about unknown engines: peers may run another build.
GossipReceived WireHost::read_gossip(WireReader& in, const Instance& instance) {
  const auto author = in.read<std::uint16_t>();
  const auto bytes = in.read_bytes(in.read<std::uint16_t>());
  gossip_.clear();
  for (std::size_t i = 0; i + gossip_entry_bytes <= bytes.size(); i += gossip_entry_bytes) {
    const auto mark = static_cast<std::uint16_t>(bytes[i] | bytes[i + 1] << 8U);
    const auto engine = instance.engines_by_mark.find(mark);
    if (engine == instance.engines_by_mark.end()) continue;
    const auto load = bytes[i + 2];
    gossip_.push_back({engine->second, static_cast<double>(load >> gossip_memory_bits),
                       static_cast<double>(load & gossip_max_memory) / gossip_memory_units});
  }
  return {author, gossip_};
}

void WireHost::read_list(WireReader& in) {
  const auto number = in.read<std::uint32_t>();
  const auto rows = in.read<std::uint32_t>();
  list(number);  // throws where there is none of that number
  if (rows > in.remaining_bytes() / list_entry_bytes) throw MalformedFrame("list longer than its frame");
  lists_[number].clear();
  for (std::uint32_t row = 0; row < rows; ++row) lists_[number].push_back(read_entry(in));
}

void WireHost::create_instance(WireReader& in, std::uint16_t id, WireWriter& out) {
  const auto seed = in.read<std::uint64_t>();
  const auto bytes = in.read_bytes(in.read<std::uint32_t>());
  auto parsed = parse_settings(std::string(bytes.begin(), bytes.end()));
  if (const auto* error = std::get_if<config::SettingsError>(&parsed)) {
    out.begin_record(ActionCode::settings_error, id);
    out.write_text(error->text());
    parsed = ParsedSettings{};
  }
  auto& settings = std::get<ParsedSettings>(parsed);
  settings.settings.seed = seed;
  const bool answers_report_cost = settings.settings.answers_report_cost;
  instances_.insert_or_assign(id, Instance{WorkloadManager(std::move(settings.settings)),
                                           std::move(settings.report_names),
                                           answers_report_cost,
                                           {}});
}

WireHost::Instance& WireHost::find_instance(std::uint16_t id) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) throw MalformedFrame("unknown instance " + std::to_string(id));
  return found->second;
}

const std::vector<EngineEntry>& WireHost::list(std::uint32_t number) const {
  if (number >= lists_.size()) throw MalformedFrame("list number out of range: " + std::to_string(number));
  return lists_[number];
}

}  // namespace paddlestand::bench_adapter
