#include "wire_host.hpp"

#include <utility>
#include <variant>

#include "config/settings_parser.hpp"
#include "wire_actions.hpp"
#include "wire_codes.hpp"
#include "wire_events.hpp"
#include "wire_io.hpp"

namespace paddlestand::bench_adapter {
using config::gossip_entry_bytes;
using config::parse_settings;
using config::ParsedSettings;

std::size_t frame_length(std::span<const std::uint8_t> prefix) {
  const auto length = WireReader(prefix).read<std::uint32_t>();
  if (length < batch_header_bytes || length > max_frame_bytes)
    throw MalformedFrame("invalid frame length " + std::to_string(length));
  return length;
}

std::vector<std::uint8_t> WireHost::reply_to(std::span<const std::uint8_t> batch) {
  WireReader in(batch);
  if (in.read<std::uint32_t>() != batch.size())
    throw MalformedFrame("the stated frame length differs from the actual length");
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
  const auto code = static_cast<EventCode>(in.read_code(first_event_code, last_event_code, "event code"));
  if (code == EventCode::endpoint_list) {
    read_endpoint_list(in);
    return;
  }
  const auto id = in.read<std::uint16_t>();
  switch (code) {
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
  for (const Action& action : actions_) write_action(out, id, action);
}

Event WireHost::read_event(WireReader& in, EventCode code, std::uint16_t id) {
  switch (code) {
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
        instance.engines_by_short_id[static_cast<std::uint16_t>(entry.engine)] = entry.engine;
      return event;
    }
    case EventCode::probe_ended: return read_probe_end(in, find_instance(id).report_names);
    case EventCode::request_abandoned: return RequestAbandoned{in.read<std::uint64_t>()};
    case EventCode::endpoint_list:
    case EventCode::create_instance:
    case EventCode::destroy_instance: break;  // not events; handled by process_record()
  }
  throw MalformedFrame("unknown event code " + std::to_string(static_cast<unsigned>(code)));
}

EndpointsChanged WireHost::read_endpoints(WireReader& in) const {
  const auto number = in.read<std::uint32_t>();
  in.skip<std::uint64_t>();  // time
  EndpointsChanged event;
  event.scope = static_cast<EndpointUpdate>(in.read_code(0, last_endpoint_update, "kind of endpoint update"));
  if (event.scope != EndpointUpdate::failed) event.engines = endpoint_list(number);
  return event;
}

// Skips an incomplete last entry and entries for unknown engines, because peers may run another build.
GossipReceived WireHost::read_gossip(WireReader& in, const Instance& instance) {
  const auto author = in.read<std::uint16_t>();
  const auto bytes = in.read_bytes(in.read<std::uint16_t>());
  gossip_.clear();
  for (std::size_t i = 0; i + gossip_entry_bytes <= bytes.size(); i += gossip_entry_bytes) {
    const auto short_id = static_cast<std::uint16_t>(bytes[i] | bytes[i + 1] << 8U);
    const auto engine = instance.engines_by_short_id.find(short_id);
    if (engine == instance.engines_by_short_id.end()) continue;
    const auto load = bytes[i + 2];
    gossip_.push_back({engine->second, static_cast<double>(load >> gossip_memory_bits),
                       static_cast<double>(load & gossip_max_memory) / gossip_memory_units});
  }
  return {author, gossip_};
}

void WireHost::read_endpoint_list(WireReader& in) {
  const auto number = in.read<std::uint32_t>();
  const auto rows = in.read<std::uint32_t>();
  endpoint_list(number);  // throws if the number is out of range
  if (rows > in.remaining_bytes() / list_entry_bytes) throw MalformedFrame("endpoint list exceeds its frame");
  auto& entries = endpoint_lists_[number];
  entries.clear();
  for (std::uint32_t row = 0; row < rows; ++row) entries.push_back(read_entry(in));
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
  auto& valid = std::get<ParsedSettings>(parsed);
  valid.settings.seed = seed;
  const bool answers_report_cost = valid.settings.answers_report_cost;
  instances_.insert_or_assign(id, Instance{WorkloadManager(std::move(valid.settings)),
                                           std::move(valid.report_names),
                                           answers_report_cost,
                                           {}});
}

WireHost::Instance& WireHost::find_instance(std::uint16_t id) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) throw MalformedFrame("unknown instance " + std::to_string(id));
  return found->second;
}

const std::vector<EngineEntry>& WireHost::endpoint_list(std::uint32_t number) const {
  if (number >= endpoint_lists_.size())
    throw MalformedFrame("endpoint list number out of range: " + std::to_string(number));
  return endpoint_lists_[number];
}

}  // namespace paddlestand::bench_adapter
