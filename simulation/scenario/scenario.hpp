// A day as it is written down (schema/day.xsd), and the traffic that follows from it and its seed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/xml.hpp"
#include "paddlestand/workload_manager.hpp"

namespace paddlestand::lab {

struct DayClass {
  std::string name;
  double per_s = 0, work_s = 0, spread = 0, estimate_spread = 0, threads = 1, memory_mb = 0, reads = 0;
  Duration aim{}, deadline{}, key_window{};
  double aim_stretch = 0, worth = 1, late_worth = 0;
  Repeat repeat{};
  std::uint32_t keys = 0, rows = 1, row_bytes = 16;
  bool in_turn = false, writes = false;
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
  double cold_share = 1, fall_multiple = 0;
  Duration cold_time{}, fall_window{};
  std::vector<std::string> zones;

  std::uint32_t managers = 0, most_attempts = 3;
  Duration drain_grace{}, order_settle{}, list_poll{}, list_delay{}, note_period{};
  AttemptBudget budget;

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
  Duration patience{};
  std::optional<Duration> cancels, leaves;  // after it asked
  bool heeds = false;
};

// In order of time. The same day and seed give the same arrivals on every machine.
std::vector<Arrival> arrivals_of(const Day& day);

}  // namespace paddlestand::lab
