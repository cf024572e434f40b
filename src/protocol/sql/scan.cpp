#include "scan.hpp"

#include <algorithm>
#include <cctype>

namespace paddlestand::sql {
namespace {

constexpr std::size_t most_literal = 256;  // what settings need of one

bool starts_word(char c) {
  return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_' || static_cast<unsigned char>(c) >= 128;
}
bool in_word(char c) {
  return starts_word(c) || std::isdigit(static_cast<unsigned char>(c)) != 0 || c == '$';
}

class Scanner {
 public:
  Scanner(std::string_view text, std::size_t words) : text_(text), most_(words) {}

  Scanned run() {
    while (at_ < text_.size()) {
      const char c = text_[at_];
      if (c == ';') {
        finish();
        start_ = ++at_;
      } else if (std::isspace(static_cast<unsigned char>(c)) != 0) {
        ++at_;
      } else if (c == '-' && peek(1) == '-') {
        at_ = std::min(text_.find('\n', at_), text_.size());
      } else if (c == '/' && peek(1) == '*') {
        comment();
      } else if (c == '\'') {
        const std::size_t from = at_ + 1;
        quoted('\'', previous_escapes_);
        word("'" +
             std::string(text_.substr(from, std::min(at_ - from - (at_ > from ? 1 : 0), most_literal))));
      } else if (c == '"') {
        const std::size_t from = at_;
        quoted('"', false);
        word(std::string(text_.substr(from, at_ - from)));
      } else if (c == '$' && dollar()) {
        word("'");
      } else if (starts_word(c)) {
        const std::size_t from = at_;
        while (at_ < text_.size() && in_word(text_[at_])) ++at_;
        std::string name(text_.substr(from, std::min<std::size_t>(at_ - from, 64)));
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char ch) { return static_cast<char>(std::tolower(ch)); });
        previous_escapes_ = name == "e" && peek(0) == '\'';
        if (!previous_escapes_) word(std::move(name));
        continue;
      } else if (std::isdigit(static_cast<unsigned char>(c)) != 0) {
        const std::size_t from = at_;
        while (at_ < text_.size() && (in_word(text_[at_]) || text_[at_] == '.')) ++at_;
        word(std::string(text_.substr(from, std::min<std::size_t>(at_ - from, 64))));
      } else {
        word(std::string(1, c));
        ++at_;
      }
      previous_escapes_ = false;
    }
    finish();
    return std::move(found_);
  }

 private:
  [[nodiscard]] char peek(std::size_t ahead) const {
    return at_ + ahead < text_.size() ? text_[at_ + ahead] : '\0';
  }

  void word(std::string what) {
    any_ = true;
    if (current_.words.size() < most_) current_.words.push_back(std::move(what));
  }

  void finish() {
    if (any_) {
      current_.text = text_.substr(start_, at_ - start_);
      if (found_.statements.size() < most_statements) {
        found_.statements.push_back(std::move(current_));
      } else {
        found_.too_many = true;
      }
    }
    current_ = {};
    any_ = false;
  }

  void comment() {
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
    if (depth == 0 && found_.comments.size() < most_words) {
      found_.comments.push_back(text_.substr(from, at_ - 2 - from));
    }
  }

  void quoted(char mark, bool escapes) {
    for (++at_; at_ < text_.size(); ++at_) {
      if (escapes && text_[at_] == '\\') {
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

  bool dollar() {
    std::size_t end = at_ + 1;
    while (end < text_.size() && in_word(text_[end]) && text_[end] != '$') ++end;
    if (end >= text_.size() || text_[end] != '$') return false;
    if (end > at_ + 1 && !starts_word(text_[at_ + 1])) return false;  // $1$ is no quote
    const std::string_view mark = text_.substr(at_, end + 1 - at_);
    const std::size_t close = text_.find(mark, end + 1);
    at_ = close == std::string_view::npos ? text_.size() : close + mark.size();
    return true;
  }

  std::string_view text_;
  std::size_t most_;
  std::size_t at_ = 0, start_ = 0;
  Statement current_;
  bool any_ = false, previous_escapes_ = false;
  Scanned found_;
};

}  // namespace

Scanned scan(std::string_view text, std::size_t words) { return Scanner(text, words).run(); }

}  // namespace paddlestand::sql
