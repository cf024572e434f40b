/// The run-time parameters of a session (chapter 55.2.7 of PostgreSQL's manual): those of its startup
/// message, and SET, SHOW and RESET, which the manager answers itself.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.hpp"
#include "messages.hpp"
#include "statements.hpp"

namespace paddlestand::pg {

/// Whether an answer with rows describes them, or a Describe message has asked for that already.
enum class RowDescription : unsigned char { include, omit };

/// What a session has set. No I/O; the caller sends what is appended to `out`.
class SessionParameters {
 public:
  void set_user(std::string user) { user_ = std::move(user); }
  /// From here on RESET goes back to what is set now, which came with the startup message.
  void end_startup() { startup_values_ = values_; }

  /// Sets a parameter and reports it (ParameterStatus) where clients follow it. The error, where it is not
  /// known or can't have this value.
  std::optional<Fields> set(const std::string& name, const std::string& value, std::string& out);

  /// Answers a SET, SHOW or RESET statement, given as its words. The error, where it can't be executed:
  /// nothing was appended then.
  std::optional<Fields> execute(const std::vector<std::string>& words, RowDescription row_description,
                                std::string& out);

  /// ParameterStatus messages of all parameters that clients follow.
  void report_all(std::string& out) const;

  /// Those that an engine is given with a query, where they differ from its defaults.
  [[nodiscard]] std::map<std::string, std::string> engine_settings() const;
  /// Nothing where it is not limited.
  [[nodiscard]] std::optional<Duration> statement_timeout() const;
  [[nodiscard]] std::string application() const { return value_of("application_name"); }

 private:
  [[nodiscard]] std::string value_of(const std::string& key) const;
  std::optional<Fields> show(const std::string& name, RowDescription row_description, std::string& out) const;
  std::optional<Fields> reset(const std::string& name, std::string& out);
  std::optional<Fields> reset_to_default(const std::string& name);
  void restore_startup_value(const std::string& key);

  std::string user_;
  std::map<std::string, std::string> values_;  // that were set, by names in lower case
  std::map<std::string, std::string> startup_values_;  // of them, what RESET goes back to
};

}  // namespace paddlestand::pg
