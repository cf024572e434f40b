#include "engine_model.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace paddlestand::simulation {
namespace {
constexpr std::array<double, 4> lane_weight{1, 4, 8, 16};
constexpr double nothing_left = 1e-9;
constexpr Seconds cold_step = 0.25;  // how finely a cold engine's growing capacity is followed
}  // namespace

EngineModel::EngineModel(EngineShape shape, Seconds now) : shape_(shape), now_(now), started_(now) {}

double EngineModel::capacity(Seconds now) const {
  double part = 1;
  if (shape_.slow_start_duration > 0 && now < started_ + shape_.slow_start_duration)
    part = shape_.slow_start_capacity_share +
           (1 - shape_.slow_start_capacity_share) * (now - started_) / shape_.slow_start_duration;
  return shape_.cores * shape_.speed * part / slow_;
}

void EngineModel::read_tables(Running& run) {
  const auto found = std::find(warm_.begin(), warm_.end(), run.job.tables);
  const bool was_warm = found != warm_.end();
  if (was_warm) warm_.erase(found);
  warm_.push_front(run.job.tables);
  if (warm_.size() > shape_.warm_tables) warm_.pop_back();
  run.whole = run.job.work * (was_warm ? 1 - run.job.reads * shape_.warm_saves : 1);
}

Taken EngineModel::take(Seconds now, Job job) {
  run_to(now);
  if (fell_) return Taken::fell;
  const bool cold = shape_.slow_start_duration > 0 && now < started_ + shape_.slow_start_duration;
  if (cold && shape_.overload_multiple > 0) {
    while (!cold_work_.empty() && cold_work_.front().first < now - shape_.overload_window)
      cold_work_.pop_front();
    cold_work_.emplace_back(now, job.work);
    double sent = 0;
    for (const auto& [at, work] : cold_work_) sent += work;
    if (sent > shape_.overload_multiple * capacity(now) * shape_.overload_window) {
      fell_ = true;
      return Taken::fell;
    }
  }
  if (jobs_.size() >= shape_.most_jobs) return Taken::full;
  Running run;
  run.job = job;
  if (run.job.granted_mb <= 0) run.job.granted_mb = run.job.memory_mb;
  read_tables(run);
  run.left = run.whole;
  order_.push_back(job.id);
  jobs_.emplace(job.id, std::move(run));
  share_out();
  return Taken::yes;
}

bool EngineModel::cancel(Seconds now, JobId id) {
  run_to(now);
  if (jobs_.erase(id) == 0) return false;
  std::erase(order_, id);
  share_out();
  return true;
}

void EngineModel::set_terms(Seconds now, JobId id, std::uint8_t priority, double granted_mb) {
  run_to(now);
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  found->second.job.priority = std::min<std::uint8_t>(priority, 3);
  if (granted_mb > 0) found->second.job.granted_mb = granted_mb;
  share_out();
}

// Who runs, who waits in line for memory or for a load, and how fast each that runs goes.
void EngineModel::share_out() {
  std::set<std::uint64_t> written;
  double memory = 0, threads = 0, weighed = 0;
  std::vector<JobId> line = order_;
  std::stable_sort(line.begin(), line.end(), [this](JobId a, JobId b) {
    // Who runs goes on; then by priority, then in turn.
    const Running &x = jobs_.at(a), &y = jobs_.at(b);
    const bool x_runs = x.left < x.whole, y_runs = y.left < y.whole;
    if (x_runs != y_runs) return x_runs;
    return x.job.priority > y.job.priority;
  });
  bool blocked = false;
  for (const JobId id : line) {
    Running& run = jobs_.at(id);
    run.waits = run.spills = false;
    run.rate = 0;
    if ((run.job.writes || run.job.waits_for_writers) && written.contains(run.job.tables)) {
      run.waits = true;
      continue;
    }
    const bool too_much = memory + run.job.granted_mb > shape_.memory_mb && memory > 0;
    if (too_much && shape_.when_short == MemoryShort::wait_in_line) blocked = true;
    if (blocked) {
      run.waits = true;
      continue;
    }
    if (run.job.writes) written.insert(run.job.tables);
    memory += run.job.granted_mb;
    run.spills = run.job.granted_mb < 0.99 * run.job.memory_mb ||
                 (too_much && shape_.when_short != MemoryShort::wait_in_line);
    threads += run.job.threads;
    weighed += run.job.threads * lane_weight[std::min<std::uint8_t>(run.job.priority, 3)];
  }
  if (hung_ || threads <= 0) return;
  const double crowd = threads / shape_.cores;
  double total = capacity(now_);
  if (crowd > shape_.knee) total /= 1 + shape_.fall_beyond * (crowd - shape_.knee);
  const bool pages = shape_.when_short == MemoryShort::page && memory > shape_.memory_mb;
  if (pages) total /= shape_.short_cost;
  const double core = total / shape_.cores;
  // Cores by priority, but never more to one than its threads can use; what is left over goes round.
  std::vector<Running*> open;
  for (const JobId id : order_)
    if (Running& run = jobs_.at(id); !run.waits) open.push_back(&run);
  double cores = shape_.cores;
  double weight = weighed;
  for (bool again = true; again && !open.empty();) {
    again = false;
    for (auto it = open.begin(); it != open.end();) {
      Running& run = **it;
      const double own = run.job.threads * lane_weight[std::min<std::uint8_t>(run.job.priority, 3)];
      if (cores * own / weight < run.job.threads) {
        ++it;
        continue;
      }
      run.rate = run.job.threads * core;
      cores -= run.job.threads;
      weight -= own;
      it = open.erase(it);
      again = true;
    }
  }
  for (Running* run : open) {
    const double own = run->job.threads * lane_weight[std::min<std::uint8_t>(run->job.priority, 3)];
    run->rate = std::max(0.0, cores) * own / weight * core;
  }
  for (auto& [id, run] : jobs_)
    if (run.spills && !pages) run.rate /= shape_.short_cost;
}

std::optional<Seconds> EngineModel::next_end() const {
  std::optional<Seconds> first;
  for (const auto& [id, run] : jobs_) {
    if (run.rate <= 0) continue;
    const Seconds end = now_ + run.left / run.rate;
    if (!first || end < *first) first = end;
  }
  // A cold engine speeds up by itself: its shares are looked at again meanwhile.
  if (first && shape_.slow_start_duration > 0 && now_ < started_ + shape_.slow_start_duration)
    first = std::min(*first, now_ + cold_step);
  return first;
}

void EngineModel::run_to(Seconds now) {
  while (now_ < now) {
    const auto end = next_end();
    const Seconds to = end ? std::min(*end, now) : now;
    const Seconds span = to - now_;
    now_ = to;
    std::vector<JobId> done;
    for (const JobId id : order_) {
      Running& run = jobs_.at(id);
      run.left -= run.rate * span;
      if (run.left <= nothing_left + run.rate * 1e-9) done.push_back(id);
    }
    for (const JobId id : done) {
      const Running& run = jobs_.at(id);
      ended_.push_back({id, run.whole, run.job.memory_mb});
      jobs_.erase(id);
      std::erase(order_, id);
    }
    const bool cold =
        shape_.slow_start_duration > 0 && now_ < started_ + shape_.slow_start_duration + cold_step;
    if (!done.empty() || cold) share_out();
    if (done.empty() && span <= 0) break;
  }
}

std::vector<JobEnd> EngineModel::advance(Seconds now) {
  run_to(now);
  std::vector<JobEnd> out;
  out.swap(ended_);
  return out;
}

void EngineModel::slow_down(Seconds now, double factor) {
  run_to(now);
  slow_ = std::max(factor, 1e-3);
  share_out();
}

void EngineModel::hang(Seconds now, bool on) {
  run_to(now);
  hung_ = on;
  share_out();
}

void EngineModel::flush(Seconds now) {
  run_to(now);
  warm_.clear();
}

void EngineModel::restart(Seconds now) {
  run_to(now);
  jobs_.clear();
  order_.clear();
  ended_.clear();
  warm_.clear();
  cold_work_.clear();
  started_ = now;
  hung_ = fell_ = false;
  slow_ = 1;
}

bool EngineModel::spills(JobId id) const {
  const auto found = jobs_.find(id);
  return found != jobs_.end() && found->second.spills;
}

bool EngineModel::waits(JobId id) const {
  const auto found = jobs_.find(id);
  return found != jobs_.end() && found->second.waits;
}

double EngineModel::share_done(JobId id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || found->second.whole <= 0) return 1;
  return 1 - found->second.left / found->second.whole;
}

}  // namespace paddlestand::simulation
