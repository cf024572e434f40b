/// \file
/// Everything that a manager's future depends on. The other files of this folder work on it: each holds one
/// concern's decisions and constants, and refers to this state instead of having its own.
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

/// A time that lies beyond all others, in seconds.
inline constexpr double never = 1e9;

/// What one peer last announced.
struct PeerReport {
  double received_at = 0;
  std::vector<GossipEntry> in_flight;
};

/// Gossip with the peers.
struct GossipState {
  std::vector<PeerReport> peers;  // by position; empty where gossip is off
  double next_send_at = never;
  double refilled_at = 0;
  double tokens = 0;  // messages that may be sent
};

/// This manager's bounds over all engines, set by the load balancer.
struct FleetSummary {
  double ready_engines = 0;
  double unhealthy_engines = 0;  // of the ready ones
  double thread_bound = 0;
  double memory_bound = 0;  // MB
};

/// When periodic work is due.
struct Schedule {
  TimePoint origin{};  // the first event, on the host's clock
  bool is_started = false;
  double next_period = 0;
  double next_watch = 0;
  double resubscribe_at = 0;  // 0: not due
};

/// State of one manager. A copy behaves as the original would; both share the settings, which never change.
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

  /// Visits everything but the settings.
  void visit(StateVisitor& visitor);

  std::shared_ptr<const Settings> shared_settings;  // keeps `settings` alive
  const Settings& settings;
  double now = 0;  // s since the first event
  std::vector<ClassState> classes;
  RequestTable requests;
  EngineTable engines;
  OrderingKeys ordering_keys;
  RetryBudget retry_budget;
  RecentTimes cancellations;  // of overdue attempts
  TenantQuota tenant_quota;
  std::map<std::uint32_t, double> zone_load;  // queries that engines of a zone report, smoothed
  GossipState gossip;
  FleetSummary fleet;
  double unannounced_memory = 0;  // MB granted to attempts that peers don't know of
  std::array<double, 4> threads_by_priority{};  // in flight
  double usual_failure_rate = 0;  // share of failures over all engines
  Schedule schedule;
  std::mt19937_64 random;
};

}  // namespace paddlestand::decision
