/// A model of an analytic engine. Jobs share the cores by priority and are affected by memory shortage (three
/// policies), a cache of tables, table locks of writers, and the loss of throughput when too many threads
/// run. The engine starts slowly, and crashes if it is overloaded during its slow start.
///
/// Has no I/O, clock or randomness: test engines run it in real time. Not thread-safe. Times must not
/// decrease from call to call.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace paddlestand::simulation {

using Seconds = double;
using JobId = std::uint64_t;

/// What happens to a job that does not fit into memory: it and all later jobs wait, it spills to disk, or the
/// whole engine pages.
enum class MemoryShortagePolicy : std::uint8_t { wait, spill, page };

struct EngineShape {
  double cores = 8;
  double memory_mb = 16384;
  double speed = 1;  ///< of each core, relative to a standard core
  double saturation_threads_per_core = 2;  ///< total throughput falls above this
  double oversubscription_cost = 0.15;  ///< loss of total throughput per additional thread per core
  MemoryShortagePolicy memory_shortage_policy = MemoryShortagePolicy::wait;
  double memory_shortage_cost = 2.5;  ///< slowdown factor of a spilling job, or of all jobs when paging
  std::size_t max_cached_tables = 4;
  double cached_read_saving = 0.5;  ///< share of a job's reads that a cached table saves
  std::size_t max_jobs = 64;  ///< further jobs are rejected as overload
  double slow_start_capacity_share = 1;  ///< share of the full capacity at the engine's start
  Seconds slow_start_duration = 0;
  double overload_multiple = 0;  ///< of the slow-start capacity; the engine crashes above this; zero: never
  Seconds overload_window = 1.5;
};

struct Job {
  JobId id{};
  double work = 0;  ///< seconds on one thread
  double threads = 1;
  double read_share = 0.3;  ///< of the work
  double memory_mb = 0;  ///< required for full speed
  double granted_mb = 0;  ///< zero: memory_mb
  std::uint8_t priority = 1;
  std::uint64_t tables = 0;  ///< id of the set of tables that it uses
  bool writes = false;  ///< locks its tables until it ends
  bool waits_for_writers = false;
};

struct JobEnd {
  JobId id{};
  double work = 0;  ///< seconds on one thread
  double memory_mb = 0;
};

enum class Admission : std::uint8_t { accepted, overloaded, crashed };

class EngineModel {
 public:
  EngineModel(EngineShape shape, Seconds now);

  Admission start(Seconds now, Job job);
  /// Stops a job immediately. Returns false if there is no such job.
  bool cancel(Seconds now, JobId id);
  /// Changes the priority of a job and, if `granted_mb` is not zero, its memory grant.
  void set_terms(Seconds now, JobId id, std::uint8_t priority, double granted_mb);
  /// Returns the jobs that have ended since the last call, in order.
  std::vector<JobEnd> advance(Seconds now);
  /// When the next job ends if nothing changes; an earlier time during slow start, as the capacity grows.
  [[nodiscard]] std::optional<Seconds> next_end() const;

  // Faults.
  void slow_down(Seconds now, double factor);  ///< 1: full speed
  void hang(Seconds now);
  void resume(Seconds now);
  void clear_table_cache(Seconds now);
  void restart(Seconds now);  ///< without jobs and cached tables, in slow start

  [[nodiscard]] std::size_t job_count() const { return jobs_.size(); }
  [[nodiscard]] bool has_crashed() const { return has_crashed_; }
  [[nodiscard]] bool is_spilling(JobId id) const;
  [[nodiscard]] bool is_waiting(JobId id) const;
  /// The completed share of a job's work; 1 if there is no such job.
  [[nodiscard]] double progress_of(JobId id) const;

 private:
  struct JobState {
    Job job;
    double remaining_work = 0;  // seconds on one thread
    double total_work = 0;
    double rate = 0;  // work per second
    bool is_waiting = false;
    bool is_spilling = false;
  };
  /// Totals over the running jobs.
  struct Demand {
    double memory_mb = 0;
    double threads = 0;
    double weighted_threads = 0;
  };

  [[nodiscard]] bool is_in_slow_start(Seconds now) const;
  [[nodiscard]] double capacity(Seconds now) const;
  [[nodiscard]] bool crashes_under(Seconds now, double work);
  void run_to(Seconds now);
  std::vector<JobId> remove_finished(Seconds span);
  void set_hung(Seconds now, bool is_hung);
  void read_tables(JobState& run);
  void reschedule();
  [[nodiscard]] std::vector<JobId> scheduling_order() const;
  Demand select_running();
  [[nodiscard]] double throughput_per_core(const Demand& demand) const;
  [[nodiscard]] bool is_paging(const Demand& demand) const;
  void distribute_cores(const Demand& demand, double throughput_per_core);

  EngineShape shape_;
  Seconds now_;
  Seconds started_;
  std::map<JobId, JobState> jobs_;
  std::vector<JobId> arrival_order_;
  std::list<std::uint64_t> cached_tables_;  // most recently used first
  std::vector<JobEnd> ended_;
  std::deque<std::pair<Seconds, double>> slow_start_work_;  // arrival time and work, in the overload window
  double slowdown_ = 1;
  bool is_hung_ = false;
  bool has_crashed_ = false;
};

}  // namespace paddlestand::simulation
