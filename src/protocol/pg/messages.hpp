// Messages of PostgreSQL's protocol 3.0 (chapter 55 of its manual), both directions: builders that append to
// a string, and parsers for what this program reads. Views point into the message they were parsed from.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace paddlestand::pg {

inline constexpr std::uint32_t protocol_3 = 196608;
inline constexpr std::uint32_t cancel_code = 80877102;
inline constexpr std::uint32_t ssl_code = 80877103;
inline constexpr std::uint32_t gss_code = 80877104;

struct CancelKey {
  std::uint32_t process{};
  std::uint32_t secret{};
  friend bool operator==(const CancelKey&, const CancelKey&) = default;
};

// ---- From a client ----

struct StartupMessage {
  std::uint32_t code{};  // the version asked for, or one of the codes above
  std::vector<std::pair<std::string, std::string>> parameters;
  CancelKey key;  // of a CancelRequest
};
std::optional<StartupMessage> parse_startup(std::string_view body);

struct ParseMessage {
  std::string_view statement, query, types;  // types: as they stand, their count included
};
std::optional<ParseMessage> parse_parse(std::string_view body);

struct BindMessage {
  std::string_view portal, statement, rest;
};
std::optional<BindMessage> parse_bind(std::string_view body);

struct NamedMessage {  // Describe and Close
  char what{};  // 'S' or 'P'
  std::string_view name;
};
std::optional<NamedMessage> parse_named(std::string_view body);

struct ExecuteMessage {
  std::string_view portal;
  std::uint32_t most_rows{};
};
std::optional<ExecuteMessage> parse_execute(std::string_view body);

void put_startup(std::string& out, std::span<const std::pair<std::string, std::string>> parameters);
void put_cancel(std::string& out, CancelKey key);
void put_query(std::string& out, std::string_view text);
void put_parse(std::string& out, std::string_view statement, std::string_view query, std::string_view types);
void put_bind(std::string& out, std::string_view portal, std::string_view statement, std::string_view rest);
void put_named(std::string& out, char type, char what, std::string_view name);
void put_raw(std::string& out, char type, std::string_view body);
void put_empty(std::string& out, char type);  // Sync, Flush, Terminate
void put_password(std::string& out, std::string_view body);
void put_sasl_first(std::string& out, std::string_view mechanism, std::string_view body);

// ---- From a server ----

struct Fields {  // of an ErrorResponse or a NoticeResponse
  std::string severity, code, message, detail, hint;
};
std::optional<Fields> parse_fields(std::string_view body);

void put_error(std::string& out, const Fields& fields);
void put_notice(std::string& out, const Fields& fields);
void put_parameter(std::string& out, std::string_view name, std::string_view value);
void put_key(std::string& out, CancelKey key);
void put_ready(std::string& out, char status);
void put_authentication(std::string& out, std::uint32_t code, std::string_view body = {});
void put_complete(std::string& out, std::string_view tag);

struct Column {
  std::string name;
  std::uint32_t type = 25;  // text
  std::int16_t size = -1;
};
void put_row_description(std::string& out, std::span<const Column> columns);
void put_row(std::string& out, std::span<const std::string_view> values);

}  // namespace paddlestand::pg
