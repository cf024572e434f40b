#include "messages.hpp"

#include "bytes.hpp"

namespace paddlestand::pg {

std::optional<StartupMessage> parse_startup(std::string_view body) {
  Reader reader(body);
  StartupMessage message;
  message.code = reader.u32();
  if (reader.bad()) return std::nullopt;
  if (message.code == ssl_code || message.code == gss_code) {
    if (!reader.done()) return std::nullopt;
    return message;
  }
  if (message.code == cancel_code) {
    message.key = {reader.u32(), reader.u32()};
    if (!reader.done()) return std::nullopt;
    return message;
  }
  // Pairs of name and value, terminated by an empty name.
  while (reader.remaining() > 1) {
    const std::string_view name = reader.text();
    const std::string_view value = reader.text();
    if (reader.bad() || name.empty()) return std::nullopt;
    message.parameters.emplace_back(name, value);
  }
  if (reader.u8() != 0 || !reader.done()) return std::nullopt;
  return message;
}

std::optional<ParseMessage> parse_parse(std::string_view body) {
  Reader reader(body);
  ParseMessage message;
  message.statement = reader.text();
  message.query = reader.text();
  message.types = reader.remaining_bytes();
  Reader types(message.types);
  types.bytes(std::size_t{4} * types.u16());
  if (reader.bad() || !types.done()) return std::nullopt;
  return message;
}

std::optional<BindMessage> parse_bind(std::string_view body) {
  Reader reader(body);
  BindMessage message;
  message.portal = reader.text();
  message.statement = reader.text();
  message.parameters = reader.remaining_bytes();
  Reader values(message.parameters);
  values.bytes(std::size_t{2} * values.u16());
  for (std::uint16_t count = values.u16(); count > 0 && !values.bad(); --count) {
    const std::int32_t length = values.i32();
    if (length < -1) return std::nullopt;
    if (length > 0) values.bytes(static_cast<std::size_t>(length));  // -1 is a null value
  }
  values.bytes(std::size_t{2} * values.u16());
  if (reader.bad() || !values.done()) return std::nullopt;
  return message;
}

std::optional<NamedMessage> parse_named(std::string_view body) {
  Reader reader(body);
  NamedMessage message;
  message.target = static_cast<char>(reader.u8());
  message.name = reader.text();
  if (!reader.done() || (message.target != 'S' && message.target != 'P')) return std::nullopt;
  return message;
}

std::optional<ExecuteMessage> parse_execute(std::string_view body) {
  Reader reader(body);
  ExecuteMessage message;
  message.portal = reader.text();
  message.max_rows = reader.u32();
  if (!reader.done()) return std::nullopt;
  return message;
}

void put_startup(std::string& out, std::span<const std::pair<std::string, std::string>> parameters) {
  Writer writer(out);
  writer.begin_untyped().u32(protocol_3);
  for (const auto& [name, value] : parameters) writer.text(name).text(value);
  writer.u8(0).end();
}

void put_cancel_request(std::string& out, CancelKey key) {
  Writer writer(out);
  writer.begin_untyped().u32(cancel_code).u32(key.process).u32(key.secret).end();
}

void put_query(std::string& out, std::string_view text) {
  Writer writer(out);
  writer.begin(frontend_message::query).text(text).end();
}

void put_parse(std::string& out, std::string_view statement, std::string_view query, std::string_view types) {
  Writer writer(out);
  writer.begin(frontend_message::parse).text(statement).text(query).bytes(types).end();
}

void put_bind(std::string& out, std::string_view portal, std::string_view statement,
              std::string_view parameters) {
  Writer writer(out);
  writer.begin(frontend_message::bind).text(portal).text(statement).bytes(parameters).end();
}

void put_named(std::string& out, char type, char target, std::string_view name) {
  Writer writer(out);
  writer.begin(type).u8(static_cast<std::uint8_t>(target)).text(name).end();
}

void put_raw(std::string& out, char type, std::string_view body) {
  Writer writer(out);
  writer.begin(type).bytes(body).end();
}

void put_empty(std::string& out, char type) { put_raw(out, type, {}); }

void put_password(std::string& out, std::string_view body) { put_raw(out, frontend_message::password, body); }

void put_sasl_initial_response(std::string& out, std::string_view mechanism, std::string_view body) {
  Writer writer(out);
  writer.begin(frontend_message::password)
      .text(mechanism)
      .u32(static_cast<std::uint32_t>(body.size()))
      .bytes(body)
      .end();
}

std::optional<Fields> parse_fields(std::string_view body) {
  Reader reader(body);
  Fields fields;
  for (std::uint8_t code = reader.u8(); code != 0; code = reader.u8()) {
    const std::string_view value = reader.text();
    if (reader.bad()) return std::nullopt;
    switch (static_cast<char>(code)) {
      case 'V': fields.severity = value; break;  // not localized; takes precedence over 'S'
      case 'S':
        if (fields.severity.empty()) fields.severity = value;
        break;
      case 'C': fields.code = value; break;
      case 'M': fields.message = value; break;
      case 'D': fields.detail = value; break;
      case 'H': fields.hint = value; break;
      default: break;
    }
  }
  if (!reader.done()) return std::nullopt;
  return fields;
}

namespace {
void put_fields(std::string& out, char type, const Fields& fields) {
  Writer writer(out);
  writer.begin(type);
  const auto field = [&](char code, std::string_view value) {
    if (!value.empty()) writer.u8(static_cast<std::uint8_t>(code)).text(value);
  };
  field('S', fields.severity);
  field('V', fields.severity);
  field('C', fields.code);
  field('M', fields.message);
  field('D', fields.detail);
  field('H', fields.hint);
  writer.u8(0).end();
}
}  // namespace

void put_error(std::string& out, const Fields& fields) {
  put_fields(out, backend_message::error_response, fields);
}
void put_notice(std::string& out, const Fields& fields) {
  put_fields(out, backend_message::notice_response, fields);
}

void put_parameter(std::string& out, std::string_view name, std::string_view value) {
  Writer writer(out);
  writer.begin(backend_message::parameter_status).text(name).text(value).end();
}

void put_key(std::string& out, CancelKey key) {
  Writer writer(out);
  writer.begin(backend_message::backend_key_data).u32(key.process).u32(key.secret).end();
}

void put_ready(std::string& out, char status) {
  Writer writer(out);
  writer.begin(backend_message::ready_for_query).u8(static_cast<std::uint8_t>(status)).end();
}

void put_authentication(std::string& out, std::uint32_t code, std::string_view body) {
  Writer writer(out);
  writer.begin(backend_message::authentication).u32(code).bytes(body).end();
}

void put_complete(std::string& out, std::string_view tag) {
  Writer writer(out);
  writer.begin(backend_message::command_complete).text(tag).end();
}

namespace {
constexpr std::uint32_t no_table = 0;
constexpr std::uint16_t no_table_column = 0;
constexpr std::uint32_t no_type_modifier = 0xffffffff;
constexpr std::uint16_t text_format = 0;
}  // namespace

void put_row_description(std::string& out, std::span<const Column> columns) {
  Writer writer(out);
  writer.begin(backend_message::row_description).u16(static_cast<std::uint16_t>(columns.size()));
  for (const Column& column : columns) {
    writer.text(column.name).u32(no_table).u16(no_table_column).u32(column.type);
    writer.u16(static_cast<std::uint16_t>(column.size)).u32(no_type_modifier).u16(text_format);
  }
  writer.end();
}

void put_row(std::string& out, std::span<const std::string_view> values) {
  Writer writer(out);
  writer.begin(backend_message::data_row).u16(static_cast<std::uint16_t>(values.size()));
  for (const std::string_view value : values)
    writer.u32(static_cast<std::uint32_t>(value.size())).bytes(value);
  writer.end();
}

}  // namespace paddlestand::pg
