#include "scenario.hpp"

#include <algorithm>
#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>

namespace paddlestand::simulation {
namespace {

DayClass read_class(const config::Element& one) {
  DayClass out;
  out.name = one.text("name");
  out.per_s = one.number("per-s");
  out.work_s = static_cast<double>(one.time("work").count()) * 1e-9;
  out.spread = one.number("spread");
  out.estimate_spread = one.number("estimate-spread");
  out.threads = one.number("threads");
  out.memory_mb = one.number("memory-mb");
  out.reads = one.number("reads");
  out.latency_objective = one.time("aim");
  out.objective_per_run_time = one.number("aim-stretch");
  out.deadline = one.time("deadline");
  out.priority_weight = one.number("worth");
  out.late_answer_weight = one.number("late-worth");
  const std::string repeat = one.text("repeat");
  out.repeat = repeat == "safe"    ? Idempotency::idempotent
               : repeat == "keyed" ? Idempotency::idempotent_with_key
                                   : Idempotency::non_idempotent;
  out.idempotency_window = one.time("key-window");
  out.keys = one.count("keys");
  out.ordered_by_key = one.flag("in-turn");
  out.writes = one.flag("writes");
  out.rows = one.count("rows");
  out.row_bytes = one.count("row-bytes");
  out.zones = one.words("zones");
  return out;
}

}  // namespace

std::variant<Day, config::Fault> read_day(const std::string& path) {
  auto read = config::Document::read(path, config::day_schema);
  if (auto* fault = std::get_if<config::Fault>(&read)) return std::move(*fault);
  const config::Element root = std::get<config::Document>(read).root();
  Day day;
  day.name = root.text("name");
  day.length = root.time("length");
  day.seed = root.integer("seed");
  day.answer_slack = root.time("answer-slack");
  day.seen_apart = root.time("seen-apart");
  const config::Element engines = *root.child("engines");
  day.engines = engines.count("count");
  day.cores = engines.number("cores");
  day.memory_mb = engines.number("memory-mb");
  day.speed = engines.number("speed");
  day.memory_shortage = engines.text("memory-shortage");
  day.slow_start_capacity_share = engines.number("cold-share");
  day.slow_start_duration = engines.time("cold-time");
  day.overload_multiple = engines.number("fall-multiple");
  day.overload_window = engines.time("fall-window");
  day.zones = engines.words("zones");
  const config::Element managers = *root.child("managers");
  day.managers = managers.count("count");
  day.drain_grace = managers.time("drain-grace");
  day.max_attempts = managers.count("most-attempts");
  day.budget = {managers.number("budget-floor"), managers.number("budget-share"),
                managers.time("budget-window")};
  day.ordering_settle_time = managers.time("order-settle");
  day.list_poll = managers.time("list-poll");
  day.list_delay = managers.time("list-delay");
  day.progress_report_period = managers.time("note-period");
  for (const auto& one : root.children("tenant"))
    day.tenants.push_back({one.text("name"), one.number("quota-per-s"), one.number("share")});
  for (const auto& one : root.children("class")) day.classes.push_back(read_class(one));
  const config::Element clients = *root.child("clients");
  day.sessions = clients.count("sessions");
  day.retries = clients.count("retries");
  day.back_off = clients.time("back-off");
  day.heed = clients.number("heed");
  day.cancel = clients.number("cancel");
  day.leave = clients.number("leave");
  day.give_up_early = clients.number("give-up-early");
  const auto names_class = [&](const std::string& name) {
    return name.empty() || std::any_of(day.classes.begin(), day.classes.end(),
                                       [&](const DayClass& c) { return c.name == name; });
  };
  for (const auto& one : root.children("trouble")) {
    day.troubles.push_back({one.text("kind"), one.time("at"), one.time("for"), one.count("count"),
                            one.number("amount"), one.text("class"), one.text("tenant")});
    if (!names_class(day.troubles.back().class_name))
      return config::Fault{path, one.line(), "a trouble names the unknown class '" + one.text("class") + "'"};
    if (day.troubles.back().at >= day.length)
      return config::Fault{path, one.line(), "a trouble begins behind the day's end"};
  }
  if (day.engines == 0 || day.engines > 200 || day.managers == 0 || day.managers > 50)
    return config::Fault{path, engines.line(), "wanted: 1 to 200 engines and 1 to 50 managers"};
  return day;
}

std::vector<Arrival> arrivals_of(const Day& day) {
  using boost::random::mt19937_64;
  std::vector<Arrival> all;
  const auto seconds = [](Duration d) { return static_cast<double>(d.count()) * 1e-9; };
  const double end = seconds(day.length);
  const auto acts = [&](const DayTrouble& t, const char* kind, double at) {
    return t.kind == kind && at >= seconds(t.at) && at < seconds(t.at + t.length);
  };
  for (std::uint32_t c = 0; c < day.classes.size(); ++c) {
    const DayClass& k = day.classes[c];
    // A stream of numbers for each class: a change in one does not shift the others.
    mt19937_64 random(day.seed * 1000003 + c);
    boost::random::exponential_distribution<double> gap(1);
    boost::random::uniform_real_distribution<double> uniform(0, 1);
    boost::random::normal_distribution<double> normal(0, 1);
    for (double at = 0; at < end;) {
      double times = 1;
      for (const DayTrouble& t : day.troubles) {
        const bool mine = t.class_name.empty() || t.class_name == k.name;
        if (mine && (acts(t, "burst", at) || acts(t, "shift", at))) times *= t.amount;
      }
      // A tenant's burst adds to its share alone.
      std::vector<double> shares;
      double total = 0;
      for (const DayTenant& tenant : day.tenants) {
        double share = tenant.share;
        for (const DayTrouble& t : day.troubles)
          if (acts(t, "tenant_burst", at) && t.tenant == tenant.name) share *= t.amount;
        shares.push_back(share);
        total += share;
      }
      if (!shares.empty()) times *= std::max(total, 1e-6);
      at += gap(random) / std::max(k.per_s * times, 1e-6);
      if (at >= end) break;
      Arrival one;
      one.at = Duration{std::llround(at * 1e9)};
      one.class_index = c;
      one.manager = boost::random::uniform_int_distribution<std::uint32_t>(0, day.managers - 1)(random);
      if (!shares.empty()) {
        double pick = uniform(random) * total;
        for (std::uint32_t i = 0; i < shares.size(); ++i) {
          one.tenant = i;
          if ((pick -= shares[i]) < 0) break;
        }
      }
      const double sigma = k.spread;
      one.work_s = k.work_s * std::exp(sigma * normal(random) - sigma * sigma / 2);
      const bool heavy = uniform(random) < 0.1;
      one.told_s = one.work_s * std::exp(k.estimate_spread * normal(random));
      for (const DayTrouble& t : day.troubles)
        if (heavy && acts(t, "heavy_tail", at) && (t.class_name.empty() || t.class_name == k.name))
          one.work_s *= t.amount, one.told_s *= t.amount;
      one.key = k.keys > 0 ? boost::random::uniform_int_distribution<std::uint32_t>(1, k.keys)(random) : 0;
      for (const DayTrouble& t : day.troubles)
        if (one.key > 0 && acts(t, "hot_key", at)) one.key = 1;
      one.tables = boost::random::uniform_int_distribution<std::uint32_t>(1, 12)(random);
      one.client_timeout = k.deadline;
      bool early = uniform(random) < day.give_up_early;
      for (const DayTrouble& t : day.troubles) early |= acts(t, "give_up", at) && uniform(random) < t.amount;
      if (early) one.client_timeout /= 4;
      const double cancels = uniform(random), leaves = uniform(random), when = uniform(random);
      const Duration after{std::llround(when * 0.5e9)};
      if (cancels < day.cancel)
        one.cancels = after;
      else if (leaves < day.leave)
        one.leaves = after;
      one.heeds = uniform(random) < day.heed;
      all.push_back(one);
    }
  }
  std::stable_sort(all.begin(), all.end(), [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  for (std::uint32_t i = 0; i < all.size(); ++i) all[i].request = i + 1;
  return all;
}

}  // namespace paddlestand::simulation
