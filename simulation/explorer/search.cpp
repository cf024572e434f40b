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

constexpr Index nobody = ~Index{0};
constexpr std::size_t batch = 1024;  // states whose successors are made at once, before they are sorted in
constexpr auto progress_period = std::chrono::seconds(5);

struct Node {
  Index parent = nobody;
  Move move;
  // Where calm_move() leads: nobody where all has ended, or where it was not looked at.
  Index calm = nobody;
  bool looked_at = false;
};

struct Expansion {
  Move move;
  std::uint64_t digest = 0;
  std::unique_ptr<ModelState> world;
  std::vector<InvariantViolation> violations;
  Cases cases;
  bool calm = false;
};
struct Expanded {
  std::vector<Expansion> steps;
  std::optional<InvariantViolation> left;
  bool settled = false;
};

class Search {
 public:
  Search(const Scope& scope, const Limits& limits, const Progress& progress)
      : scope_(std::make_shared<const Scope>(scope)), limits_(limits), progress_(progress) {}

  Report run() {
    auto first = std::make_unique<ModelState>(scope_);
    known_.emplace(first->digest(), 0);
    nodes_.push_back({});
    frontier_.emplace_back(0, std::move(first));
    while (!frontier_.empty() && go_on()) {
      ++out_.depth;
      layer();
    }
    out_.emptied = frontier_.empty() && !out_.found;
    out_.frontier = frontier_.size();
    if (!out_.found) ends_everywhere();
    tell_progress(true);
    return std::move(out_);
  }

 private:
  using Entry = std::pair<Index, std::unique_ptr<ModelState>>;

  bool go_on() {
    if (out_.found) return false;
    if (limits_.states > 0 && nodes_.size() >= limits_.states) out_.stopped = "states";
    if (limits_.time.count() > 0 && Clock::now() - start_ >= limits_.time) out_.stopped = "time";
    if (memory_in_use() >= limits_.memory_bytes) out_.stopped = "memory";
    return out_.stopped.empty();
  }

  void layer() {
    std::vector<Entry> next;
    for (std::size_t from = 0; from < frontier_.size() && go_on(); from += batch) {
      const std::size_t to = std::min(from + batch, frontier_.size());
      std::vector<Expanded> made(to - from);
      const auto work = [&](unsigned first) {
        for (std::size_t i = from + first; i < to; i += limits_.threads)
          made[i - from] = expand(*frontier_[i].second);
      };
      std::vector<std::jthread> others;
      for (unsigned t = 1; t < limits_.threads; ++t) others.emplace_back(work, t);
      work(0);
      others.clear();
      for (std::size_t i = from; i < to; ++i) {
        take(frontier_[i].first, made[i - from], next);
        frontier_[i].second.reset();
        if (out_.found) return;
      }
      tell_progress(false);
    }
    if (out_.stopped.empty()) {
      frontier_ = std::move(next);
    } else {
      std::erase_if(frontier_, [](const Entry& entry) { return entry.second == nullptr; });
      for (Entry& entry : next) frontier_.push_back(std::move(entry));
    }
  }

  Expanded expand(ModelState& world) {
    Expanded out;
    const auto calm = world.calm_move();
    if (!calm) {
      out.settled = true;
      out.left = world.left_over();
      if (out.left) return out;
    }
    const std::vector<Move> moves = world.moves();
    for (const Move& move : moves) {
      Expansion step;
      step.move = move;
      step.calm = calm && *calm == move;
      // Nobody asks for it again after its last move.
      step.world = &move == &moves.back() ? std::make_unique<ModelState>(std::move(world))
                                          : std::make_unique<ModelState>(world);
      step.violations = step.world->make(move);
      step.cases = step.world->cases();
      step.digest = step.world->digest();
      // Another thread's may be the same: that is seen when they are sorted in.
      if (step.violations.empty() && known_.contains(step.digest)) step.world.reset();
      out.steps.push_back(std::move(step));
    }
    return out;
  }

  void take(Index parent, Expanded& made, std::vector<Entry>& next) {
    nodes_[parent].looked_at = true;
    out_.settled += made.settled ? 1 : 0;
    if (made.left) return find(parent, std::nullopt, {*made.left});
    for (Expansion& step : made.steps) {
      ++out_.transitions;
      ++out_.acts[static_cast<std::size_t>(step.move.act)];
      for (std::size_t i = 0; i < step.cases.size(); ++i) out_.cases[i] += step.cases[i] ? 1 : 0;
      if (!step.violations.empty()) return find(parent, step.move, std::move(step.violations));
      const auto [place, fresh] = known_.emplace(step.digest, static_cast<Index>(nodes_.size()));
      if (step.calm) nodes_[parent].calm = place->second;
      if (!fresh) continue;
      nodes_.push_back({parent, step.move, nobody, false});
      next.emplace_back(place->second, std::move(step.world));
    }
  }

  void find(Index parent, std::optional<Move> last, std::vector<InvariantViolation> violations) {
    Found found;
    for (Index at = parent; at != 0; at = nodes_[at].parent) found.history.push_back(nodes_[at].move);
    std::reverse(found.history.begin(), found.history.end());
    if (last) found.history.push_back(*last);
    found.violations = std::move(violations);
    out_.found = std::move(found);
  }

  // Every way on without faults must come to an end, and not in a circle.
  void ends_everywhere() {
    enum : std::uint8_t { unseen, under_way, ends };
    std::vector<std::uint8_t> state(nodes_.size(), unseen);
    std::vector<Index> path;
    for (Index from = 0; from < nodes_.size(); ++from) {
      path.clear();
      Index at = from;
      while (at != nobody && state[at] == unseen) {
        state[at] = under_way;
        path.push_back(at);
        at = nodes_[at].calm;
      }
      if (at != nobody && state[at] == under_way)
        return find(at, std::nullopt, {{Invariant::all_ends, "time goes in a circle, and nothing ends"}});
      for (const Index one : path) state[one] = ends;
    }
  }

  void tell_progress(bool last) {
    out_.states = nodes_.size();
    out_.seconds = std::chrono::duration<double>(Clock::now() - start_).count();
    rusage use{};
    getrusage(RUSAGE_SELF, &use);
    out_.memory_bytes = static_cast<std::size_t>(use.ru_maxrss) * 1024;
    if (last || !progress_ || Clock::now() < told_ + progress_period) return;
    told_ = Clock::now();
    out_.frontier = frontier_.size();
    progress_(out_);
  }

  std::shared_ptr<const Scope> scope_;
  Limits limits_;
  const Progress& progress_;
  Clock::time_point start_ = Clock::now(), told_ = start_;
  std::vector<Node> nodes_;
  std::unordered_map<std::uint64_t, Index> known_;
  std::vector<Entry> frontier_;
  Report out_;
};

}  // namespace

std::size_t memory_in_use() {
  std::ifstream file("/proc/self/statm");
  std::size_t pages = 0, resident = 0;
  file >> pages >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

Report search(const Scope& scope, const Limits& limits, const Progress& progress) {
  Limits checked = limits;
  checked.threads = std::max(limits.threads, 1U);
  return Search(scope, checked, progress).run();
}

}  // namespace paddlestand::explorer
