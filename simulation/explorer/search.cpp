#include "search.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <thread>
#include <unordered_map>

namespace paddlestand::explorer {
namespace {

using Clock = std::chrono::steady_clock;
using Index = std::uint32_t;

constexpr Index no_node = ~Index{0};
constexpr std::size_t batch_size = 1024;  // states expanded before their successors are merged
constexpr auto progress_period = std::chrono::seconds(5);

/// The search-tree node of a visited state, without the state itself.
struct Node {
  Index parent = no_node;
  Move move;  // from the parent
  Index fault_free_successor = no_node;  // none if settled or not expanded
};

struct Transition {
  Move move;
  std::uint64_t digest = 0;
  std::unique_ptr<ModelState> target;  // null if it was visited before
  std::vector<InvariantViolation> violations;
  Coverage coverage;
  bool is_fault_free = false;
};

struct Expansion {
  std::vector<Transition> transitions;
  std::optional<InvariantViolation> leak;
  bool is_settled = false;
};

class Search {
 public:
  Search(const Scope& scope, const SearchLimits& limits, const SearchProgress& progress)
      : scope_(std::make_shared<const Scope>(scope)), limits_(limits), progress_(progress) {}

  SearchReport run() {
    auto initial = std::make_unique<ModelState>(scope_);
    visited_.emplace(initial->digest(), 0);
    nodes_.push_back({});
    frontier_.emplace_back(0, std::move(initial));
    while (!frontier_.empty() && may_continue()) {
      ++report_.depth;
      expand_layer();
    }
    report_.is_exhausted = frontier_.empty() && !report_.counterexample;
    report_.frontier = frontier_.size();
    if (!report_.counterexample) check_for_cycles();
    update_totals();
    return std::move(report_);
  }

 private:
  using FrontierEntry = std::pair<Index, std::unique_ptr<ModelState>>;

  bool may_continue() {
    if (report_.counterexample) return false;
    if (limits_.states > 0 && nodes_.size() >= limits_.states) report_.stopped = "states";
    if (limits_.time.count() > 0 && Clock::now() - start_ >= limits_.time) report_.stopped = "time";
    if (memory_in_use() >= limits_.memory_bytes) report_.stopped = "memory";
    return report_.stopped.empty();
  }

  void expand_layer() {
    std::vector<FrontierEntry> next;
    for (std::size_t begin = 0; begin < frontier_.size() && may_continue(); begin += batch_size) {
      const std::size_t end = std::min(begin + batch_size, frontier_.size());
      std::vector<Expansion> expansions = expand_batch(begin, end);
      for (std::size_t i = begin; i < end; ++i) {
        merge(frontier_[i].first, expansions[i - begin], next);
        frontier_[i].second.reset();
        if (report_.counterexample) return;
      }
      report_progress();
    }
    if (report_.stopped.empty()) {
      frontier_ = std::move(next);
      return;
    }
    std::erase_if(frontier_, [](const FrontierEntry& entry) { return entry.second == nullptr; });
    for (FrontierEntry& entry : next) frontier_.push_back(std::move(entry));
  }

  std::vector<Expansion> expand_batch(std::size_t begin, std::size_t end) {
    std::vector<Expansion> expansions(end - begin);
    const auto expand_share = [&](unsigned thread) {
      for (std::size_t i = begin + thread; i < end; i += limits_.threads)
        expansions[i - begin] = expand(*frontier_[i].second);
    };
    std::vector<std::jthread> threads;
    for (unsigned thread = 1; thread < limits_.threads; ++thread) threads.emplace_back(expand_share, thread);
    expand_share(0);
    threads.clear();
    return expansions;
  }

  // Runs on several threads. Reads `visited_`, which is written only between batches. Moves from `state`.
  Expansion expand(ModelState& state) const {
    Expansion expansion;
    const auto fault_free = state.fault_free_move();
    if (!fault_free) {
      expansion.is_settled = true;
      expansion.leak = state.find_leak();
      if (expansion.leak) return expansion;
    }
    const std::vector<Move> moves = state.possible_moves();
    for (const Move& move : moves) {
      const bool is_last = &move == &moves.back();
      // The last move takes over the state itself; the others copy it.
      auto target = is_last
                        ? std::make_unique<ModelState>(std::move(state))  // NOLINT(bugprone-use-after-move)
                        : std::make_unique<ModelState>(state);
      Transition transition = make_transition(move, std::move(target));
      transition.is_fault_free = fault_free && *fault_free == move;
      expansion.transitions.push_back(std::move(transition));
    }
    return expansion;
  }

  Transition make_transition(const Move& move, std::unique_ptr<ModelState> target) const {
    Transition transition;
    transition.move = move;
    transition.violations = target->apply(move);
    transition.coverage = target->coverage();
    transition.digest = target->digest();
    // Another thread may reach the same state in the same batch; merge() detects that.
    const bool is_known = transition.violations.empty() && visited_.contains(transition.digest);
    if (!is_known) transition.target = std::move(target);
    return transition;
  }

  void merge(Index parent, Expansion& expansion, std::vector<FrontierEntry>& next) {
    if (expansion.is_settled) ++report_.settled_states;
    if (expansion.leak) {
      set_counterexample(parent, std::nullopt, {*expansion.leak});
      return;
    }
    for (Transition& transition : expansion.transitions) {
      ++report_.transitions;
      ++report_.steps_by_kind[static_cast<std::size_t>(transition.move.step)];
      add_coverage(report_.coverage, transition.coverage);
      if (!transition.violations.empty()) {
        set_counterexample(parent, transition.move, std::move(transition.violations));
        return;
      }
      const auto [visited, is_new] = visited_.emplace(transition.digest, static_cast<Index>(nodes_.size()));
      if (transition.is_fault_free) nodes_[parent].fault_free_successor = visited->second;
      if (!is_new) continue;
      nodes_.push_back({parent, transition.move, no_node});
      next.emplace_back(visited->second, std::move(transition.target));
    }
  }

  void set_counterexample(Index node, std::optional<Move> last_move,
                          std::vector<InvariantViolation> violations) {
    Counterexample counterexample;
    for (Index at = node; at != 0; at = nodes_[at].parent) counterexample.history.push_back(nodes_[at].move);
    std::reverse(counterexample.history.begin(), counterexample.history.end());
    if (last_move) counterexample.history.push_back(*last_move);
    counterexample.violations = std::move(violations);
    report_.counterexample = std::move(counterexample);
  }

  // Every path of fault-free moves must end; a cycle violates an invariant.
  void check_for_cycles() {
    enum : std::uint8_t { unseen, on_path, ends };
    std::vector<std::uint8_t> state(nodes_.size(), unseen);
    std::vector<Index> path;
    for (Index start = 0; start < nodes_.size(); ++start) {
      path.clear();
      Index at = start;
      while (at != no_node && state[at] == unseen) {
        state[at] = on_path;
        path.push_back(at);
        at = nodes_[at].fault_free_successor;
      }
      if (at != no_node && state[at] == on_path) {
        set_counterexample(
            at, std::nullopt,
            {{Invariant::termination, "fault-free moves form a cycle of states, and nothing ends"}});
        return;
      }
      for (const Index node : path) state[node] = ends;
    }
  }

  void update_totals() {
    report_.states = nodes_.size();
    report_.seconds = std::chrono::duration<double>(Clock::now() - start_).count();
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    report_.memory_bytes = static_cast<std::size_t>(usage.ru_maxrss) * 1024;
  }

  void report_progress() {
    update_totals();
    if (!progress_ || Clock::now() < last_progress_ + progress_period) return;
    last_progress_ = Clock::now();
    report_.frontier = frontier_.size();
    progress_(report_);
  }

  std::shared_ptr<const Scope> scope_;
  SearchLimits limits_;
  const SearchProgress& progress_;
  Clock::time_point start_ = Clock::now();
  Clock::time_point last_progress_ = start_;
  std::vector<Node> nodes_;
  std::unordered_map<std::uint64_t, Index> visited_;  // nodes by digest
  std::vector<FrontierEntry> frontier_;
  SearchReport report_;
};

}  // namespace

std::size_t memory_in_use() {
  std::ifstream file("/proc/self/statm");
  std::size_t pages = 0;
  std::size_t resident = 0;
  file >> pages >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

SearchReport search(const Scope& scope, const SearchLimits& limits, const SearchProgress& progress) {
  SearchLimits checked = limits;
  checked.threads = std::max(limits.threads, 1U);
  return Search(scope, checked, progress).run();
}

}  // namespace paddlestand::explorer
