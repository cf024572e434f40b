#include "engine_model.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace paddlestand::simulation {
namespace {

constexpr std::array<double, 4> weight_of_priority{1, 4, 8, 16};
constexpr std::uint8_t max_priority = 3;
constexpr double negligible_work = 1e-9;
constexpr Seconds slow_start_update_period = 0.25;  // interval at which rates follow the growing capacity
constexpr double sufficient_memory_share = 0.99;

double weighted_threads(const Job& job) {
  return job.threads * weight_of_priority[std::min(job.priority, max_priority)];
}

}  // namespace

EngineModel::EngineModel(EngineShape shape, Seconds now) : shape_(shape), now_(now), started_(now) {}

// ---- Jobs ----

Admission EngineModel::start(Seconds now, Job job) {
  run_to(now);
  if (has_crashed_) return Admission::crashed;
  if (is_in_slow_start(now) && shape_.overload_multiple > 0 && crashes_under(now, job.work)) {
    has_crashed_ = true;
    return Admission::crashed;
  }
  if (jobs_.size() >= shape_.max_jobs) return Admission::overloaded;
  JobState run;
  run.job = job;
  if (run.job.granted_mb <= 0) run.job.granted_mb = run.job.memory_mb;
  read_tables(run);
  run.remaining_work = run.total_work;
  arrival_order_.push_back(job.id);
  jobs_.emplace(job.id, run);
  reschedule();
  return Admission::accepted;
}

/// Whether this job and the work that arrived within the overload window overload an engine in slow start.
bool EngineModel::crashes_under(Seconds now, double work) {
  while (!slow_start_work_.empty() && slow_start_work_.front().first < now - shape_.overload_window)
    slow_start_work_.pop_front();
  slow_start_work_.emplace_back(now, work);
  double total = 0;
  for (const auto& [time, arrived] : slow_start_work_) total += arrived;
  return total > shape_.overload_multiple * capacity(now) * shape_.overload_window;
}

void EngineModel::read_tables(JobState& run) {
  const auto found = std::find(cached_tables_.begin(), cached_tables_.end(), run.job.tables);
  const bool is_cached = found != cached_tables_.end();
  if (is_cached) cached_tables_.erase(found);
  cached_tables_.push_front(run.job.tables);
  if (cached_tables_.size() > shape_.max_cached_tables) cached_tables_.pop_back();
  run.total_work = run.job.work * (is_cached ? 1 - run.job.read_share * shape_.cached_read_saving : 1);
}

bool EngineModel::cancel(Seconds now, JobId id) {
  run_to(now);
  if (jobs_.erase(id) == 0) return false;
  std::erase(arrival_order_, id);
  reschedule();
  return true;
}

void EngineModel::set_terms(Seconds now, JobId id, std::uint8_t priority, double granted_mb) {
  run_to(now);
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  found->second.job.priority = std::min(priority, max_priority);
  if (granted_mb > 0) found->second.job.granted_mb = granted_mb;
  reschedule();
}

bool EngineModel::is_spilling(JobId id) const {
  const auto found = jobs_.find(id);
  return found != jobs_.end() && found->second.is_spilling;
}

bool EngineModel::is_waiting(JobId id) const {
  const auto found = jobs_.find(id);
  return found != jobs_.end() && found->second.is_waiting;
}

double EngineModel::progress_of(JobId id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || found->second.total_work <= 0) return 1;
  return 1 - found->second.remaining_work / found->second.total_work;
}

// ---- Scheduling ----

/// Decides which jobs run and how fast.
void EngineModel::reschedule() {
  const Demand demand = select_running();
  if (is_hung_ || demand.threads <= 0) return;
  distribute_cores(demand, throughput_per_core(demand));
  if (is_paging(demand)) return;  // throughput_per_core() includes the cost
  for (auto& [id, run] : jobs_) {
    if (run.is_spilling) run.rate /= shape_.memory_shortage_cost;
  }
}

/// Jobs that have begun come first, then the others; each group is ordered by priority, then by arrival.
std::vector<JobId> EngineModel::scheduling_order() const {
  std::vector<JobId> order = arrival_order_;
  std::stable_sort(order.begin(), order.end(), [this](JobId first_id, JobId second_id) {
    const JobState& first = jobs_.at(first_id);
    const JobState& second = jobs_.at(second_id);
    const bool first_has_begun = first.remaining_work < first.total_work;
    const bool second_has_begun = second.remaining_work < second.total_work;
    if (first_has_begun != second_has_begun) return first_has_begun;
    return first.job.priority > second.job.priority;
  });
  return order;
}

/// Decides which jobs run, wait for memory or a table lock, or spill. Sets all rates to zero.
EngineModel::Demand EngineModel::select_running() {
  Demand demand;
  std::set<std::uint64_t> locked_tables;
  bool is_queue_blocked = false;
  for (const JobId id : scheduling_order()) {
    JobState& run = jobs_.at(id);
    run.is_waiting = false;
    run.is_spilling = false;
    run.rate = 0;
    const bool respects_locks = run.job.writes || run.job.waits_for_writers;
    if (respects_locks && locked_tables.contains(run.job.tables)) {
      run.is_waiting = true;
      continue;
    }
    const bool is_memory_short =
        demand.memory_mb + run.job.granted_mb > shape_.memory_mb && demand.memory_mb > 0;
    if (is_memory_short && shape_.memory_shortage_policy == MemoryShortagePolicy::wait)
      is_queue_blocked = true;
    if (is_queue_blocked) {
      run.is_waiting = true;
      continue;
    }
    if (run.job.writes) locked_tables.insert(run.job.tables);
    run.is_spilling = run.job.granted_mb < sufficient_memory_share * run.job.memory_mb || is_memory_short;
    demand.memory_mb += run.job.granted_mb;
    demand.threads += run.job.threads;
    demand.weighted_threads += weighted_threads(run.job);
  }
  return demand;
}

bool EngineModel::is_paging(const Demand& demand) const {
  return shape_.memory_shortage_policy == MemoryShortagePolicy::page && demand.memory_mb > shape_.memory_mb;
}

double EngineModel::throughput_per_core(const Demand& demand) const {
  const double threads_per_core = demand.threads / shape_.cores;
  double throughput = capacity(now_);
  if (threads_per_core > shape_.saturation_threads_per_core)
    throughput /= 1 + shape_.oversubscription_cost * (threads_per_core - shape_.saturation_threads_per_core);
  if (is_paging(demand)) throughput /= shape_.memory_shortage_cost;
  return throughput / shape_.cores;
}

/// Distributes the cores over the running jobs by priority. No job gets more than its threads can use; the
/// remainder is distributed over the other jobs.
void EngineModel::distribute_cores(const Demand& demand, double throughput_per_core) {
  std::vector<JobState*> unsatisfied;
  for (const JobId id : arrival_order_) {
    JobState& run = jobs_.at(id);
    if (!run.is_waiting) unsatisfied.push_back(&run);
  }
  double cores = shape_.cores;
  double weight = demand.weighted_threads;
  bool has_changed = true;
  while (has_changed && !unsatisfied.empty()) {
    has_changed = false;
    for (auto it = unsatisfied.begin(); it != unsatisfied.end();) {
      JobState& run = **it;
      const double own_weight = weighted_threads(run.job);
      if (cores * own_weight / weight < run.job.threads) {
        ++it;
        continue;
      }
      run.rate = run.job.threads * throughput_per_core;
      cores -= run.job.threads;
      weight -= own_weight;
      it = unsatisfied.erase(it);
      has_changed = true;
    }
  }
  for (JobState* run : unsatisfied)
    run->rate = std::max(0.0, cores) * weighted_threads(run->job) / weight * throughput_per_core;
}

// ---- Time ----

bool EngineModel::is_in_slow_start(Seconds now) const {
  return shape_.slow_start_duration > 0 && now < started_ + shape_.slow_start_duration;
}

/// Total capacity of all cores, in seconds of single-threaded work per second.
double EngineModel::capacity(Seconds now) const {
  double share = 1;
  if (is_in_slow_start(now)) {
    share = shape_.slow_start_capacity_share +
            (1 - shape_.slow_start_capacity_share) * (now - started_) / shape_.slow_start_duration;
  }
  return shape_.cores * shape_.speed * share / slowdown_;
}

std::optional<Seconds> EngineModel::next_end() const {
  std::optional<Seconds> first;
  for (const auto& [id, run] : jobs_) {
    if (run.rate <= 0) continue;
    const Seconds end = now_ + run.remaining_work / run.rate;
    if (!first || end < *first) first = end;
  }
  // The capacity grows during slow start, so the rates are recomputed before the job ends.
  if (first && is_in_slow_start(now_)) first = std::min(*first, now_ + slow_start_update_period);
  return first;
}

void EngineModel::run_to(Seconds now) {
  while (now_ < now) {
    const auto end = next_end();
    const Seconds target = end ? std::min(*end, now) : now;
    const Seconds span = target - now_;
    now_ = target;
    const bool has_finished = !remove_finished(span).empty();
    const bool has_new_capacity = shape_.slow_start_duration > 0 &&
                                  now_ < started_ + shape_.slow_start_duration + slow_start_update_period;
    if (has_finished || has_new_capacity) reschedule();
    if (!has_finished && span <= 0) break;
  }
}

/// Advances all jobs by `span` and removes those that have finished.
std::vector<JobId> EngineModel::remove_finished(Seconds span) {
  std::vector<JobId> finished;
  for (const JobId id : arrival_order_) {
    JobState& run = jobs_.at(id);
    run.remaining_work -= run.rate * span;
    if (run.remaining_work <= negligible_work + run.rate * 1e-9) finished.push_back(id);
  }
  for (const JobId id : finished) {
    const JobState& run = jobs_.at(id);
    ended_.push_back({id, run.total_work, run.job.memory_mb});
    jobs_.erase(id);
    std::erase(arrival_order_, id);
  }
  return finished;
}

std::vector<JobEnd> EngineModel::advance(Seconds now) {
  run_to(now);
  return std::exchange(ended_, {});
}

// ---- Faults ----

void EngineModel::slow_down(Seconds now, double factor) {
  run_to(now);
  slowdown_ = std::max(factor, 1e-3);
  reschedule();
}

void EngineModel::hang(Seconds now) { set_hung(now, true); }

void EngineModel::resume(Seconds now) { set_hung(now, false); }

void EngineModel::set_hung(Seconds now, bool is_hung) {
  run_to(now);
  is_hung_ = is_hung;
  reschedule();
}

void EngineModel::clear_table_cache(Seconds now) {
  run_to(now);
  cached_tables_.clear();
}

void EngineModel::restart(Seconds now) {
  run_to(now);
  jobs_.clear();
  arrival_order_.clear();
  ended_.clear();
  cached_tables_.clear();
  slow_start_work_.clear();
  started_ = now;
  is_hung_ = false;
  has_crashed_ = false;
  slowdown_ = 1;
}

}  // namespace paddlestand::simulation
