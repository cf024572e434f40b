/// A model of an analytic engine: queries share cores by priority, memory runs short in one of three ways,
/// tables are cached or not, loads lock theirs, total throughput falls when too many threads run, starts are
/// cold, and an engine that is overloaded while it is cold crashes.
///
/// No I/O, no clock, no randomness: test engines run it in real time. Not thread-safe. Times must not
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

/// What becomes of a job for which there is no memory.
enum class MemoryShort : std::uint8_t { wait_in_line, spill, page };

struct EngineShape {
  double cores = 8;
  double memory_mb = 16384;
  double speed = 1;  ///< of a core
  double knee = 2;  ///< threads per core above which total throughput falls
  double fall_beyond = 0.15;  ///< of total throughput, for each further thread per core
  MemoryShort when_short = MemoryShort::wait_in_line;
  double short_cost = 2.5;  ///< the factor on the work of a job without the memory it needs
  std::size_t warm_tables = 4;  ///< how many the cache holds
  double warm_saves = 0.5;  ///< of reading, where the table is cached
  std::size_t max_jobs = 64;  ///< more are rejected as overload
  double slow_start_capacity_share = 1;  ///< at its start
  Seconds slow_start_duration = 0;
  double overload_multiple = 0;  ///< of the cold capacity, above which it crashes; zero: never
  Seconds overload_window = 1.5;
};

struct Job {
  JobId id{};
  double work = 0;  ///< seconds on one thread
  double threads = 1;
  double reads = 0.3;  ///< share of the work
  double memory_mb = 0;  ///< that it needs
  double granted_mb = 0;  ///< zero: what it needs
  std::uint8_t priority = 1;
  std::uint64_t tables = 0;
  bool writes = false;  ///< locks its tables until it ends
  bool waits_for_writers = false;
};

struct JobEnd {
  JobId id{};
  double work = 0;  ///< that was done, in seconds on one thread
  double memory_mb = 0;
};

enum class Admission : std::uint8_t { accepted, overloaded, crashed };

class EngineModel {
 public:
  EngineModel(EngineShape shape, Seconds now);

  Admission start(Seconds now, Job job);
  /// Stops a job at once. False where there is no such job.
  bool cancel(Seconds now, JobId id);
  /// Changes the priority of a job, and its memory grant where that is not zero.
  void set_terms(Seconds now, JobId id, std::uint8_t priority, double granted_mb);
  /// The jobs that have ended by now and were not returned yet, in order.
  std::vector<JobEnd> advance(Seconds now);
  /// When the next job ends if nothing changes, or earlier while the engine is cold.
  [[nodiscard]] std::optional<Seconds> next_end() const;

  // Faults.
  void slow_down(Seconds now, double factor);  ///< 1: full speed
  void hang(Seconds now);
  void resume(Seconds now);
  void clear_table_cache(Seconds now);
  void restart(Seconds now);  ///< empty and cold

  [[nodiscard]] std::size_t job_count() const { return jobs_.size(); }
  [[nodiscard]] bool has_crashed() const { return has_crashed_; }
  [[nodiscard]] bool is_spilling(JobId id) const;
  [[nodiscard]] bool is_waiting(JobId id) const;
  /// The share of its work that is done; 1 where there is no such job.
  [[nodiscard]] double progress_of(JobId id) const;

 private:
  struct Running {
    Job job;
    double remaining_work = 0;  // seconds on one thread
    double total_work = 0;
    double rate = 0;  // of work done per second
    bool is_waiting = false;
    bool is_spilling = false;
  };
  /// Sums over the jobs that run.
  struct Demand {
    double memory_mb = 0;
    double threads = 0;
    double weighted_threads = 0;
  };

  [[nodiscard]] bool is_cold(Seconds now) const;
  [[nodiscard]] double capacity(Seconds now) const;
  [[nodiscard]] bool crashes_under(Seconds now, double work);
  void run_to(Seconds now);
  std::vector<JobId> remove_finished(Seconds span);
  void set_hung(Seconds now, bool is_hung);
  void read_tables(Running& run);
  void reschedule();
  [[nodiscard]] std::vector<JobId> scheduling_order() const;
  Demand select_running();
  [[nodiscard]] double throughput_per_core(const Demand& demand) const;
  [[nodiscard]] bool is_paging(const Demand& demand) const;
  void distribute_cores(const Demand& demand, double throughput_per_core);

  EngineShape shape_;
  Seconds now_;
  Seconds started_;
  std::map<JobId, Running> jobs_;
  std::vector<JobId> arrival_order_;
  std::list<std::uint64_t> cached_tables_;  // most recently used first
  std::vector<JobEnd> ended_;
  std::deque<std::pair<Seconds, double>> cold_work_;  // that arrived within the overload window
  double slowdown_ = 1;
  bool is_hung_ = false;
  bool has_crashed_ = false;
};

}  // namespace paddlestand::simulation
