#include "decision/load_balancer.hpp"

#include <algorithm>
#include <cmath>

#include "decision/units.hpp"

namespace paddlestand::decision {
namespace {

/// Threads per core over all managers; above 1 because many requests wait for disks or locks.
constexpr double max_threads_per_core = 4.0;
/// Threads per core of announced requests over all managers; above it, run times grow steeply.
constexpr double max_announced_threads_per_core = 2.5;
/// Share of an engine's memory for announced requests; light requests need the remainder.
constexpr double max_announced_memory_share = 0.8;
/// Standard deviations by which the thread bound exceeds this manager's share of the threads. Few managers
/// reach a small bound at the same time.
constexpr double thread_deviations = 1.5;
/// Highest factor on the memory bound while engines report little load.
constexpr double max_low_load_factor = 3;

// Terms of an engine's load, in units of this manager's thread bound for the engine.
constexpr double tie_break_noise = 0.05;  // smaller differences count as a tie
constexpr double failure_weight = 4;  // times the failure score
constexpr double zone_load_weight = 0.1;  // on average, for each query that an engine of the zone reports
constexpr double writer_penalty = 4;  // if a request that writes the same table group runs there
constexpr double retry_penalty = 4;  // for each earlier attempt of this request on the engine
/// Replaces the term for failures of an engine on probation. It is negative, so that such an engine gets the
/// next idempotent request, whatever its failure score.
constexpr double probation_load = -1;

}  // namespace

Engine* LoadBalancer::choose(const Request& request) {
  if (!fleet_has_capacity_for(request)) return nullptr;
  const Weights weights = randomized_weights(request);
  if (!rules_.may_send_now(request)) return nullptr;
  Engine* best = nullptr;
  double best_load = 0;
  for (auto& [id, engine] : state_.engines) {
    if (!is_eligible(request, engine)) continue;
    const double load = randomized_load(request, engine, weights);
    if (best == nullptr || load < best_load) {
      best = &engine;
      best_load = load;
    }
  }
  return best;
}

bool LoadBalancer::fleet_has_capacity_for(const Request& request) const {
  const double competing = grants_.competing_threads(request);
  const double threads = state_.settings_of(request).threads;
  if (competing > 0 && competing + threads > state_.fleet.thread_bound) return false;
  return grants_.has_memory_for(request);
}

/// The weight of the zones' load is random for each request, so that managers with the same information don't
/// all move to another zone at the same time.
LoadBalancer::Weights LoadBalancer::randomized_weights(const Request& request) {
  Weights weights;
  weights.cross_zone =
      failure_weight * state_.settings.cross_zone_price / costs_.relative_weight(request.class_index);
  weights.zone_load = 2 * zone_load_weight * draw_uniform();
  return weights;
}

bool LoadBalancer::is_eligible(const Request& request, const Engine& engine) const {
  const ClassSettings& settings = state_.settings_of(request);
  if (!rules_.may_send_to(request, engine) || engine.health == Health::ejected) return false;
  if (state_.now < engine.overloaded_until) return false;
  if (engine.health == Health::probation &&
      (engine.queries > 0 || settings.idempotency != Idempotency::idempotent)) {
    return false;
  }
  if (engine.threads > 0 && engine.threads + settings.threads > thread_bound(engine)) return false;
  return is_within_announced_limits(request, engine);
}

/// Whether announced requests of all managers leave capacity on the engine for another one.
bool LoadBalancer::is_within_announced_limits(const Request& request, const Engine& engine) const {
  const double threads = engine.threads + engine.peer_threads;
  if (!state_.class_of(request).is_announced || threads <= 0) return true;
  const double own_threads = state_.settings_of(request).threads;
  if (threads + own_threads > max_announced_threads_per_core * engine.cores) return false;
  if (engine.memory_capacity <= 0) return true;
  return engine.memory + engine.peer_memory + grants_.granted_memory(request) <=
         max_announced_memory_share * engine.memory_capacity;
}

double LoadBalancer::randomized_load(const Request& request, const Engine& engine, const Weights& weights) {
  const ClassSettings& settings = state_.settings_of(request);
  // Peers' threads count only for announced requests. All managers receive the same announcements, so their
  // unannounced requests would all go to the engine with the fewest announced ones.
  const double peer_threads = state_.class_of(request).is_announced ? engine.peer_threads : 0;
  // Ties are broken at random, so that managers with the same information choose different engines.
  double load = (engine.threads + peer_threads + settings.threads) / std::max(thread_bound(engine), 1.0) +
                tie_break_noise * draw_uniform();
  const auto zone_load = state_.zone_load.find(engine.entry.zone);
  load += (engine.entry.zone != state_.settings.zone ? weights.cross_zone : 0) +
          (zone_load != state_.zone_load.end() ? weights.zone_load * zone_load->second : 0);
  if ((settings.waits_for_writers || settings.writes_tables) && engine.writers.contains(request.tables)) {
    load += writer_penalty;
  }
  for (const Attempt& attempt : request.attempts) {
    if (attempt.engine == engine.entry.engine) load += retry_penalty;
  }
  load +=
      engine.health == Health::probation ? probation_load : failure_weight * outliers_.failure_score(engine);
  return load;
}

void LoadBalancer::update_bounds() {
  FleetSummary& fleet = state_.fleet;
  double threads = 0;
  double memory = 0;
  double cores = 0;
  fleet.ready_engines = 0;
  fleet.unhealthy_engines = 0;
  for (const auto& [id, engine] : state_.engines) {
    if (!engine.is_ready()) continue;
    fleet.ready_engines += 1;
    if (engine.health != Health::healthy) {
      fleet.unhealthy_engines += 1;
      continue;
    }
    threads += thread_bound(engine);
    cores += engine.cores;
    const double own_memory = state_.gossip.peers.empty() ? 0 : engine.memory;
    memory += std::max(0.0, engine.memory_capacity - engine.peer_memory - own_memory);
  }
  fleet.thread_bound = threads + thread_deviations * std::sqrt(threads);
  double reported_load = state_.zone_load.empty() ? cores : 1;
  for (const auto& [zone, load] : state_.zone_load) reported_load = std::max(reported_load, load);
  // The memory bound is raised while engines report fewer queries than they have cores.
  const double cores_per_engine = cores / std::max(fleet.ready_engines, 1.0);
  const double low_load_factor = std::clamp(cores_per_engine / reported_load, 1.0, max_low_load_factor);
  fleet.memory_bound = memory / instance_count(state_.settings) * low_load_factor;
}

void LoadBalancer::record_report(const Engine& engine, const LoadReport& report) {
  if (!report.queries || !std::isfinite(*report.queries)) return;
  double& load = state_.zone_load.try_emplace(engine.entry.zone, *report.queries).first->second;
  load += load_learning_rate * (*report.queries - load);
}

double LoadBalancer::thread_bound(const Engine& engine) const {
  return engine.cores * max_threads_per_core * slow_start_.capacity_share(engine) /
         instance_count(state_.settings);
}

double LoadBalancer::draw_uniform() { return std::generate_canonical<double, 32>(state_.random); }

}  // namespace paddlestand::decision
