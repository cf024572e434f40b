/// A day as described by its file (schema/day.xsd), and the requests that it and its seed generate.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/xml.hpp"
#include "paddlestand/workload_manager.hpp"

namespace paddlestand::simulation {

/// A class of requests: rate, cost, and the service that clients expect.
struct DayClass {
  std::string name;
  double requests_per_s = 0;
  double mean_work_s = 0;  ///< on one thread
  double work_spread = 0;  ///< sigma of a log-normal distribution
  double estimate_spread = 0;  ///< sigma of the estimate's error, log-normal
  double threads = 1;
  double memory_mb = 0;
  double read_share = 0;  ///< of the work
  Duration latency_objective{};
  Duration deadline{};
  Duration idempotency_window{};
  double objective_per_run_time = 0;
  double priority_weight = 1;
  double late_answer_weight = 0;
  Idempotency idempotency{};
  std::uint32_t keys = 0;  ///< number of distinct keys; zero: requests have none
  std::uint32_t rows = 1;
  std::uint32_t row_bytes = 16;
  bool ordered_by_key = false;
  bool writes = false;
  std::vector<std::string> zones;  ///< empty: any
};

/// A tenant and its quota at the managers.
struct DayTenant {
  std::string name;
  double quota_per_s = 0;
  double share = 0;  ///< weight in the distribution of requests over tenants
};

/// A fault or an unusual load during the day; the day's file calls it trouble.
struct DayFault {
  std::string kind;  ///< one of the trouble kinds of the schema
  Duration at{};  ///< from the day's start
  Duration length{};
  std::uint32_t count = 1;  ///< of engines or managers
  double amount = 1;  ///< depending on the kind: a factor, a share, or milliseconds
  std::string class_name;  ///< empty: all
  std::string tenant;
};

/// A day: engines, managers, clients, and the faults to inject. Times are relative to the day's start.
struct Day {
  std::string name;
  Duration length{};
  Duration answer_slack{};  ///< by which answers may exceed the deadline
  Duration max_observation_skew{};  ///< between two processes' observations of one connection
  std::uint64_t seed = 1;

  // Engines.
  std::uint32_t engines = 0;
  double cores = 8;
  double memory_mb = 0;
  double speed = 1;
  std::string memory_shortage;
  double slow_start_capacity_share = 1;
  double overload_multiple = 0;
  Duration slow_start_duration{};
  Duration overload_window{};
  std::vector<std::string> zones;

  // Managers.
  std::uint32_t managers = 0;
  std::uint32_t max_attempts = 3;
  Duration drain_grace{};
  Duration ordering_settle_time{};
  Duration list_poll{};
  Duration list_delay{};  ///< until discovery detects that an engine has ended or started
  Duration progress_report_period{};
  RetryBudgetSettings budget;

  std::vector<DayTenant> tenants;
  std::vector<DayClass> classes;

  // Clients.
  std::uint32_t sessions = 0;  ///< of all clients together
  std::uint32_t retries = 0;  ///< limit per request
  Duration retry_backoff{};
  double retry_after_compliance = 0;  ///< share of requests whose client respects Retry-After
  double cancel_probability = 0;
  double disconnect_probability = 0;
  double early_timeout_probability = 0;

  std::vector<DayFault> faults;

  [[nodiscard]] std::string zone_of(std::uint32_t engine) const {
    return zones.empty() ? std::string("here") : zones[engine % zones.size()];
  }
};

/// Reads and validates a day's file. Returns the first error if it is invalid.
[[nodiscard]] std::variant<Day, config::ConfigError> read_day(const std::string& path);

/// A request that a client will send.
struct Arrival {
  Duration at{};  ///< from the day's start
  std::uint32_t request = 0;  ///< number, starting at 1
  std::uint32_t class_index = 0;
  std::uint32_t manager = 0;
  std::uint32_t key = 0;  ///< zero: none
  std::uint32_t tables = 0;
  std::optional<std::uint32_t> tenant;
  double work_s = 0;
  double estimated_s = 0;  ///< the client's estimate of the work
  Duration client_timeout{};
  std::optional<Duration> cancel_after;  ///< from sending the query
  std::optional<Duration> disconnect_after;  ///< from sending the query
  bool respects_retry_after = false;
};

/// All requests of the day, ordered by time. The same day and seed give the same arrivals on every machine.
[[nodiscard]] std::vector<Arrival> arrivals_of(const Day& day);

}  // namespace paddlestand::simulation
