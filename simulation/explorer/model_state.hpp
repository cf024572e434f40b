/// The whole system as one value: managers that run the production core (event dispatcher, query coordinator,
/// decision module, invariant checks), the host that executes their actions, the clients, channels and
/// engines around them, and a clock that advances only with a step. A state lists its possible moves; each
/// move that is made is checked immediately.
///
/// Time advances to just before a timer is due, to the time it is due, or past that time.
///
/// Not thread-safe; copies are independent of each other.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coverage.hpp"
#include "model_entities.hpp"
#include "scope.hpp"
#include "step.hpp"

namespace paddlestand::explorer {

using core::Invariant;
using core::InvariantViolation;

class ModelState {
 public:
  explicit ModelState(std::shared_ptr<const Scope> scope);

  /// All moves that are possible in this state, in a fixed order.
  [[nodiscard]] std::vector<Move> possible_moves();
  [[nodiscard]] bool is_possible(const Move& move);
  /// The next move if no further fault occurs and no engine answers; none if nothing is left to do.
  [[nodiscard]] std::optional<Move> fault_free_move();

  /// Makes a move, which must be possible. Returns the invariants that it violated, if any. The state must
  /// not be used after a violation.
  std::vector<InvariantViolation> apply(const Move& move);

  /// A resource that is still held although fault_free_move() returns nothing.
  [[nodiscard]] std::optional<InvariantViolation> find_leak();

  /// Equal for states with the same possible continuations, up to a renaming of equal engines.
  [[nodiscard]] std::uint64_t digest();
  /// The goals that the last move reached.
  [[nodiscard]] const Coverage& coverage() const { return coverage_; }
  [[nodiscard]] TimePoint now() const { return now_; }
  /// Describes a move in one line, for a history. Must be called before the move is made.
  [[nodiscard]] std::string describe(const Move& move) const;
  /// Makes every later move fill trace().
  void enable_trace() { trace_enabled_ = true; }
  /// Descriptions of the managers' actions in the last move.
  [[nodiscard]] const std::vector<std::string>& trace() const { return trace_; }
  [[nodiscard]] core::Counts counts(std::uint32_t manager) const {
    return managers_[manager].dispatcher.counts();
  }

 private:
  friend class ActionRecorder;

  // Lookups.
  [[nodiscard]] const EngineSideChannel* channel_of(const Move& move) const;
  [[nodiscard]] ModelEngine& engine_of(const EngineSideChannel& channel);
  [[nodiscard]] const ModelEngine& engine_of(const EngineSideChannel& channel) const;
  [[nodiscard]] bool has_running_process(const EngineSideChannel& channel) const;
  [[nodiscard]] EngineEntry entry_of(EngineId engine) const;
  [[nodiscard]] PlannedQuery planned_query(std::uint32_t manager, std::uint32_t client,
                                           std::uint32_t nth) const;
  [[nodiscard]] QueryId query_id(std::uint32_t client, std::uint32_t nth) const;
  [[nodiscard]] bool has_next_query(std::uint32_t manager, std::uint32_t client) const;
  [[nodiscard]] bool spends_fault(const Move& move) const;

  // Possible moves (model_moves.cpp).
  void add_client_moves(std::uint8_t manager, std::vector<Move>& moves) const;
  [[nodiscard]] bool may_submit(std::uint8_t manager, std::uint32_t client) const;
  void add_channel_moves(std::uint8_t manager, std::vector<Move>& moves) const;
  void add_channel_moves(std::uint8_t manager, const EngineSideChannel& channel,
                         std::vector<Move>& moves) const;
  void add_answer_moves(std::uint8_t manager, const EngineSideChannel& channel,
                        std::vector<Move>& moves) const;
  void add_engine_moves(EngineId id, std::vector<Move>& moves) const;
  [[nodiscard]] bool has_unused_channel(EngineId id) const;
  void add_time_moves(std::vector<Move>& moves) const;
  [[nodiscard]] std::optional<TimePoint> next_due() const;
  [[nodiscard]] bool is_idle() const;

  // Making a move (model_apply.cpp).
  void apply_client_step(const Move& move);
  void disconnect_client(std::uint32_t manager, std::uint32_t client);
  void resume_reading(std::uint32_t manager, std::uint32_t client);
  void apply_channel_step(const Move& move, EngineSideChannel& channel);
  void apply_answer_step(const Move& move, EngineSideChannel& channel);
  void apply_in_transit_step(const Move& move, EngineSideChannel& channel);
  void apply_engine_step(const Move& move);
  void apply_global_step(const Move& move);
  void lose_channel(std::uint32_t manager, EngineSideChannel& channel, core::ChannelLossReason reason);
  void answer_part_and_end(std::uint32_t manager, EngineSideChannel& channel);
  void cancel_reaches_engine(std::uint32_t manager, EngineSideChannel& channel);
  void answer_after_close(std::uint32_t manager, const EngineSideChannel& channel);
  enum class SessionState : std::uint8_t { clean, unclean };
  void end_answer(std::uint32_t manager, EngineSideChannel& channel, core::Ending ending,
                  SessionState session_state = SessionState::clean);
  void record_answer_end(std::uint32_t manager, EngineSideChannel& channel, core::Ending ending);
  void withdraw_engine(EngineId id, EngineState state);
  void start_engine(EngineId id);
  void cover_races_with(EngineId id);
  void advance_to(TimePoint time);
  void advance_before_timer();
  void fire_timers();
  void begin_shutdown(std::uint32_t manager);

  void dispatch(std::uint32_t manager, core::CoreEvent event);
  void submit_query(std::uint32_t manager, std::uint32_t client);
  void announce_endpoints(EndpointUpdate update, EngineId engine);
  void check_consistency();
  void report_violation(Invariant invariant, std::string what);
  void add_to_trace(std::string line);
  void cover(CoverageGoal goal) { coverage_.set(static_cast<std::size_t>(goal)); }
  [[nodiscard]] std::uint64_t digest_with(std::span<const std::uint8_t> engine_names);

  std::shared_ptr<const Scope> scope_;
  TimePoint now_{};
  std::vector<ManagerState> managers_;
  std::vector<ModelEngine> engines_;  // engine 1 first
  std::uint32_t remaining_faults_ = 0;
  bool discovery_failed_ = false;
  bool timer_delayed_ = false;
  std::vector<InvariantViolation> violations_;  // of the last move
  Coverage coverage_;
  bool trace_enabled_ = false;
  std::vector<std::string> trace_;
};

}  // namespace paddlestand::explorer
