// An engine as a model: queries that share cores by priority, memory that runs short in one of three ways,
// tables that are warm or not, loads that hold theirs, a knee beyond which total work falls, cold starts,
// falling over. No I/O, no clock, no randomness: test engines run it in real time, the emulator in its own.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace paddlestand::simulation {

using Seconds = double;
using JobId = std::uint64_t;

enum class MemoryShort : std::uint8_t { wait_in_line, spill, page };

struct EngineShape {
  double cores = 8;
  double memory_mb = 16384;
  double speed = 1;  // of a core
  double knee = 2;  // threads a core from which total work falls
  double fall_beyond = 0.15;  // of the total, for each further thread a core
  MemoryShort when_short = MemoryShort::wait_in_line;
  double short_cost = 2.5;  // a query without the memory it needs does so many times its work
  std::size_t warm_tables = 4;
  double warm_saves = 0.5;  // of the reading
  std::size_t most_jobs = 64;  // beyond: turned away as full
  double slow_start_capacity_share = 1;  // at its start
  Seconds slow_start_duration = 0;
  double overload_multiple = 0;  // zero: it can't fall over
  Seconds overload_window = 1.5;
};

struct Job {
  JobId id{};
  double work = 0;  // seconds on one thread
  double threads = 1;
  double reads = 0.3;  // share of the work
  double memory_mb = 0;  // that it needs
  double granted_mb = 0;  // zero: what it needs
  std::uint8_t priority = 1;
  std::uint64_t tables = 0;
  bool writes = false;  // holds its tables until it ends
  bool waits_for_writers = false;
};

struct JobEnd {
  JobId id{};
  double work = 0;  // that it took
  double memory_mb = 0;
};

enum class Taken : std::uint8_t { yes, full, fell };

class EngineModel {
 public:
  EngineModel(EngineShape shape, Seconds now);

  Taken take(Seconds now, Job job);
  // It stops at once; false where there is no such job.
  bool cancel(Seconds now, JobId id);
  void set_terms(Seconds now, JobId id, std::uint8_t priority, double granted_mb);
  // What ended up to now, in order.
  std::vector<JobEnd> advance(Seconds now);
  // When the next one ends if nothing changes.
  [[nodiscard]] std::optional<Seconds> next_end() const;

  // Troubles.
  void slow_down(Seconds now, double factor);  // 1: as usual
  void hang(Seconds now, bool on);
  void flush(Seconds now);  // nothing is warm any more
  void restart(Seconds now);  // empty and cold

  [[nodiscard]] std::size_t held() const { return jobs_.size(); }
  [[nodiscard]] bool fell() const { return fell_; }
  [[nodiscard]] bool spills(JobId id) const;
  [[nodiscard]] bool waits(JobId id) const;
  [[nodiscard]] double share_done(JobId id) const;

 private:
  struct Running {
    Job job;
    double left = 0, whole = 0;  // seconds on one thread
    double rate = 0;  // of these, a second
    bool waits = false, spills = false;
  };

  [[nodiscard]] double capacity(Seconds now) const;
  void run_to(Seconds now);
  void share_out();
  void read_tables(Running& run);

  EngineShape shape_;
  Seconds now_, started_;
  std::map<JobId, Running> jobs_;
  std::vector<JobId> order_;  // as taken
  std::list<std::uint64_t> warm_;
  std::vector<JobEnd> ended_;
  std::deque<std::pair<Seconds, double>> cold_work_;
  double slow_ = 1;
  bool hung_ = false, fell_ = false;
};

}  // namespace paddlestand::simulation
