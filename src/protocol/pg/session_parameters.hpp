/// The run-time parameters of a session (chapter 55.2.7 of PostgreSQL's manual): those of the startup
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

/// Whether an answer includes a RowDescription; after a Describe message it is omitted.
enum class RowDescription : unsigned char { include, omit };

/// The parameter values of a session. No I/O: the caller sends the bytes appended to `out`.
class SessionParameters {
 public:
  void set_user(std::string user) { user_ = std::move(user); }
  /// Ends the startup: RESET restores the values that are set at this point.
  void end_startup() { startup_values_ = values_; }

  /// Sets a parameter, and sends ParameterStatus if it is a reported one. Returns an error if the parameter
  /// is unknown or can't have this value.
  std::optional<Fields> set(const std::string& name, const std::string& value, std::string& out);

  /// Answers a SET, SHOW or RESET statement, given as its tokens. Returns an error, with nothing appended, if
  /// it can't be executed.
  std::optional<Fields> execute(const std::vector<std::string>& tokens, RowDescription row_description,
                                std::string& out);

  /// Appends ParameterStatus messages for all reported parameters.
  void report_all(std::string& out) const;

  /// The parameters to set at an engine for a query: those that differ from the engine's defaults.
  [[nodiscard]] std::map<std::string, std::string> engine_settings() const;
  /// Nothing if there is no limit.
  [[nodiscard]] std::optional<Duration> statement_timeout() const;
  [[nodiscard]] std::string application() const { return value_of("application_name"); }

 private:
  [[nodiscard]] std::string value_of(const std::string& key) const;
  std::optional<Fields> show(const std::string& name, RowDescription row_description, std::string& out) const;
  std::optional<Fields> reset(const std::string& name, std::string& out);
  std::optional<Fields> reset_to_default(const std::string& name);
  void restore_startup_value(const std::string& key);

  std::string user_;
  std::map<std::string, std::string> values_;  // values that were set, by lower-case name
  std::map<std::string, std::string> startup_values_;  // the values that RESET restores
};

}  // namespace paddlestand::pg
