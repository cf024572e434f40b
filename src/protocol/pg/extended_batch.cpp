#include "extended_batch.hpp"

#include <algorithm>

#include "bytes.hpp"
#include "protocol/sql/scan.hpp"
#include "sqlstate.hpp"
#include "statements.hpp"
#include "text.hpp"

namespace paddlestand::pg {
namespace {

constexpr char statement_target = 'S';  // of Describe and Close
constexpr char portal_target = 'P';

Fields malformed(const std::string& message) { return error("08P01", "malformed " + message + " message"); }

bool is_setting(const PreparedStatement& statement) { return are_all_settings(sql::scan(statement.text)); }

}  // namespace

const PreparedStatement* ExtendedBatch::find(const std::string& name) const {
  const auto parsed = std::find_if(parsed_.rbegin(), parsed_.rend(),
                                   [&](const NamedStatement& statement) { return statement.first == name; });
  return parsed == parsed_.rend() ? statements_.find(name) : &parsed->second;
}

/// Routes the batch to an engine. Fails if the manager has already answered part of it.
std::optional<Fields> ExtendedBatch::require_engine() {
  if (!local_portals_.empty()) return mixed_statements_error();
  needs_engine_ = true;
  return std::nullopt;
}

void ExtendedBatch::put_engine_parse(const std::string& name, const PreparedStatement& statement,
                                     bool by_client) {
  put_parse(query_.bytes, "", statement.text, statement.types);
  query_.parse_from_client.push_back(by_client);
  engine_statement_ = name;
  if (text_.empty()) text_ = statement.text;
}

// ---- Parse ----

bool ExtendedBatch::has_capacity(std::size_t text_bytes) const {
  return statements_.size() + parsed_.size() < limits_.max_statements &&
         statements_.text_bytes() + text_bytes <= limits_.max_statement_bytes;
}

std::optional<Fields> ExtendedBatch::check_new_statement(const std::string& name,
                                                         std::string_view text) const {
  const sql::Scanned scanned = sql::scan(text);
  if (scanned.statements.size() > 1)
    return error("42601", "cannot insert multiple commands into a prepared statement");
  if (auto problem = find_unsupported(scanned)) return problem;
  if (!name.empty() && find(name) != nullptr)
    return error("42P05", "prepared statement \"" + name + "\" already exists");
  if (!has_capacity(text.size())) {
    return error("54000", "too many prepared statements in this session; the limit is " +
                              std::to_string(limits_.max_statements));
  }
  return std::nullopt;
}

std::optional<Fields> ExtendedBatch::on_parse(std::string_view body) {
  const auto message = parse_parse(body);
  if (!message) return malformed("Parse");
  if (!is_utf8(message->query)) return error("22021", "the statement is not valid UTF-8");
  const std::string name(message->statement);
  if (auto problem = check_new_statement(name, message->query)) return problem;

  PreparedStatement statement{std::string(message->query), std::string(message->types)};
  if (is_setting(statement)) {
    if (needs_engine_) return mixed_statements_error();
    put_empty(local_answers_, backend_message::parse_complete);
    statements_.put(name, std::move(statement));
    return std::nullopt;
  }
  if (auto problem = require_engine()) return problem;
  put_engine_parse(name, statement, true);
  parsed_.emplace_back(name, std::move(statement));
  return std::nullopt;
}

/// Ensures that the statement is the engine's unnamed one, by adding a Parse message if necessary.
std::optional<Fields> ExtendedBatch::prepare_at_engine(const std::string& name) {
  const PreparedStatement* statement = find(name);
  if (statement == nullptr) return error("26000", "prepared statement \"" + name + "\" does not exist");
  if (auto problem = require_engine()) return problem;
  if (engine_statement_ != name) {
    put_engine_parse(name, *statement, false);
  } else if (text_.empty()) {
    text_ = statement->text;
  }
  return std::nullopt;
}

// ---- Bind, Describe, Execute, Close ----

std::optional<Fields> ExtendedBatch::on_bind(std::string_view body) {
  const auto message = parse_bind(body);
  if (!message) return malformed("Bind");
  const std::string name(message->statement);
  const PreparedStatement* statement = find(name);
  if (statement != nullptr && !needs_engine_ && is_setting(*statement)) {
    local_portals_[std::string(message->portal)] = statement->text;
    put_empty(local_answers_, backend_message::bind_complete);
    return std::nullopt;
  }
  if (auto problem = prepare_at_engine(name)) return problem;
  put_bind(query_.bytes, message->portal, "", message->parameters);
  return std::nullopt;
}

void ExtendedBatch::describe_setting(char target, std::string_view text) {
  if (target == statement_target) {
    std::string no_parameters;
    Writer(no_parameters).u16(0);
    put_raw(local_answers_, backend_message::parameter_description, no_parameters);
  }
  const sql::Scanned scanned = sql::scan(text);
  const auto& tokens = scanned.statements[0].tokens;
  if (tokens[0] == "show" && tokens.size() > 1) {
    const Column column{tokens[1], text_type_oid, -1};
    put_row_description(local_answers_, {&column, 1});
  } else {
    put_empty(local_answers_, backend_message::no_data);
  }
}

std::optional<Fields> ExtendedBatch::on_describe(std::string_view body) {
  const auto message = parse_named(body);
  if (!message) return malformed("Describe");
  const std::string name(message->name);
  if (message->target == portal_target) {
    if (const auto local = local_portals_.find(name); local != local_portals_.end()) {
      describe_setting(portal_target, local->second);
      return std::nullopt;
    }
    if (auto problem = require_engine()) return problem;
    put_named(query_.bytes, frontend_message::describe, portal_target, name);
    return std::nullopt;
  }
  if (const PreparedStatement* statement = find(name); statement != nullptr && is_setting(*statement)) {
    if (needs_engine_) return mixed_statements_error();
    describe_setting(statement_target, statement->text);
    return std::nullopt;
  }
  if (auto problem = prepare_at_engine(name)) return problem;
  put_named(query_.bytes, frontend_message::describe, statement_target, "");
  return std::nullopt;
}

std::optional<Fields> ExtendedBatch::on_execute(std::string_view body) {
  const auto message = parse_execute(body);
  if (!message) return malformed("Execute");
  const std::string portal(message->portal);
  if (const auto local = local_portals_.find(portal); local != local_portals_.end()) {
    const sql::Scanned scanned = sql::scan(local->second);
    return parameters_.execute(scanned.statements[0].tokens, RowDescription::omit, local_answers_);
  }
  if (!needs_engine_) return error("34000", "portal \"" + portal + "\" does not exist");
  put_raw(query_.bytes, frontend_message::execute, body);
  return std::nullopt;
}

std::optional<Fields> ExtendedBatch::on_close(std::string_view body) {
  const auto message = parse_named(body);
  if (!message) return malformed("Close");
  const std::string name(message->name);
  const bool closes_statement = message->target == statement_target;
  if (closes_statement) {
    std::erase_if(parsed_, [&](const NamedStatement& statement) { return statement.first == name; });
    statements_.remove(name);
  } else {
    local_portals_.erase(name);
  }
  if (!needs_engine_) {
    put_empty(local_answers_, backend_message::close_complete);
    return std::nullopt;
  }
  put_named(query_.bytes, frontend_message::close, message->target, closes_statement ? "" : name);
  if (closes_statement) engine_statement_.reset();
  return std::nullopt;
}

}  // namespace paddlestand::pg
