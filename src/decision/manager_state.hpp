/// \file
/// All state of a manager that its decisions depend on. Each other file of this folder contains the decisions
/// and constants of one concern and operates on this state instead of having its own.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "decision/class_state.hpp"
#include "decision/engine_table.hpp"
#include "decision/ordering_keys.hpp"
#include "decision/recent_times.hpp"
#include "decision/request_table.hpp"
#include "decision/retry_budget.hpp"
#include "decision/tenant_quota.hpp"
#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// A time later than any other, in seconds.
inline constexpr double never = 1e9;

/// The latest announcement of one peer.
struct PeerReport {
  double received_at = 0;
  std::vector<GossipEntry> in_flight;
};

/// State of the gossip with peers.
struct GossipState {
  std::vector<PeerReport> peers;  // by instance index; empty if gossip is disabled
  double next_send_at = never;
  double refilled_at = 0;
  double tokens = 0;  // token bucket: number of messages that may be sent
};

/// Numbers of engines, and this manager's bounds over all of them; set by the load balancer.
struct FleetSummary {
  double ready_engines = 0;
  double unhealthy_engines = 0;  // ready, but ejected or on probation
  double thread_bound = 0;
  double memory_bound = 0;  // MB
};

/// Times at which periodic work is due, in seconds since the first event.
struct Schedule {
  TimePoint origin{};  // time of the first event on the host's clock
  bool is_started = false;
  double next_control_period = 0;
  double next_check = 0;
  double resubscribe_at = 0;  // zero: not scheduled
};

/// State of one manager. A copy is independent of the original and behaves as the original would; both share
/// the immutable settings.
struct ManagerState {
  explicit ManagerState(Settings given_settings);

  [[nodiscard]] ClassState& class_of(const Request& request) { return classes[request.class_index]; }
  [[nodiscard]] const ClassState& class_of(const Request& request) const {
    return classes[request.class_index];
  }
  [[nodiscard]] const ClassSettings& settings_of(const Request& request) const {
    return settings.classes[request.class_index];
  }
  /// Whether no earlier request of the same ordering key is unfinished.
  [[nodiscard]] bool is_first_of_key(const Request& request) const {
    return ordering_keys.is_first(request.ordering_key, request.id);
  }

  /// Visits all state except the settings.
  void visit(StateVisitor& visitor);

  std::shared_ptr<const Settings> shared_settings;  // keeps `settings` alive
  const Settings& settings;
  double now = 0;  // seconds since the first event
  std::vector<ClassState> classes;
  RequestTable requests;
  EngineTable engines;
  OrderingKeys ordering_keys;
  RetryBudget retry_budget;
  RecentTimes cancellations;  // cancellations of overdue attempts
  TenantQuota tenant_quota;
  std::map<std::uint32_t, double> zone_load;  // smoothed number of queries per engine by zone
  GossipState gossip;
  FleetSummary fleet;
  double unannounced_memory = 0;  // MB granted to attempts that are not announced to peers
  std::array<double, 4> threads_by_priority{};  // threads of attempts in flight
  double mean_failure_rate = 0;  // share of failures over all engines
  Schedule schedule;
  std::mt19937_64 random;
};

}  // namespace paddlestand::decision
