/// \file
/// The requests that are not yet forgotten, with their attempts, and an index of their deadlines.
///
/// Times are seconds since the manager's first event; work is seconds on one thread.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// One sending of a request to an engine.
struct Attempt {
  EngineId engine{};
  std::uint8_t priority{};  // when sent
  double sent_at{};
  double solo_run_time{};  // s, expected if nothing else ran on the engine
  double granted_memory{};  // MB
  double failure_score_before = -1;  // of its engine, before the attempt failed there; negative: it has not
  double last_progress_at = -1;  // last progress report; negative: none
  double progress = 0;  // share done, last reported
  double progress_at = 0;  // when `progress` was reported
  bool in_flight = true;
  bool cancelled = false;
  bool announced = false;  // to peers
  bool had_spare_cores = false;  // its engine, when the attempt was sent: run time stands for work
  bool may_have_run = true;  // until proved otherwise
  bool in_running_cost = true;  // counted in its class's running cost
  bool of_earlier_process = false;  // its engine restarted since: the outcome doesn't concern the present one
};

/// One request of a client.
struct Request {
  RequestId id{};
  std::uint32_t class_index{};
  std::uint64_t ordering_key{};  // 0: none
  double arrived_at{};
  double deadline{};
  double tables{};  // group of tables that it reads or writes
  double first_of_key_since{};  // since when no earlier request of its key is unfinished
  double estimated_cost{};  // or the class's mean where there was no estimate
  double estimated_memory{};  // MB, or 0
  bool has_cost_estimate = false;
  bool over_quota = false;  // its tenant was beyond its quota when it arrived
  bool is_held = false;  // in its class's queue
  bool is_over = false;  // answered or abandoned; attempts may be in flight still
  bool has_answer_begun = false;  // part of its answer went to the client: it can't be sent again
  std::vector<Attempt> attempts;

  [[nodiscard]] bool is_in_flight() const;
};

/// Owns all requests. References to requests stay valid until erase().
class RequestTable {
 public:
  using Records = std::map<RequestId, Request>;
  using Deadlines = std::set<std::pair<double, RequestId>>;

  /// Adds a request and indexes its deadline. The id must be new.
  Request& add(Request request);
  /// Marks a request as over: its deadline doesn't matter any more.
  void close(Request& request);
  void erase(RequestId id);

  /// Null where the id is unknown.
  [[nodiscard]] Request* find(RequestId id);
  [[nodiscard]] Request& at(RequestId id) { return records_.at(id); }
  [[nodiscard]] const Request& at(RequestId id) const { return records_.at(id); }
  [[nodiscard]] bool contains(RequestId id) const { return records_.contains(id); }

  /// In order of their ids.
  [[nodiscard]] auto begin() { return records_.begin(); }
  [[nodiscard]] auto end() { return records_.end(); }
  [[nodiscard]] auto begin() const { return records_.begin(); }
  [[nodiscard]] auto end() const { return records_.end(); }

  /// Deadlines of the requests that are not over, earliest first.
  [[nodiscard]] const Deadlines& deadlines() const { return deadlines_; }

  /// Visits all requests; restores the index where the visitor reads a state back.
  void visit(StateVisitor& visitor);

 private:
  Records records_;
  Deadlines deadlines_;
};

}  // namespace paddlestand::decision
