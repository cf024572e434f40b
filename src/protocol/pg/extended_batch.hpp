/// The extended query protocol (chapter 55.2.3 of PostgreSQL's manual): a client's messages up to its Sync or
/// Flush are collected into one query for an engine. Statements that the manager answers itself (SET, SHOW,
/// RESET) can't be in the same batch as statements for an engine.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "backend_connection.hpp"
#include "frontend_settings.hpp"
#include "messages.hpp"
#include "prepared_statements.hpp"
#include "session_parameters.hpp"

namespace paddlestand::pg {

/// One batch. Each on_... function handles the body of a message. An error that it returns ends the batch: it
/// is sent to the client, whose messages are skipped up to the Sync. The constructor's arguments must outlive
/// the batch.
class ExtendedBatch {
 public:
  using NamedStatement = std::pair<std::string, PreparedStatement>;

  ExtendedBatch(const FrontendSettings& limits, PreparedStatements& statements, SessionParameters& parameters)
      : limits_(limits), statements_(statements), parameters_(parameters) {}

  std::optional<Fields> on_parse(std::string_view body);
  std::optional<Fields> on_bind(std::string_view body);
  std::optional<Fields> on_describe(std::string_view body);
  std::optional<Fields> on_execute(std::string_view body);
  std::optional<Fields> on_close(std::string_view body);

  /// Whether an engine has to answer the batch. If not, local_answers() is the complete answer.
  [[nodiscard]] bool needs_engine() const { return needs_engine_; }
  /// The manager's own answers, to be moved to the client.
  [[nodiscard]] std::string& local_answers() { return local_answers_; }
  /// The text by which the batch is classified: its first statement.
  [[nodiscard]] const std::string& text() const { return text_; }
  [[nodiscard]] std::size_t query_bytes() const { return query_.bytes.size(); }

  /// The query for an engine, to be moved from when the batch is submitted.
  [[nodiscard]] EngineQuery& query() { return query_; }
  /// The statements of the client's Parse messages, to be moved from together with the query. They become
  /// prepared statements of the session when an engine has completed the Parse.
  [[nodiscard]] std::vector<NamedStatement>& parsed_statements() { return parsed_; }

 private:
  [[nodiscard]] const PreparedStatement* find(const std::string& name) const;
  [[nodiscard]] bool has_capacity(std::size_t text_bytes) const;
  std::optional<Fields> check_new_statement(const std::string& name, std::string_view text) const;
  std::optional<Fields> require_engine();
  std::optional<Fields> prepare_at_engine(const std::string& name);
  void put_engine_parse(const std::string& name, const PreparedStatement& statement, bool by_client);
  void describe_setting(char target, std::string_view text);

  const FrontendSettings& limits_;
  PreparedStatements& statements_;
  SessionParameters& parameters_;
  EngineQuery query_;
  std::string text_;
  std::optional<std::string> engine_statement_;  // name of the statement that is the engine's unnamed one
  bool needs_engine_ = false;
  std::string local_answers_;
  std::map<std::string, std::string> local_portals_;  // text by name, for statements answered by the manager
  std::vector<NamedStatement> parsed_;
};

}  // namespace paddlestand::pg
