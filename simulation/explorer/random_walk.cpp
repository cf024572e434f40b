#include "random_walk.hpp"

#include <chrono>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "replay.hpp"

namespace paddlestand::explorer {
namespace {

using Clock = std::chrono::steady_clock;

constexpr auto progress_period = std::chrono::seconds(5);
constexpr int max_ending_moves = 20 * max_fault_free_moves;  // at the end of an episode

/// Relative probability of a step among the possible ones. Faults are rare, or no query would ever complete.
double weight_of(Step step) {
  switch (step) {
    case Step::submit_query: return 0.003;
    case Step::cancel_query:
    case Step::disconnect_client:
    case Step::break_connection:
    case Step::stop_reading: return 0.002;
    case Step::channel_opened:
    case Step::query_written: return 1;
    case Step::answer_complete: return 0.4;
    case Step::answer_part:
    case Step::large_answer_part:
    case Step::answer_part_and_end: return 0.1;
    case Step::resume_reading:
    case Step::cancel_reaches_engine:
    case Step::answer_after_close:
    case Step::progress_after_close: return 0.5;
    case Step::unstall_engine:
    case Step::restore_engine: return 0.1;
    case Step::advance_before_timer:
    case Step::advance_to_timer:
    case Step::fire_timers: return 2;
    case Step::delay_timer: return 0.05;
    case Step::shut_down:
    case Step::count: return 0;
    default: return 0.01;  // faults of channels, engines and discovery
  }
}

class RandomWalk {
 public:
  RandomWalk(const Scope& scope, const RandomWalkSettings& settings, const RandomWalkProgress& progress)
      : scope_(std::make_shared<const Scope>(scope)),
        settings_(settings),
        progress_(progress),
        random_(settings.seed) {}

  RandomWalkReport run() {
    while (is_unfinished()) run_episode();
    report_.seconds = std::chrono::duration<double>(Clock::now() - start_).count();
    return std::move(report_);
  }

 private:
  [[nodiscard]] bool is_unfinished() const {
    return report_.steps < settings_.steps && !report_.counterexample;
  }

  void run_episode() {
    ModelState model(scope_);
    std::vector<Move> history;
    for (std::size_t i = 0; i < settings_.steps_per_episode && is_unfinished(); ++i) {
      make_random_move(model, history);
      ++report_.steps;
    }
    ++report_.episodes;
    if (!report_.counterexample) {
      report_progress();
      end_episode(model, history);
    }
  }

  void make_random_move(ModelState& model, std::vector<Move>& history) {
    const Move move = choose(model.possible_moves());
    history.push_back(move);
    auto violations = model.apply(move);
    ++report_.steps_by_kind[static_cast<std::size_t>(move.step)];
    if (move.step == Step::submit_query) ++report_.queries;
    add_coverage(report_.coverage, model.coverage());
    if (!violations.empty()) report_.counterexample = Counterexample{history, std::move(violations)};
  }

  Move choose(const std::vector<Move>& moves) {
    double total = 0;
    for (const Move& move : moves) total += weight_of(move.step);
    // Distributions of the standard library would give different walks with different implementations.
    double remaining = static_cast<double>(random_() >> 11U) * 0x1.0p-53 * total;
    for (std::size_t i = 0; i + 1 < moves.size(); ++i) {
      remaining -= weight_of(moves[i].step);
      if (remaining < 0) return moves[i];
    }
    return moves.back();
  }

  // Everything in progress must end without further faults or answers.
  void end_episode(ModelState& model, std::vector<Move>& history) {
    for (int i = 0; !report_.counterexample; ++i) {
      const auto move = model.fault_free_move();
      if (!move) {
        if (auto leak = model.find_leak())
          report_.counterexample = Counterexample{history, {std::move(*leak)}};
        return;
      }
      history.push_back(*move);
      auto violations = model.apply(*move);
      if (violations.empty() && i > max_ending_moves) violations.push_back(endless_violation());
      if (!violations.empty()) report_.counterexample = Counterexample{history, std::move(violations)};
    }
  }

  void report_progress() {
    if (!progress_ || Clock::now() <= last_progress_ + progress_period) return;
    last_progress_ = Clock::now();
    progress_(report_);
  }

  std::shared_ptr<const Scope> scope_;
  RandomWalkSettings settings_;
  const RandomWalkProgress& progress_;
  std::mt19937_64 random_;
  Clock::time_point start_ = Clock::now();
  Clock::time_point last_progress_ = start_;
  RandomWalkReport report_;
};

}  // namespace

RandomWalkReport random_walk(const Scope& scope, const RandomWalkSettings& settings,
                             const RandomWalkProgress& progress) {
  return RandomWalk(scope, settings, progress).run();
}

}  // namespace paddlestand::explorer
