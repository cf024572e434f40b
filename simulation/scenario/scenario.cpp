#include "scenario.hpp"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <initializer_list>
#include <optional>
#include <string_view>
#include <utility>

namespace paddlestand::simulation {
namespace {

constexpr std::uint32_t max_engines = 200;
constexpr std::uint32_t max_managers = 50;
constexpr double min_requests_per_s = 1e-6;  // keeps arrival gaps finite for a class without requests
constexpr double min_rate_factor = 1e-6;
constexpr std::uint64_t seed_stride = 1000003;  // between two days' seeds; exceeds the number of classes
constexpr double heavy_tail_probability = 0.1;  // that the fault "heavy_tail" affects a request
constexpr std::uint32_t hot_key = 1;  // key of all requests during the fault "hot_key"
constexpr std::uint32_t max_table_set = 12;  // table sets are numbered from 1
constexpr int early_timeout_divisor = 4;  // of the deadline, for a client that gives up early
constexpr double max_interruption_delay_s = 0.5;  // from sending a query to its cancel or disconnect

double seconds(Duration duration) { return static_cast<double>(duration.count()) * 1e-9; }

// ---- Reading a day's file (schema/day.xsd) ----

Idempotency idempotency_of(std::string_view repeat) {
  if (repeat == "safe") return Idempotency::idempotent;
  if (repeat == "keyed") return Idempotency::idempotent_with_key;
  return Idempotency::non_idempotent;
}

DayClass read_class(const config::Element& element) {
  DayClass day_class;
  day_class.name = element.text("name");
  day_class.requests_per_s = element.number("per-s");
  day_class.mean_work_s = seconds(element.time("work"));
  day_class.work_spread = element.number("spread");
  day_class.estimate_spread = element.number("estimate-spread");
  day_class.threads = element.number("threads");
  day_class.memory_mb = element.number("memory-mb");
  day_class.read_share = element.number("reads");
  day_class.latency_objective = element.time("aim");
  day_class.objective_per_run_time = element.number("aim-stretch");
  day_class.deadline = element.time("deadline");
  day_class.priority_weight = element.number("worth");
  day_class.late_answer_weight = element.number("late-worth");
  day_class.idempotency = idempotency_of(element.text("repeat"));
  day_class.idempotency_window = element.time("key-window");
  day_class.keys = element.count("keys");
  day_class.ordered_by_key = element.flag("in-turn");
  day_class.writes = element.flag("writes");
  day_class.rows = element.count("rows");
  day_class.row_bytes = element.count("row-bytes");
  day_class.zones = element.words("zones");
  return day_class;
}

void read_engines(const config::Element& element, Day& day) {
  day.engines = element.count("count");
  day.cores = element.number("cores");
  day.memory_mb = element.number("memory-mb");
  day.speed = element.number("speed");
  day.memory_shortage = element.text("memory-shortage");
  day.slow_start_capacity_share = element.number("cold-share");
  day.slow_start_duration = element.time("cold-time");
  day.overload_multiple = element.number("fall-multiple");
  day.overload_window = element.time("fall-window");
  day.zones = element.words("zones");
}

void read_managers(const config::Element& element, Day& day) {
  day.managers = element.count("count");
  day.drain_grace = element.time("drain-grace");
  day.max_attempts = element.count("most-attempts");
  day.budget = {element.number("budget-floor"), element.number("budget-share"),
                element.time("budget-window")};
  day.ordering_settle_time = element.time("order-settle");
  day.list_poll = element.time("list-poll");
  day.list_delay = element.time("list-delay");
  day.progress_report_period = element.time("note-period");
}

void read_clients(const config::Element& element, Day& day) {
  day.sessions = element.count("sessions");
  day.retries = element.count("retries");
  day.retry_backoff = element.time("back-off");
  day.retry_after_compliance = element.number("heed");
  day.cancel_probability = element.number("cancel");
  day.disconnect_probability = element.number("leave");
  day.early_timeout_probability = element.number("give-up-early");
}

DayFault read_fault(const config::Element& element) {
  DayFault fault;
  fault.kind = element.text("kind");
  fault.at = element.time("at");
  fault.length = element.time("for");
  fault.count = element.count("count");
  fault.amount = element.number("amount");
  fault.class_name = element.text("class");
  fault.tenant = element.text("tenant");
  return fault;
}

bool has_class(const Day& day, const std::string& name) {
  return std::any_of(day.classes.begin(), day.classes.end(),
                     [&name](const DayClass& day_class) { return day_class.name == name; });
}

/// Reads the faults of a day whose classes have been read. Returns an error for the first fault with an
/// unknown class or a time after the day's end.
std::optional<config::ConfigError> read_faults(const config::Element& root, const std::string& path,
                                               Day& day) {
  for (const auto& element : root.children("trouble")) {
    const DayFault& fault = day.faults.emplace_back(read_fault(element));
    if (!fault.class_name.empty() && !has_class(day, fault.class_name)) {
      return config::ConfigError{path, element.line(), "trouble: unknown class '" + fault.class_name + "'"};
    }
    if (fault.at >= day.length)
      return config::ConfigError{path, element.line(), "trouble: begins after the end of the day"};
  }
  return std::nullopt;
}

// ---- Arrivals ----

bool is_active(const DayFault& fault, double at_s) {
  return at_s >= seconds(fault.at) && at_s < seconds(fault.at + fault.length);
}

bool affects(const DayFault& fault, const DayClass& day_class) {
  return fault.class_name.empty() || fault.class_name == day_class.name;
}

/// Generates the arrivals of one class. Each class has its own random sequence, so that changing one class
/// does not change the arrivals of the others. The order of the draws must not change, so that a day and seed
/// keep giving the same arrivals.
class ClassArrivals {
 public:
  ClassArrivals(const Day& day, std::uint32_t class_index)
      : day_(day),
        class_(day.classes[class_index]),
        class_index_(class_index),
        random_(day.seed * seed_stride + class_index) {}

  void append_to(std::vector<Arrival>& arrivals) {
    const double end_s = seconds(day_.length);
    double at_s = 0;
    while (at_s < end_s) {
      const TenantShares shares = tenant_shares(at_s);
      double rate_factor = load_factor(at_s);
      if (!shares.shares.empty()) rate_factor *= std::max(shares.total, min_rate_factor);
      at_s += gap_(random_) / std::max(class_.requests_per_s * rate_factor, min_requests_per_s);
      if (at_s >= end_s) break;
      arrivals.push_back(make_arrival(at_s, shares));
    }
  }

 private:
  struct TenantShares {
    std::vector<double> shares;  // by tenant
    double total = 0;
  };

  /// Calls `visit` with each fault of these kinds that is active at `at_s`, in the order of the day's file.
  template <typename Visit>
  void for_each_active(std::initializer_list<std::string_view> kinds, double at_s, Visit visit) const {
    for (const DayFault& fault : day_.faults) {
      const bool is_of_kind = std::find(kinds.begin(), kinds.end(), fault.kind) != kinds.end();
      if (is_of_kind && is_active(fault, at_s)) visit(fault);
    }
  }

  [[nodiscard]] double load_factor(double at_s) const {
    double factor = 1;
    for_each_active({"burst", "shift"}, at_s, [&](const DayFault& fault) {
      if (affects(fault, class_)) factor *= fault.amount;
    });
    return factor;
  }

  // A tenant's burst only adds requests of that tenant.
  [[nodiscard]] TenantShares tenant_shares(double at_s) const {
    TenantShares result;
    for (const DayTenant& tenant : day_.tenants) {
      double share = tenant.share;
      for_each_active({"tenant_burst"}, at_s, [&](const DayFault& fault) {
        if (fault.tenant == tenant.name) share *= fault.amount;
      });
      result.shares.push_back(share);
      result.total += share;
    }
    return result;
  }

  Arrival make_arrival(double at_s, const TenantShares& shares) {
    Arrival arrival;
    arrival.at = Duration{std::llround(at_s * 1e9)};
    arrival.class_index = class_index_;
    arrival.manager = draw_integer(0, day_.managers - 1);
    if (!shares.shares.empty()) arrival.tenant = draw_tenant(shares);
    draw_work(arrival, at_s);
    draw_key(arrival, at_s);
    arrival.tables = draw_integer(1, max_table_set);
    draw_client_timeout(arrival, at_s);
    draw_interruption(arrival);
    arrival.respects_retry_after = uniform_(random_) < day_.retry_after_compliance;
    return arrival;
  }

  std::uint32_t draw_integer(std::uint32_t least, std::uint32_t greatest) {
    return boost::random::uniform_int_distribution<std::uint32_t>(least, greatest)(random_);
  }

  std::uint32_t draw_tenant(const TenantShares& shares) {
    double remaining = uniform_(random_) * shares.total;
    for (std::uint32_t tenant = 0; tenant + 1 < shares.shares.size(); ++tenant) {
      remaining -= shares.shares[tenant];
      if (remaining < 0) return tenant;
    }
    return static_cast<std::uint32_t>(shares.shares.size()) - 1;
  }

  void draw_work(Arrival& arrival, double at_s) {
    const double sigma = class_.work_spread;
    arrival.work_s = class_.mean_work_s * std::exp(sigma * normal_(random_) - sigma * sigma / 2);
    const bool is_heavy = uniform_(random_) < heavy_tail_probability;
    arrival.estimated_s = arrival.work_s * std::exp(class_.estimate_spread * normal_(random_));
    if (!is_heavy) return;
    for_each_active({"heavy_tail"}, at_s, [&](const DayFault& fault) {
      if (!affects(fault, class_)) return;
      arrival.work_s *= fault.amount;
      arrival.estimated_s *= fault.amount;
    });
  }

  void draw_key(Arrival& arrival, double at_s) {
    if (class_.keys == 0) return;
    arrival.key = draw_integer(1, class_.keys);
    for_each_active({"hot_key"}, at_s, [&](const DayFault&) { arrival.key = hot_key; });
  }

  void draw_client_timeout(Arrival& arrival, double at_s) {
    bool is_early = uniform_(random_) < day_.early_timeout_probability;
    for_each_active({"give_up"}, at_s, [&](const DayFault& fault) {
      if (uniform_(random_) < fault.amount) is_early = true;
    });
    arrival.client_timeout = class_.deadline;
    if (is_early) arrival.client_timeout /= early_timeout_divisor;
  }

  void draw_interruption(Arrival& arrival) {
    const double cancel_draw = uniform_(random_);
    const double disconnect_draw = uniform_(random_);
    const double time_draw = uniform_(random_);
    const Duration after{std::llround(time_draw * max_interruption_delay_s * 1e9)};
    if (cancel_draw < day_.cancel_probability) {
      arrival.cancel_after = after;
    } else if (disconnect_draw < day_.disconnect_probability) {
      arrival.disconnect_after = after;
    }
  }

  const Day& day_;
  const DayClass& class_;
  std::uint32_t class_index_;
  boost::random::mt19937_64 random_;
  boost::random::exponential_distribution<double> gap_{1};
  boost::random::uniform_real_distribution<double> uniform_{0, 1};
  boost::random::normal_distribution<double> normal_{0, 1};
};

}  // namespace

std::variant<Day, config::ConfigError> read_day(const std::string& path) {
  auto document = config::Document::read(path, config::day_schema);
  if (auto* error = std::get_if<config::ConfigError>(&document)) return std::move(*error);
  const config::Element root = std::get<config::Document>(document).root();
  Day day;
  day.name = root.text("name");
  day.length = root.time("length");
  day.seed = root.integer("seed");
  day.answer_slack = root.time("answer-slack");
  day.max_observation_skew = root.time("seen-apart");
  const config::Element engines = *root.child("engines");
  read_engines(engines, day);
  read_managers(*root.child("managers"), day);
  for (const auto& element : root.children("tenant"))
    day.tenants.push_back({element.text("name"), element.number("quota-per-s"), element.number("share")});
  for (const auto& element : root.children("class")) day.classes.push_back(read_class(element));
  read_clients(*root.child("clients"), day);
  if (auto error = read_faults(root, path, day)) return *std::move(error);
  if (day.engines == 0 || day.engines > max_engines || day.managers == 0 || day.managers > max_managers)
    return config::ConfigError{path, engines.line(), "expected 1 to 200 engines and 1 to 50 managers"};
  return day;
}

std::vector<Arrival> arrivals_of(const Day& day) {
  std::vector<Arrival> arrivals;
  for (std::uint32_t class_index = 0; class_index < day.classes.size(); ++class_index)
    ClassArrivals(day, class_index).append_to(arrivals);
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const Arrival& first, const Arrival& second) { return first.at < second.at; });
  for (std::uint32_t i = 0; i < arrivals.size(); ++i) arrivals[i].request = i + 1;
  return arrivals;
}

}  // namespace paddlestand::simulation
