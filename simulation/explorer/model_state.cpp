#include "model_state.hpp"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "action_recorder.hpp"
#include "digest.hpp"

namespace paddlestand::explorer {

ModelState::ModelState(std::shared_ptr<const Scope> scope)
    : scope_(std::move(scope)), now_(start_of_time), remaining_faults_(scope_->faults) {
  engines_.resize(scope_->engines);
  for (std::uint32_t index = 0; index < scope_->managers; ++index) {
    core::CoreSettings settings = scope_->core;
    settings.module.instance_index = index;
    settings.module.seed += index;
    managers_.push_back(
        {core::EventDispatcher(settings, true), std::vector<Client>(scope_->clients), {}, {}, false});
  }
  announce_endpoints(EndpointUpdate::full, 0);
  for (std::uint32_t manager = 0; manager < scope_->managers; ++manager) {
    for (std::uint32_t client = 0; client < scope_->clients; ++client)
      dispatch(manager, core::SessionOpened{managers_[manager].session_of(client)});
  }
}

void ModelState::dispatch(std::uint32_t manager, core::CoreEvent event) {
  ActionRecorder host(*this, manager);
  managers_[manager].dispatcher.dispatch(std::move(event), host);
}

// ---- Lookups ----

const EngineSideChannel* ModelState::channel_of(const Move& move) const {
  if (!concerns_channel(move.step)) return nullptr;
  return managers_[move.manager].find_channel(move.subject);
}

ModelEngine& ModelState::engine_of(const EngineSideChannel& channel) { return engines_[channel.engine - 1]; }

const ModelEngine& ModelState::engine_of(const EngineSideChannel& channel) const {
  return engines_[channel.engine - 1];
}

bool ModelState::has_running_process(const EngineSideChannel& channel) const {
  return channel.engine_incarnation == engine_of(channel).incarnation;
}

EngineEntry ModelState::entry_of(EngineId id) const {
  const ModelEngine& engine = engines_[id - 1];
  EngineEntry entry;
  entry.engine = id;
  entry.state = engine.listed_state;
  entry.zone = (id - 1) % scope_->zones;
  entry.started = engine.started;
  return entry;
}

PlannedQuery ModelState::planned_query(std::uint32_t manager, std::uint32_t client, std::uint32_t nth) const {
  if (!scope_->endless) {
    for (const PlannedQuery& query : scope_->queries) {
      if (query.client == client && nth-- == 0) return query;
    }
    return {};
  }
  // A hash of the manager, the client and the query's number: well mixed, and the same in every run.
  std::uint64_t mixed = (manager * 1000003ULL + client) * 1000003ULL + nth;
  mixed = (mixed ^ (mixed >> 29U)) * 0xbf58476d1ce4e5b9ULL;
  mixed ^= mixed >> 32U;
  PlannedQuery query{client, static_cast<QueryClass>(mixed % query_class_count), 0};
  if (query.query_class == QueryClass::ordered_by_key || query.query_class == QueryClass::keyed)
    query.key = 1 + (mixed >> 8U) % 6;
  return query;
}

// Zero if the client has no such query.
QueryId ModelState::query_id(std::uint32_t client, std::uint32_t nth) const {
  if (scope_->endless) return std::uint64_t{nth} * 256 + client + 1;
  for (std::size_t i = 0; i < scope_->queries.size(); ++i) {
    if (scope_->queries[i].client == client && nth-- == 0) return i + 1;
  }
  return 0;
}

bool ModelState::has_next_query(std::uint32_t manager, std::uint32_t client) const {
  return scope_->endless || query_id(client, managers_[manager].clients[client].queries_submitted) != 0;
}

bool ModelState::spends_fault(const Move& move) const {
  if (!is_fault(move.step)) return false;
  // The reset of a channel whose engine process has ended is not a fault of its own.
  const EngineSideChannel* channel = channel_of(move);
  return move.step != Step::channel_reset || channel == nullptr || has_running_process(*channel);
}

// ---- Events of several kinds of step ----

void ModelState::submit_query(std::uint32_t manager_index, std::uint32_t client_index) {
  ManagerState& manager = managers_[manager_index];
  Client& client = manager.clients[client_index];
  const PlannedQuery planned = planned_query(manager_index, client_index, client.queries_submitted);
  const QueryId id = query_id(client_index, client.queries_submitted);
  ++client.queries_submitted;
  client.active_query = id;
  ObservedQuery observed;
  observed.client = static_cast<std::uint8_t>(client_index);
  observed.query_class = planned.query_class;
  observed.ordering_key = planned.key;
  manager.queries[id] = observed;

  core::QueryArrived event;
  event.session = manager.session_of(client_index);
  event.query = id;
  event.class_index = static_cast<std::uint32_t>(planned.query_class);
  event.ordering_key = planned.key;
  event.client_timeout = scope_->core.module.classes[event.class_index].deadline;
  event.estimated_cost = query_work;
  dispatch(manager_index, event);
  if (std::exchange(client.has_deferred_cancel, false))
    dispatch(manager_index, core::ClientCancelled{manager.session_of(client_index)});
}

// A delta holds one engine; a full list holds all engines that are not removed.
void ModelState::announce_endpoints(EndpointUpdate update, EngineId engine) {
  core::EndpointsUpdated event;
  event.scope = update;
  for (EngineId id = 1; id <= scope_->engines; ++id) {
    const EngineEntry entry = entry_of(id);
    const bool is_named =
        update == EndpointUpdate::delta ? id == engine : entry.state != EngineState::removed;
    if (is_named && update != EndpointUpdate::failed) event.engines.push_back(entry);
  }
  for (std::uint32_t manager = 0; manager < scope_->managers; ++manager) dispatch(manager, event);
}

// ---- Checks ----

void ModelState::check_consistency() {
  for (ManagerState& manager : managers_) {
    try {
      manager.dispatcher.coordinator().check();
    } catch (const std::logic_error& error) { report_violation(Invariant::consistent_state, error.what()); }
  }
}

std::optional<InvariantViolation> ModelState::find_leak() {
  const auto leak = [](std::string what) {
    return InvariantViolation{Invariant::termination, std::move(what)};
  };
  for (ManagerState& manager : managers_) {
    const core::Counts counts = manager.dispatcher.counts();
    if (counts.queries_open > 0) return leak("a query is still open, but no timer is due");
    if (counts.attempts_out > 0) return leak("an attempt is still in flight, but no timer is due");
    if (counts.channels > counts.channels_probing)
      return leak("a channel is still open, but no timer is due");
    if (counts.bytes_buffered > 0) return leak("answer bytes are still buffered");
    for (const EngineSideChannel& channel : manager.channels) {
      if (!channel.is_closed && !channel.is_probe) {
        return leak("channel " + std::to_string(channel.id) +
                    " is open at the host but unknown to the query coordinator");
      }
    }
    RequestCounter counter;
    manager.dispatcher.coordinator().visit(counter);
    if (counter.requests() > 0) return leak("the decision module still tracks a request");
    const std::uint32_t shutdown_timers = manager.is_shutting_down ? 1 : 0;
    if (counts.own_timers > counts.channels_probing + shutdown_timers) return leak("a timer is still armed");
  }
  return std::nullopt;
}

void ModelState::report_violation(Invariant invariant, std::string what) {
  violations_.push_back({invariant, std::move(what)});
}

void ModelState::add_to_trace(std::string line) {
  if (trace_enabled_) trace_.push_back(std::move(line));
}

}  // namespace paddlestand::explorer
