/// Messages of PostgreSQL's protocol 3.0 (chapter 55.7 of its manual) in both directions: builders that
/// append to a string, and parsers for the messages that this program reads. A parser returns nothing if the
/// body is malformed; the views that it returns point into the body.
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

/// The codes at the beginning of messages without a type. That of StartupMessage is the protocol version,
/// with the major version in the high 16 bits.
inline constexpr std::uint32_t protocol_3 = 196608;  ///< StartupMessage
inline constexpr std::uint32_t cancel_code = 80877102;  ///< CancelRequest
inline constexpr std::uint32_t ssl_code = 80877103;  ///< SSLRequest
inline constexpr std::uint32_t gss_code = 80877104;  ///< GSSENCRequest
/// The answer to SSLRequest and GSSENCRequest: continue without encryption.
inline constexpr char encryption_declined = 'N';

/// Types of messages that a client (frontend) sends.
namespace frontend_message {
inline constexpr char bind = 'B';
inline constexpr char close = 'C';
inline constexpr char copy_data = 'd';
inline constexpr char copy_done = 'c';
inline constexpr char copy_fail = 'f';
inline constexpr char describe = 'D';
inline constexpr char execute = 'E';
inline constexpr char flush = 'H';
inline constexpr char function_call = 'F';
inline constexpr char parse = 'P';
inline constexpr char password = 'p';  ///< PasswordMessage, SASLInitialResponse and SASLResponse
inline constexpr char query = 'Q';
inline constexpr char sync = 'S';
inline constexpr char terminate = 'X';
}  // namespace frontend_message

/// Types of messages that a server (backend) sends.
namespace backend_message {
inline constexpr char authentication = 'R';
inline constexpr char backend_key_data = 'K';
inline constexpr char bind_complete = '2';
inline constexpr char close_complete = '3';
inline constexpr char command_complete = 'C';
inline constexpr char copy_data = 'd';
inline constexpr char data_row = 'D';
inline constexpr char empty_query_response = 'I';
inline constexpr char error_response = 'E';
inline constexpr char negotiate_protocol_version = 'v';
inline constexpr char no_data = 'n';
inline constexpr char notice_response = 'N';
inline constexpr char notification_response = 'A';
inline constexpr char parameter_description = 't';
inline constexpr char parameter_status = 'S';
inline constexpr char parse_complete = '1';
inline constexpr char portal_suspended = 's';
inline constexpr char ready_for_query = 'Z';
inline constexpr char row_description = 'T';
}  // namespace backend_message

/// Codes in Authentication messages.
namespace authentication {
inline constexpr std::uint32_t ok = 0;
inline constexpr std::uint32_t sasl = 10;
inline constexpr std::uint32_t sasl_continue = 11;
inline constexpr std::uint32_t sasl_final = 12;
}  // namespace authentication

/// The status in ReadyForQuery outside of a transaction block.
inline constexpr char transaction_idle = 'I';
/// The type `text` in RowDescription.
inline constexpr std::uint32_t text_type_oid = 25;

/// The key from BackendKeyData that a CancelRequest contains.
struct CancelKey {
  std::uint32_t process{};
  std::uint32_t secret{};
  friend bool operator==(const CancelKey&, const CancelKey&) = default;
};

// ---- From a client ----

/// StartupMessage, SSLRequest, GSSENCRequest or CancelRequest.
struct StartupMessage {
  std::uint32_t code{};  ///< the requested version, or one of the codes above
  std::vector<std::pair<std::string, std::string>> parameters;
  CancelKey key;  ///< only in a CancelRequest
};
std::optional<StartupMessage> parse_startup(std::string_view body);

struct ParseMessage {
  std::string_view statement;  ///< the statement's name
  std::string_view query;
  std::string_view types;  ///< the parameters' count and types, encoded as in the message
};
std::optional<ParseMessage> parse_parse(std::string_view body);

struct BindMessage {
  std::string_view portal;
  std::string_view statement;
  std::string_view parameters;  ///< formats, values and result formats, encoded as in the message
};
std::optional<BindMessage> parse_bind(std::string_view body);

/// Describe or Close.
struct NamedMessage {
  char target{};  ///< 'S' for a statement, 'P' for a portal
  std::string_view name;
};
std::optional<NamedMessage> parse_named(std::string_view body);

struct ExecuteMessage {
  std::string_view portal;
  std::uint32_t max_rows{};  ///< zero for no limit
};
std::optional<ExecuteMessage> parse_execute(std::string_view body);

void put_startup(std::string& out, std::span<const std::pair<std::string, std::string>> parameters);
void put_cancel_request(std::string& out, CancelKey key);
void put_query(std::string& out, std::string_view text);
void put_parse(std::string& out, std::string_view statement, std::string_view query, std::string_view types);
void put_bind(std::string& out, std::string_view portal, std::string_view statement,
              std::string_view parameters);
/// Describe or Close.
void put_named(std::string& out, char type, char target, std::string_view name);
/// Any message, given its encoded body.
void put_raw(std::string& out, char type, std::string_view body);
/// A message without a body, such as Sync or ParseComplete.
void put_empty(std::string& out, char type);
/// PasswordMessage or SASLResponse.
void put_password(std::string& out, std::string_view body);
/// SASLInitialResponse.
void put_sasl_initial_response(std::string& out, std::string_view mechanism, std::string_view body);

// ---- From a server ----

/// The fields of an ErrorResponse or a NoticeResponse (chapter 55.8); `code` is the SQLSTATE.
struct Fields {
  std::string severity, code, message, detail, hint;
};
std::optional<Fields> parse_fields(std::string_view body);

void put_error(std::string& out, const Fields& fields);
void put_notice(std::string& out, const Fields& fields);
/// ParameterStatus.
void put_parameter(std::string& out, std::string_view name, std::string_view value);
/// BackendKeyData.
void put_key(std::string& out, CancelKey key);
/// ReadyForQuery.
void put_ready(std::string& out, char status);
void put_authentication(std::string& out, std::uint32_t code, std::string_view body = {});
/// CommandComplete.
void put_complete(std::string& out, std::string_view tag);

/// A column of a RowDescription.
struct Column {
  std::string name;
  std::uint32_t type = text_type_oid;
  std::int16_t size = -1;  ///< bytes; negative for a variable size
};
void put_row_description(std::string& out, std::span<const Column> columns);
/// DataRow of values that are not null.
void put_row(std::string& out, std::span<const std::string_view> values);

}  // namespace paddlestand::pg
