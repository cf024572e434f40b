#include "history.hpp"

#include <algorithm>
#include <random>
#include <sstream>

#include "core/seeded_defects.hpp"

namespace paddlestand::explorer {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::string_view header = "paddlestand history 1";
constexpr std::size_t most_moves = 1'000'000;  // of a file

constexpr int most_calm_moves = 2000;  // far more than all deadlines of a scope together

// How likely a move is against the others that are possible: faults are rare, or nothing would ever run.
double weight_of(Step act) {
  switch (act) {
    case Step::ask: return 0.003;
    case Step::cancel:
    case Step::leave_client:
    case Step::break_client:
    case Step::stop_reading: return 0.002;
    case Step::channel_opened:
    case Step::written: return 1;
    case Step::complete: return 0.4;
    case Step::part:
    case Step::big_part:
    case Step::part_and_end: return 0.1;
    case Step::read_on:
    case Step::strike:
    case Step::late_end:
    case Step::late_note: return 0.5;
    case Step::refused:
    case Step::no_descriptor:
    case Step::broken:
    case Step::complete_unclean:
    case Step::failed:
    case Step::full:
    case Step::note:
    case Step::lost: return 0.01;
    case Step::deaf:
    case Step::drain:
    case Step::gone:
    case Step::restart:
    case Step::list_failed: return 0.01;
    case Step::hears:
    case Step::back: return 0.1;
    case Step::wait:
    case Step::reach:
    case Step::fire: return 2;
    case Step::late: return 0.05;
    case Step::shutdown:
    case Step::count: return 0;
  }
  return 0;
}

}  // namespace

std::optional<Scope> find_scope(const std::string& name) {
  for (const Size size : {Size::tiny, Size::small, Size::medium, Size::large})
    for (Scope& scope : scopes_of(size))
      if (scope.name == name) return std::move(scope);
  for (Scope& scope : defect_scopes())
    if (scope.name == name) return std::move(scope);
  if (name == "walk") return walk_scope();
  return std::nullopt;
}

std::string text_of(const History& history, const std::vector<InvariantViolation>& violations) {
  std::ostringstream out;
  out << header << "\nscope " << history.scope << "\ndefect " << history.defect << "\n";
  const auto scope = find_scope(history.scope);
  if (!scope) return out.str();
  ModelState world(std::make_shared<const Scope>(*scope));
  world.keep_story();
  int number = 0;
  for (const Move& move : history.moves) {
    out << name_of(move.act) << " " << int{move.manager} << " " << move.subject << "  # " << ++number << ". "
        << world.describe(move) << "\n";
    world.make(move);
    for (const std::string& line : world.story()) out << "    # -> " << line << "\n";
  }
  for (const InvariantViolation& violation : violations)
    out << "# broken: " << core::name_of(violation.invariant) << ": " << violation.what << "\n";
  return out.str();
}

std::variant<History, std::string> parse_history(const std::string& text) {
  std::istringstream in(text);
  History history;
  std::string line;
  std::size_t number = 0;
  const auto wanted = [&](std::string_view what) {
    return std::to_string(number) + ": wanted: " + std::string(what);
  };
  while (std::getline(in, line)) {
    ++number;
    if (const auto note = line.find('#'); note != std::string::npos) line.resize(note);
    while (!line.empty() && line.back() == ' ') line.pop_back();
    if (number == 1) {
      if (line != header) return wanted(header);
      continue;
    }
    if (line.empty()) continue;
    std::istringstream words(line);
    std::string word;
    words >> word;
    if (word == "scope" || word == "defect") {
      const std::string rest = line.size() > word.size() + 1 ? line.substr(word.size() + 1) : "";
      (word == "scope" ? history.scope : history.defect) = rest;
      if (word == "scope" && !find_scope(rest)) return wanted("the name of a scope");
      continue;
    }
    std::size_t act = 0;
    while (act < static_cast<std::size_t>(Step::count) && name_of(static_cast<Step>(act)) != word) ++act;
    unsigned manager = 0;
    std::uint32_t subject = 0;
    if (act == static_cast<std::size_t>(Step::count)) return wanted("a move, not '" + word + "'");
    if (!(words >> manager >> subject) || manager > 255) return wanted("a manager and a subject");
    if (words >> word) return wanted("the end of the line");
    if (history.moves.size() >= most_moves) return wanted("at most " + std::to_string(most_moves) + " moves");
    history.moves.push_back({static_cast<Step>(act), static_cast<std::uint8_t>(manager), subject});
  }
  if (history.scope.empty()) return std::to_string(number) + ": wanted: scope, and a name";
  return history;
}

std::string test_of(const History& history, const std::string& name) {
  std::ostringstream out;
  out << "TEST(FoundHistory, " << name << ") {\n  keeps(\"" << history.scope << "\", \"" << history.defect
      << "\",\n        {\n";
  for (const Move& move : history.moves)
    out << "            {Act::" << name_of(move.act) << ", " << int{move.manager} << ", " << move.subject
        << "},\n";
  out << "        });\n}\n";
  return out.str();
}

Played play(const Scope& scope, const std::vector<Move>& moves, bool in_words) {
  ModelState world(std::make_shared<const Scope>(scope));
  if (in_words) world.keep_story();
  Played out;
  for (const Move& move : moves) {
    const std::uint32_t managers = scope.managers;
    if (move.manager >= managers || !world.allowed(move)) continue;
    if (in_words) out.lines.push_back(world.describe(move));
    out.moves.push_back(move);
    out.violations = world.make(move);
    for (const std::string& line : world.story()) out.lines.push_back("    -> " + line);
    if (!out.violations.empty()) break;
  }
  return out;
}

Played play_out(const Scope& scope, const std::vector<Move>& moves) {
  Played out = play(scope, moves);
  if (!out.violations.empty()) return out;
  ModelState world(std::make_shared<const Scope>(scope));
  for (const Move& move : out.moves) world.make(move);
  for (int i = 0; i < most_calm_moves; ++i) {
    const auto calm = world.calm_move();
    if (!calm) {
      if (auto left = world.left_over()) out.violations.push_back(*left);
      return out;
    }
    out.violations = world.make(*calm);
    if (!out.violations.empty()) return out;
  }
  out.violations.push_back({Invariant::all_ends, "without any fault more it does not come to an end"});
  return out;
}

std::vector<Move> shrink(const Scope& scope, std::vector<Move> moves, Invariant invariant) {
  const auto still = [&](const std::vector<Move>& some) -> std::optional<std::vector<Move>> {
    Played played = invariant == Invariant::all_ends ? play_out(scope, some) : play(scope, some);
    const bool same = std::any_of(played.violations.begin(), played.violations.end(),
                                  [&](const InvariantViolation& b) { return b.invariant == invariant; });
    if (!same) return std::nullopt;
    return std::move(played.moves);
  };
  // Ever smaller pieces are left out, from the end, where most does not matter.
  for (std::size_t piece = std::max<std::size_t>(moves.size() / 2, 1);; piece /= 2) {
    bool shorter = true;
    while (shorter) {
      shorter = false;
      for (std::size_t end = moves.size(); end > 0;) {
        const std::size_t from = end > piece ? end - piece : 0;
        std::vector<Move> some(moves.begin(), moves.begin() + static_cast<std::ptrdiff_t>(from));
        some.insert(some.end(), moves.begin() + static_cast<std::ptrdiff_t>(end), moves.end());
        if (auto fewer = still(some); fewer && fewer->size() < moves.size()) {
          moves = std::move(*fewer);
          shorter = true;
        }
        end = std::min(from, moves.size());
      }
    }
    if (piece <= 1) return moves;
  }
}

WalkReport walk(const Scope& scope, std::size_t steps, std::size_t episode, std::uint64_t seed,
                const std::function<void(const WalkReport&)>& progress) {
  const auto shared = std::make_shared<const Scope>(scope);
  const auto start = Clock::now();
  auto told = start;
  WalkReport out;
  std::mt19937_64 random(seed);
  while (out.steps < steps && !out.found) {
    ModelState world(shared);
    std::vector<Move> history;
    for (std::size_t i = 0; i < episode && out.steps < steps && !out.found; ++i, ++out.steps) {
      const std::vector<Move> moves = world.moves();
      double all = 0;
      for (const Move& move : moves) all += weight_of(move.act);
      // No distribution of the library's: what it gives differs between libraries.
      double at = static_cast<double>(random() >> 11U) * 0x1.0p-53 * all;
      std::size_t chosen = 0;
      while (chosen + 1 < moves.size() && (at -= weight_of(moves[chosen].act)) >= 0) ++chosen;
      const Move move = moves[chosen];
      history.push_back(move);
      auto violations = world.make(move);
      ++out.acts[static_cast<std::size_t>(move.act)];
      out.queries += move.act == Step::ask ? 1 : 0;
      for (std::size_t c = 0; c < out.cases.size(); ++c) out.cases[c] += world.cases()[c] ? 1 : 0;
      if (!violations.empty()) out.found = Found{history, std::move(violations)};
    }
    ++out.episodes;
    if (!out.found && progress && Clock::now() > told + std::chrono::seconds(5)) {
      told = Clock::now();
      progress(out);
    }
    // What is still held must end by time alone.
    for (int i = 0; !out.found; ++i) {
      const auto calm = world.calm_move();
      if (!calm) {
        if (auto left = world.left_over()) out.found = Found{history, {*left}};
        break;
      }
      history.push_back(*calm);
      auto violations = world.make(*calm);
      if (violations.empty() && i > 20 * most_calm_moves)
        violations.push_back({Invariant::all_ends, "without any fault more it does not come to an end"});
      if (!violations.empty()) out.found = Found{history, std::move(violations)};
    }
  }
  out.seconds = std::chrono::duration<double>(Clock::now() - start).count();
  return out;
}

}  // namespace paddlestand::explorer
