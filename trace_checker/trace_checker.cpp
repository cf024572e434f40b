#include "trace_checker.hpp"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace paddlestand::trace_checker {
namespace {

constexpr std::size_t most_told = 20;  // breaches of a rule that are told with their history
constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

std::int64_t ns(double seconds) { return std::llround(seconds * 1e9); }

struct Run {  // of a try at an engine
  std::string engine;
  std::int64_t received = 0, over = never;
  bool started = false, applied = false;
};

struct Try {
  Record asked;
  std::optional<Record> answer;
  std::size_t answers = 0, extra = 0;
  std::vector<Run> runs;
  std::vector<const Record*> history;
};

class Judge {
 public:
  Judge(const Figures& figures, std::vector<Record> records) : f_(figures), records_(std::move(records)) {
    std::stable_sort(records_.begin(), records_.end(),
                     [](const Record& a, const Record& b) { return a.t < b.t; });
  }

  Verdict run() {
    collect();
    for (auto& [id, one] : tries_) {
      if (one.asked.what.empty()) continue;  // an engine saw what no client asked for: told by effects below
      final_answers(id, one);
      effects(id, one);
      places(id, one);
    }
    effects_of_requests();
    drains();
    falls();
    turns();
    budget();
    out_.tries = tries_.size();
    return std::move(out_);
  }

 private:
  void violation(int rule, const std::string& what, const Try* about = nullptr) {
    if (++out_.by_rule[rule] > most_told) return;
    RuleViolation one{rule, what, {}};
    if (about != nullptr) {
      for (const Record* r : about->history) {
        std::ostringstream line;
        line << static_cast<double>(r->t - start_) * 1e-9 << " s "
             << (r->engine.empty() ? r->manager : r->engine) << " " << r->what << " " << r->kind;
        one.history.push_back(line.str());
      }
    }
    out_.violations.push_back(std::move(one));
  }

  [[nodiscard]] const ClassFigures& class_of(const Try& one) const {
    static const ClassFigures none;
    const auto found = f_.classes.find(one.asked.class_name);
    return found == f_.classes.end() ? none : found->second;
  }

  void collect() {
    std::set<std::int64_t> requests;
    if (!records_.empty()) start_ = records_.front().t;
    std::map<std::pair<std::string, std::string>, std::size_t> open;  // engine and try: its run
    std::map<std::string, std::set<std::string>> running;  // by engine
    for (const Record& r : records_) {
      if (r.what == "listed") listed_[r.engine].push_back(&r);
      if (r.what == "manager_killed") killed_[r.manager].push_back(r.t);
      if (r.what == "manager_down") down_[r.manager].push_back(r.t);
      if (r.what == "died" || (r.what == "up" && !running[r.engine].empty())) {
        for (const std::string& id : running[r.engine]) end(id, r.engine, r.t, open);
        running[r.engine].clear();
      }
      if (r.id.empty()) continue;
      Try& one = tries_[r.id];
      one.history.push_back(&r);
      if (r.what == "asked") {
        one.asked = r;
        requests.insert(r.request);
        tries_of_[r.request].push_back(r.id);
      } else if (r.what == "answer") {
        one.answer = r;
        ++one.answers;
        ++out_.answers[one.asked.class_name][r.kind];
      } else if (r.what == "extra") {
        ++one.extra;
      } else if (r.what == "received") {
        one.runs.push_back({r.engine, r.t, never, false, false});
        open[{r.engine, r.id}] = one.runs.size() - 1;
        running[r.engine].insert(r.id);
        ++out_.attempts;
        if (one.runs.size() > 1) further_[one.asked.manager].push_back(r.t);
      } else if (r.what == "started" || r.what == "applied") {
        if (const auto run = open.find({r.engine, r.id}); run != open.end()) {
          one.runs[run->second].started = true;
          one.runs[run->second].applied |= r.what == "applied";
        }
      } else if (r.what == "ended" || r.what == "cancelled" || r.what == "link_closed" ||
                 r.what == "failed" || r.what == "full" || r.what == "fell") {
        end(r.id, r.engine, r.t, open);
        running[r.engine].erase(r.id);
        if (r.what == "fell") fell_.push_back(&r);
      }
    }
    out_.requests = requests.size();
  }

  void end(const std::string& id, const std::string& engine, std::int64_t t,
           const std::map<std::pair<std::string, std::string>, std::size_t>& open) {
    const auto found = open.find({engine, id});
    if (found == open.end()) return;
    Run& run = tries_[id].runs[found->second];
    run.over = std::min(run.over, t);
  }

  using Times = std::map<std::string, std::vector<std::int64_t>>;
  [[nodiscard]] static bool near(const Times& times, const std::string& manager, std::int64_t from,
                                 std::int64_t to) {
    const auto found = times.find(manager);
    if (found == times.end()) return false;
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](std::int64_t t) { return t >= from - ns(0.5) && t <= to + ns(0.5); });
  }

  void final_answers(const std::string& id, const Try& one) {
    const std::int64_t due = one.asked.t + ns(one.asked.client_timeout_ms / 1000 + f_.slack_s);
    if (one.extra > 0) violation(1, id + ": something came behind its final answer", &one);
    if (one.answers > 1) violation(1, id + ": " + std::to_string(one.answers) + " final answers", &one);
    const std::int64_t until = one.answer ? one.answer->t : due;
    if (!one.answer || one.answer->kind == "lost" || one.answer->kind == "unanswered") {
      // Whom its manager's death left without one asks again; and what was asked of one that was gone already
      // was never taken. No other.
      const bool crossed = near(down_, one.asked.manager, one.asked.t, one.asked.t) && one.runs.empty();
      if (!crossed && !near(killed_, one.asked.manager, one.asked.t, until))
        violation(1, id + ": no final answer", &one);
      return;
    }
    if (one.answer->kind != "gone" && one.answer->t > due) {
      std::ostringstream late;
      late << id << ": answered " << static_cast<double>(one.answer->t - due) * 1e-6 << " ms too late";
      violation(1, late.str(), &one);
    }
  }

  void effects(const std::string& id, const Try& one) {
    const ClassFigures& k = class_of(one);
    for (std::size_t i = 0; i + 1 < one.runs.size(); ++i) {
      const Run &a = one.runs[i], &b = one.runs[i + 1];
      if (a.over == never || a.over > b.received + ns(f_.seen_apart_s))
        violation(2, id + ": two attempts out at once", &one);
      if (k.safe || !a.started) continue;
      if (!k.keyed) violation(2, id + ": unsafe, sent again though it had begun to run", &one);
      if (k.keyed && b.received > one.runs[0].received + ns(k.key_window_s))
        violation(2, id + ": sent again after engines forgot its key", &one);
    }
    const bool ran = std::any_of(one.runs.begin(), one.runs.end(), [](const Run& r) { return r.started; });
    const bool refused = one.answer && (one.answer->kind == "refused" || one.answer->harmless);
    if (!k.safe && !k.keyed && ran && refused && one.answer->kind != "served")
      violation(2, id + ": unsafe, told to be harmless to repeat though it had begun to run", &one);
  }

  void effects_of_requests() {
    for (const auto& [request, ids] : tries_of_) {
      std::size_t applied = 0;
      for (const std::string& id : ids)
        for (const Run& run : tries_[id].runs) applied += run.applied ? 1 : 0;
      const Try& first = tries_[ids.front()];
      const ClassFigures& k = class_of(first);
      if (!k.safe && !k.keyed && applied > 1)
        violation(
            2,
            "request " + std::to_string(request) + ": unsafe, applied " + std::to_string(applied) + " times",
            &tries_[ids.back()]);
    }
    for (const auto& [id, one] : tries_)
      if (one.asked.what.empty() && !one.runs.empty())
        violation(2, id + ": ran, and no client asked for it", &one);
  }

  void places(const std::string& id, const Try& one) {
    const ClassFigures& k = class_of(one);
    if (k.zones.empty()) return;
    for (const Run& run : one.runs) {
      const auto zone = f_.zones.find(run.engine);
      if (zone == f_.zones.end() || std::find(k.zones.begin(), k.zones.end(), zone->second) == k.zones.end())
        violation(6, id + ": sent to " + run.engine + ", out of its places", &one);
    }
  }

  void drains() {
    for (const auto& [engine, told] : listed_) {
      for (std::size_t i = 0; i < told.size(); ++i) {
        if (told[i]->state == "ready") continue;
        if (i > 0 && told[i - 1]->state != "ready") continue;  // the first notice counts
        std::int64_t until = never;
        for (std::size_t n = i + 1; n < told.size() && until == never; ++n)
          if (told[n]->state == "ready") until = told[n]->t;
        const std::int64_t from = told[i]->t + ns(f_.drain_grace_s + f_.list_poll_s + f_.slack_s);
        for (const auto& [id, one] : tries_)
          for (const Run& run : one.runs)
            if (run.engine == engine && run.received > from && run.received < until)
              violation(3, id + ": sent to " + engine + " after its drain's grace", &one);
      }
    }
  }

  void falls() {
    for (const Record* r : fell_) {
      if (!told_fallen_.insert(r->engine).second) continue;
      violation(4, r->engine + " fell over while cold", &tries_[r->id]);
    }
  }

  void turns() {
    std::map<std::pair<std::string, std::string>, std::vector<std::pair<std::string, const Try*>>> lines;
    for (const auto& [id, one] : tries_)
      if (class_of(one).ordered_by_key && !one.asked.key.empty())
        lines[{one.asked.manager, one.asked.key}].emplace_back(id, &one);
    for (auto& [place, line] : lines) {
      std::sort(line.begin(), line.end(),
                [](const auto& a, const auto& b) { return a.second->asked.t < b.second->asked.t; });
      for (std::size_t i = 0; i < line.size(); ++i) {
        for (std::size_t n = i + 1; n < line.size(); ++n) {
          const Try &a = *line[i].second, &b = *line[n].second;
          if (b.runs.empty() || near(killed_, place.first, a.asked.t, b.runs[0].received)) continue;
          for (const Run& x : a.runs)
            for (const Run& y : b.runs)
              if (x.received < y.received ? x.over > y.received + ns(f_.seen_apart_s)
                                          : y.over > x.received + ns(f_.seen_apart_s))
                violation(
                    5, line[i].first + " and " + line[n].first + " of key " + place.second + " ran at once",
                    &b);
          const bool clearly_first = a.asked.t + ns(f_.seen_apart_s) < b.asked.t;
          const bool waits = !a.answer || a.answer->t > b.runs[0].received + ns(f_.seen_apart_s);
          if (clearly_first && waits && (a.runs.empty() || a.runs[0].received > b.runs[0].received))
            violation(5, line[n].first + " of key " + place.second + " overtook " + line[i].first, &b);
        }
      }
    }
  }

  void budget() {
    if (f_.budget_window_s <= 0) return;
    std::map<std::string, std::vector<std::int64_t>> taken;
    for (const auto& [id, one] : tries_)
      if (!one.asked.what.empty()) taken[one.asked.manager].push_back(one.asked.t);
    for (auto& [manager, times] : taken) std::sort(times.begin(), times.end());
    for (auto& [manager, times] : further_) {
      std::sort(times.begin(), times.end());
      const auto& all = taken[manager];
      for (std::size_t i = 0; i < times.size(); ++i) {
        const std::int64_t to = times[i], from = to - ns(f_.budget_window_s);
        const auto made = static_cast<double>(
            i + 1 -
            static_cast<std::size_t>(std::lower_bound(times.begin(), times.end(), from) - times.begin()));
        const auto count =
            static_cast<double>(std::upper_bound(all.begin(), all.end(), to + ns(f_.seen_apart_s)) -
                                std::lower_bound(all.begin(), all.end(), from - ns(f_.seen_apart_s)));
        if (made > f_.budget_floor + f_.budget_share * count + 1e-9) {
          violation(7, manager + ": " + std::to_string(static_cast<int>(made)) + " further attempts for " +
                           std::to_string(static_cast<int>(count)) + " requests in its window");
          break;
        }
      }
    }
  }

  const Figures& f_;
  std::vector<Record> records_;
  std::map<std::string, Try> tries_;
  std::map<std::int64_t, std::vector<std::string>> tries_of_;
  std::map<std::string, std::vector<const Record*>> listed_;
  Times killed_, down_, further_;
  std::vector<const Record*> fell_;
  std::set<std::string> told_fallen_;
  std::int64_t start_ = 0;
  Verdict out_;
};

}  // namespace

Verdict judge(const Figures& figures, std::vector<Record> records) {
  return Judge(figures, std::move(records)).run();
}

std::vector<Record> read_logs(const std::string& folder, std::vector<std::string>& problems) {
  std::vector<Record> out;
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder))
    if (entry.path().extension() == ".jsonl") files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  for (const auto& path : files) {
    std::ifstream file(path);
    std::size_t number = 0;
    for (std::string line; std::getline(file, line);) {
      ++number;
      const auto json = nlohmann::json::parse(line, nullptr, false);
      if (!json.is_object() || !json.contains("t") || !json.contains("what")) {
        problems.push_back(path.string() + ":" + std::to_string(number) +
                           ": wanted: an object with t and what");
        continue;
      }
      Record r;
      r.t = json["t"].get<std::int64_t>();
      r.what = json["what"].get<std::string>();
      const auto text = [&](const char* name) { return json.value(name, std::string{}); };
      r.id = text("id");
      r.class_name = text("class");
      r.key = text("key");
      r.manager = text("manager");
      r.engine = text("engine");
      r.kind = text("kind");
      r.state = text("state");
      r.request = json.value("request", std::int64_t{0});
      r.client_timeout_ms = json.value("patience_ms", 0.0);
      r.harmless = json.value("harmless", false);
      out.push_back(std::move(r));
    }
  }
  return out;
}

std::string summary(const Verdict& verdict) {
  std::ostringstream out;
  out << verdict.requests << " requests, " << verdict.tries << " tries, " << verdict.attempts
      << " attempts; ";
  if (verdict.by_rule.empty()) {
    out << "no breach of any rule";
  } else {
    out << "BREACHES:";
    for (const auto& [rule, count] : verdict.by_rule) out << " rule " << rule << " x " << count;
  }
  return out.str();
}

std::string report_json(const Verdict& verdict) {
  nlohmann::json out{{"requests", verdict.requests},
                     {"tries", verdict.tries},
                     {"attempts", verdict.attempts},
                     {"answers", verdict.answers}};
  out["breaches"] = nlohmann::json::array();
  for (const RuleViolation& b : verdict.violations)
    out["breaches"].push_back({{"rule", b.rule}, {"what", b.what}, {"history", b.history}});
  for (const auto& [rule, count] : verdict.by_rule) out["by_rule"][std::to_string(rule)] = count;
  return out.dump(2);
}

}  // namespace paddlestand::trace_checker
