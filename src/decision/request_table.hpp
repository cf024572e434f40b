/// \file
/// All requests that are unfinished or have attempts in flight, with an index of their deadlines.
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

/// One attempt to run a request on an engine.
struct Attempt {
  EngineId engine{};
  std::uint8_t priority{};  // from 0 to 3, as of the send
  double sent_at{};
  double solo_run_time{};  // seconds, expected on an otherwise idle engine
  double granted_memory{};  // MB
  double failure_score_before = -1;  // of the engine before this attempt failed; negative: it didn't
  double last_progress_at = -1;  // time of the last progress report; negative: none
  double progress = 0;  // completed share, as last reported
  double progress_at = 0;  // time of that report
  bool in_flight = true;
  bool cancelled = false;
  bool announced = false;  // to peers, by gossip
  // Whether the engine had spare cores at the send, estimated from this manager's threads on it. If so, work
  // can be inferred from the run time.
  bool had_spare_cores = false;
  bool may_have_run = true;  // false once its result proves that it didn't
  bool in_running_cost = true;  // counted in its class's running cost
  bool of_earlier_process = false;  // the engine restarted since the send: the result doesn't count for it
};

/// A client's request.
struct Request {
  RequestId id{};
  std::uint32_t class_index{};
  std::uint64_t ordering_key{};  // zero: none
  double arrived_at{};
  double deadline{};
  double tables{};  // id of the table group that it reads or writes
  double first_of_key_since{};  // time since which no earlier request of its key is unfinished
  double estimated_cost{};  // without an estimate: the class's mean
  double estimated_memory{};  // MB; zero: unknown
  bool has_cost_estimate = false;
  bool over_quota = false;  // its tenant exceeded the quota when the request arrived
  bool is_queued = false;  // in its class's queue
  bool is_over = false;  // answered or abandoned; attempts may still be in flight
  bool has_answer_started = false;  // part of the answer was sent to the client: no retry is possible
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
  /// Marks a request as over and removes its deadline from the index.
  void close(Request& request);
  void erase(RequestId id);

  /// Null if the id is unknown.
  [[nodiscard]] Request* find(RequestId id);
  [[nodiscard]] Request& at(RequestId id) { return records_.at(id); }
  [[nodiscard]] const Request& at(RequestId id) const { return records_.at(id); }
  [[nodiscard]] bool contains(RequestId id) const { return records_.contains(id); }

  /// Iterates in order of ids.
  [[nodiscard]] auto begin() { return records_.begin(); }
  [[nodiscard]] auto end() { return records_.end(); }
  [[nodiscard]] auto begin() const { return records_.begin(); }
  [[nodiscard]] auto end() const { return records_.end(); }

  /// Deadlines of the requests that are not over, earliest first.
  [[nodiscard]] const Deadlines& deadlines() const { return deadlines_; }

  /// Visits all requests; rebuilds the index when a state is restored.
  void visit(StateVisitor& visitor);

 private:
  Records records_;
  Deadlines deadlines_;
};

}  // namespace paddlestand::decision
