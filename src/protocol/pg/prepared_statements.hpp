/// The prepared statements of a session. They are stored in the manager, and are prepared at an engine as
/// part of each query that uses them.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace paddlestand::pg {

struct PreparedStatement {
  std::string text;
  std::string types;  ///< the parameters' count and types, encoded as in the Parse message
};

/// Prepared statements by name; the name of the unnamed statement is empty.
class PreparedStatements {
 public:
  /// Returns null if there is none. The pointer is valid until the next change.
  [[nodiscard]] const PreparedStatement* find(const std::string& name) const {
    const auto found = statements_.find(name);
    return found == statements_.end() ? nullptr : &found->second;
  }

  /// Adds a statement, or replaces the one with this name.
  void put(const std::string& name, PreparedStatement statement) {
    remove(name);
    text_bytes_ += statement.text.size();
    statements_.emplace(name, std::move(statement));
  }

  void remove(const std::string& name) {
    const auto found = statements_.find(name);
    if (found == statements_.end()) return;
    text_bytes_ -= found->second.text.size();
    statements_.erase(found);
  }

  [[nodiscard]] std::size_t size() const { return statements_.size(); }
  /// The total size of all texts.
  [[nodiscard]] std::size_t text_bytes() const { return text_bytes_; }

 private:
  std::map<std::string, PreparedStatement> statements_;
  std::size_t text_bytes_ = 0;
};

}  // namespace paddlestand::pg
