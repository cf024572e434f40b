#include "wire_actions.hpp"

#include <algorithm>
#include <string>
#include <variant>

#include "config/settings_parser.hpp"
#include "wire_codes.hpp"

namespace paddlestand::bench_adapter {
namespace {

using config::gossip_entry_bytes;

/// Appends an entry with the engine's short id, which is the lower half of its id.
void append_gossip_entry(std::string& bytes, const GossipEntry& entry) {
  const auto threads =
      static_cast<std::uint32_t>(std::clamp(entry.threads, 0.0, static_cast<double>(gossip_max_threads)));
  const double memory_units = entry.memory_share * gossip_memory_units;
  const auto memory =  // NOLINTNEXTLINE(bugprone-incorrect-roundings): the value is not negative
      static_cast<std::uint32_t>(std::clamp(memory_units, 0.0, static_cast<double>(gossip_max_memory)) + 0.5);
  bytes.push_back(static_cast<char>(entry.engine & 255U));
  bytes.push_back(static_cast<char>(entry.engine >> 8U & 255U));
  bytes.push_back(static_cast<char>(threads << gossip_memory_bits | std::min(memory, gossip_max_memory)));
}

void write_record(WireWriter& out, std::uint16_t instance, const Send& action) {
  out.begin_record(ActionCode::send, instance);
  out.write(action.request);
  out.write_time(action.timeout);
  out.write(action.engine);
}

void write_record(WireWriter& out, std::uint16_t instance, const Cancel& action) {
  out.begin_record(ActionCode::cancel, instance);
  out.write(action.request);
  out.write(static_cast<std::uint16_t>(action.attempt));
}

void write_record(WireWriter& out, std::uint16_t instance, const Reject& action) {
  out.begin_record(ActionCode::reject, instance);
  out.write(action.request);
  out.write_time(action.retry_after);
}

void write_record(WireWriter& out, std::uint16_t instance, const Fail& action) {
  out.begin_record(ActionCode::fail, instance);
  out.write(action.request);
}

void write_record(WireWriter& out, std::uint16_t instance, const SetTimer& action) {
  out.begin_record(ActionCode::set_timer, instance);
  out.write(action.token);
  out.write_time(action.after);
}

void write_record(WireWriter& out, std::uint16_t instance, const Probe& action) {
  out.begin_record(ActionCode::probe, instance);
  out.write(action.engine);
}

void write_record(WireWriter& out, std::uint16_t instance, const SetResourceGrant& action) {
  out.begin_record(ActionCode::set_resource_grant, instance);
  out.write(action.request);
  out.write(action.priority);
  out.write(static_cast<float>(action.memory_mb));
}

void write_record(WireWriter& out, std::uint16_t instance, const SubscribeEndpoints&) {
  out.begin_record(ActionCode::subscribe_endpoints, instance);
  out.write(std::uint8_t{1});
}

void write_record(WireWriter& out, std::uint16_t instance, const SendGossip& action) {
  std::string bytes;
  for (const GossipEntry& entry : action.entries) {
    if (bytes.size() + gossip_entry_bytes > max_gossip_bytes) break;
    append_gossip_entry(bytes, entry);
  }
  out.begin_record(ActionCode::gossip, instance);
  out.write(all_peers);
  out.write_text(bytes);
}

void write_record(WireWriter& out, std::uint16_t instance, const Log& action) {
  out.begin_record(ActionCode::log, instance);
  out.write_text(action.text);
}

}  // namespace

void write_action(WireWriter& out, std::uint16_t instance, const Action& action) {
  std::visit([&](const auto& alternative) { write_record(out, instance, alternative); }, action);
}

}  // namespace paddlestand::bench_adapter
