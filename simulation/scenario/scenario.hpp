// A day as it is written down (schema/day.xsd), and the traffic that follows from it and its seed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/xml.hpp"
#include "paddlestand/workload_manager.hpp"

namespace paddlestand::simulation {

struct DayClass {
  std::string name;
  double per_s = 0, work_s = 0, spread = 0, estimate_spread = 0, threads = 1, memory_mb = 0, reads = 0;
  Duration latency_objective{}, deadline{}, idempotency_window{};
  double objective_per_run_time = 0, priority_weight = 1, late_answer_weight = 0;
  Idempotency repeat{};
  std::uint32_t keys = 0, rows = 1, row_bytes = 16;
  bool ordered_by_key = false, writes = false;
  std::vector<std::string> zones;  // empty: any
};

struct DayTenant {
  std::string name;
  double quota_per_s = 0, share = 0;
};

struct DayTrouble {
  std::string kind;
  Duration at{}, length{};
  std::uint32_t count = 1;
  double amount = 1;
  std::string class_name, tenant;
};

struct Day {
  std::string name;
  Duration length{}, answer_slack{}, seen_apart{};
  std::uint64_t seed = 1;

  std::uint32_t engines = 0;
  double cores = 8, memory_mb = 0, speed = 1;
  std::string memory_shortage;
  double slow_start_capacity_share = 1, overload_multiple = 0;
  Duration slow_start_duration{}, overload_window{};
  std::vector<std::string> zones;

  std::uint32_t managers = 0, max_attempts = 3;
  Duration drain_grace{}, ordering_settle_time{}, list_poll{}, list_delay{}, progress_report_period{};
  RetryBudgetSettings budget;

  std::vector<DayTenant> tenants;
  std::vector<DayClass> classes;
  std::uint32_t sessions = 0, retries = 0;
  Duration back_off{};
  double heed = 0, cancel = 0, leave = 0, give_up_early = 0;
  std::vector<DayTrouble> troubles;

  [[nodiscard]] std::string zone_of(std::uint32_t engine) const {
    return zones.empty() ? std::string("here") : zones[engine % zones.size()];
  }
};

std::variant<Day, config::Fault> read_day(const std::string& path);

// One request of a client, before any try.
struct Arrival {
  Duration at{};
  std::uint32_t request = 0, class_index = 0, manager = 0, key = 0, tables = 0;
  std::optional<std::uint32_t> tenant;
  double work_s = 0, told_s = 0;
  Duration client_timeout{};
  std::optional<Duration> cancels, leaves;  // after it asked
  bool heeds = false;
};

// In order of time. The same day and seed give the same arrivals on every machine.
std::vector<Arrival> arrivals_of(const Day& day);

}  // namespace paddlestand::simulation
