#include "scan.hpp"

#include <algorithm>
#include <cctype>
#include <cstdint>

namespace paddlestand::sql {
namespace {

constexpr std::size_t max_literal_bytes = 256;  // stored of a literal; enough for values of settings
constexpr std::size_t max_token_bytes = 64;  // stored of a name or a number

bool starts_identifier(char c) {
  return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_' || static_cast<unsigned char>(c) >= 128;
}
bool continues_identifier(char c) {
  return starts_identifier(c) || std::isdigit(static_cast<unsigned char>(c)) != 0 || c == '$';
}

/// Whether a backslash escapes characters in a quoted text.
enum class Escapes : std::uint8_t { none, backslash };

class Scanner {
 public:
  Scanner(std::string_view text, std::size_t max_tokens) : text_(text), max_tokens_(max_tokens) {}

  Scanned run() {
    while (at_ < text_.size()) scan_token();
    finish_statement();
    return std::move(found_);
  }

 private:
  void scan_token() {
    const char c = text_[at_];
    if (starts_identifier(c)) {
      scan_name();
      return;
    }
    if (c == ';') {
      finish_statement();
      start_ = ++at_;
    } else if (std::isspace(static_cast<unsigned char>(c)) != 0) {
      ++at_;
    } else if (c == '-' && peek(1) == '-') {
      at_ = std::min(text_.find('\n', at_), text_.size());
    } else if (c == '/' && peek(1) == '*') {
      skip_comment();
    } else if (c == '\'') {
      scan_literal();
    } else if (c == '"') {
      const std::size_t from = at_;
      skip_quoted('"', Escapes::none);
      add_token(std::string(text_.substr(from, at_ - from)));
    } else if (c == '$' && skip_dollar_quoted()) {
      add_token("'");
    } else if (std::isdigit(static_cast<unsigned char>(c)) != 0) {
      scan_number();
    } else {
      add_token(std::string(1, c));
      ++at_;
    }
    next_literal_ = Escapes::none;
  }

  /// Scans a name or a keyword; the E of an escape string literal is part of the following literal.
  void scan_name() {
    const std::size_t from = at_;
    while (at_ < text_.size() && continues_identifier(text_[at_])) ++at_;
    std::string name(text_.substr(from, std::min(at_ - from, max_token_bytes)));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    if (name == "e" && peek(0) == '\'') {
      next_literal_ = Escapes::backslash;
      return;
    }
    next_literal_ = Escapes::none;
    add_token(std::move(name));
  }

  void scan_literal() {
    const std::size_t from = at_ + 1;
    skip_quoted('\'', next_literal_);
    const std::size_t length = at_ - from - (at_ > from ? 1 : 0);
    add_token("'" + std::string(text_.substr(from, std::min(length, max_literal_bytes))));
  }

  void scan_number() {
    const std::size_t from = at_;
    while (at_ < text_.size() && (continues_identifier(text_[at_]) || text_[at_] == '.')) ++at_;
    add_token(std::string(text_.substr(from, std::min(at_ - from, max_token_bytes))));
  }

  [[nodiscard]] char peek(std::size_t ahead) const {
    return at_ + ahead < text_.size() ? text_[at_ + ahead] : '\0';
  }

  void add_token(std::string token) {
    has_tokens_ = true;
    if (current_.tokens.size() < max_tokens_) current_.tokens.push_back(std::move(token));
  }

  void finish_statement() {
    if (has_tokens_) {
      current_.text = text_.substr(start_, at_ - start_);
      if (found_.statements.size() < max_statements) {
        found_.statements.push_back(std::move(current_));
      } else {
        found_.has_too_many_statements = true;
      }
    }
    current_ = {};
    has_tokens_ = false;
  }

  void skip_comment() {
    const std::size_t from = at_ + 2;
    int depth = 1;
    at_ += 2;
    while (at_ < text_.size() && depth > 0) {
      if (text_[at_] == '/' && peek(1) == '*') {
        ++depth;
        at_ += 2;
      } else if (text_[at_] == '*' && peek(1) == '/') {
        --depth;
        at_ += 2;
      } else {
        ++at_;
      }
    }
    if (depth == 0 && found_.comments.size() < default_max_tokens) {
      found_.comments.push_back(text_.substr(from, at_ - 2 - from));
    }
  }

  void skip_quoted(char mark, Escapes escapes) {
    for (++at_; at_ < text_.size(); ++at_) {
      if (escapes == Escapes::backslash && text_[at_] == '\\') {
        ++at_;
      } else if (text_[at_] == mark) {
        if (peek(1) != mark) {
          ++at_;
          return;
        }
        ++at_;
      }
    }
    at_ = text_.size();
  }

  /// Skips a dollar-quoted literal. Returns false if the dollar sign does not begin one.
  bool skip_dollar_quoted() {
    std::size_t end = at_ + 1;
    while (end < text_.size() && continues_identifier(text_[end]) && text_[end] != '$') ++end;
    if (end >= text_.size() || text_[end] != '$') return false;
    if (end > at_ + 1 && !starts_identifier(text_[at_ + 1])) return false;  // $1$ is not a dollar quote
    const std::string_view mark = text_.substr(at_, end + 1 - at_);
    const std::size_t close = text_.find(mark, end + 1);
    at_ = close == std::string_view::npos ? text_.size() : close + mark.size();
    return true;
  }

  std::string_view text_;
  std::size_t max_tokens_;  ///< stored for each statement
  std::size_t at_ = 0, start_ = 0;
  Statement current_;
  bool has_tokens_ = false;  ///< the current statement is not empty
  Escapes next_literal_ = Escapes::none;
  Scanned found_;
};

}  // namespace

Scanned scan(std::string_view text, std::size_t max_tokens) { return Scanner(text, max_tokens).run(); }

}  // namespace paddlestand::sql
