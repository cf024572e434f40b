#include "history.hpp"

#include <memory>
#include <sstream>
#include <string_view>
#include <utility>

namespace paddlestand::explorer {
namespace {

constexpr std::string_view header = "paddlestand history 1";
constexpr std::size_t max_moves = 1'000'000;  // in one file
constexpr unsigned max_manager = 255;

std::string without_comment(std::string line) {
  const auto comment = line.find('#');
  if (comment != std::string::npos) line.resize(comment);
  while (!line.empty() && line.back() == ' ') line.pop_back();
  return line;
}

/// Parses a history line by line. On an error, each function returns what was expected instead.
class HistoryParser {
 public:
  using Expected = std::optional<std::string>;

  Expected read_line(const std::string& line) {
    std::istringstream words(line);
    std::string word;
    words >> word;
    if (word == "scope") return read_scope(value_of(line, word));
    if (word == "defect") {
      history_.defect = value_of(line, word);
      return std::nullopt;
    }
    return read_move(word, words);
  }

  [[nodiscard]] History& history() { return history_; }

 private:
  static std::string value_of(const std::string& line, const std::string& word) {
    return line.size() > word.size() + 1 ? line.substr(word.size() + 1) : "";
  }

  Expected read_scope(const std::string& name) {
    history_.scope = name;
    if (!find_scope(name)) return "the name of a scope";
    return std::nullopt;
  }

  Expected read_move(const std::string& word, std::istringstream& words) {
    const auto step = step_of(word);
    unsigned manager = 0;
    std::uint32_t subject = 0;
    std::string surplus;
    if (!step) return "a move, not '" + word + "'";
    if (!(words >> manager >> subject) || manager > max_manager) return "a manager and a subject";
    if (words >> surplus) return "the end of the line";
    if (history_.moves.size() >= max_moves) return "at most " + std::to_string(max_moves) + " moves";
    history_.moves.push_back({*step, static_cast<std::uint8_t>(manager), subject});
    return std::nullopt;
  }

  History history_;
};

}  // namespace

std::string HistoryError::text() const { return std::to_string(line) + ": expected " + expected; }

std::optional<Scope> find_scope(const std::string& name) {
  for (const ScopeSize size : {ScopeSize::tiny, ScopeSize::small, ScopeSize::medium, ScopeSize::large}) {
    for (Scope& scope : scopes_of(size)) {
      if (scope.name == name) return std::move(scope);
    }
  }
  for (Scope& scope : defect_scopes()) {
    if (scope.name == name) return std::move(scope);
  }
  if (name == "walk") return walk_scope();
  return std::nullopt;
}

std::string text_of(const History& history, const std::vector<InvariantViolation>& violations) {
  std::ostringstream out;
  out << header << "\nscope " << history.scope << "\ndefect " << history.defect << "\n";
  const auto scope = find_scope(history.scope);
  if (!scope) return out.str();
  ModelState model(std::make_shared<const Scope>(*scope));
  model.enable_trace();
  int number = 0;
  for (const Move& move : history.moves) {
    out << name_of(move.step) << " " << int{move.manager} << " " << move.subject << "  # " << ++number << ". "
        << model.describe(move) << "\n";
    model.apply(move);
    for (const std::string& line : model.trace()) out << "    # -> " << line << "\n";
  }
  for (const InvariantViolation& violation : violations)
    out << "# violated: " << core::name_of(violation.invariant) << ": " << violation.what << "\n";
  return out.str();
}

std::variant<History, HistoryError> parse_history(const std::string& text) {
  std::istringstream in(text);
  HistoryParser parser;
  std::string raw_line;
  std::size_t number = 0;
  while (std::getline(in, raw_line)) {
    ++number;
    const std::string line = without_comment(std::move(raw_line));
    if (number == 1) {
      if (line != header) return HistoryError{number, std::string(header)};
      continue;
    }
    if (line.empty()) continue;
    if (auto expected = parser.read_line(line)) return HistoryError{number, std::move(*expected)};
  }
  if (parser.history().scope.empty()) return HistoryError{number, "a line 'scope NAME'"};
  return std::move(parser.history());
}

std::string test_case_of(const History& history, const std::string& name) {
  std::ostringstream out;
  out << "TEST(FoundHistory, " << name << ") {\n  expect_violation_only_with_defect(\"" << history.scope
      << "\", \"" << history.defect << "\",\n        {\n";
  for (const Move& move : history.moves) {
    out << "            {Step::" << identifier_of(move.step) << ", " << int{move.manager} << ", "
        << move.subject << "},\n";
  }
  out << "        });\n}\n";
  return out.str();
}

}  // namespace paddlestand::explorer
