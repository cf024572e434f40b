#include "messages.hpp"

#include "bytes.hpp"

namespace paddlestand::pg {

std::optional<StartupMessage> parse_startup(std::string_view body) {
  Reader in(body);
  StartupMessage message;
  message.code = in.u32();
  if (in.bad()) return std::nullopt;
  if (message.code == ssl_code || message.code == gss_code) {
    if (!in.done()) return std::nullopt;
    return message;
  }
  if (message.code == cancel_code) {
    message.key = {in.u32(), in.u32()};
    if (!in.done()) return std::nullopt;
    return message;
  }
  // Names and values in turn, an empty name behind the last.
  while (in.left() > 1) {
    const std::string_view name = in.text(), value = in.text();
    if (in.bad() || name.empty()) return std::nullopt;
    message.parameters.emplace_back(name, value);
  }
  if (in.u8() != 0 || !in.done()) return std::nullopt;
  return message;
}

std::optional<ParseMessage> parse_parse(std::string_view body) {
  Reader in(body);
  ParseMessage message;
  message.statement = in.text();
  message.query = in.text();
  message.types = in.rest();
  Reader types(message.types);
  types.bytes(std::size_t{4} * types.u16());
  if (in.bad() || !types.done()) return std::nullopt;
  return message;
}

std::optional<BindMessage> parse_bind(std::string_view body) {
  Reader in(body);
  BindMessage message;
  message.portal = in.text();
  message.statement = in.text();
  message.rest = in.rest();
  Reader values(message.rest);
  values.bytes(std::size_t{2} * values.u16());
  for (std::uint16_t n = values.u16(); n > 0 && !values.bad(); --n) {
    const std::int32_t length = values.i32();
    if (length < -1) return std::nullopt;
    if (length > 0) values.bytes(static_cast<std::size_t>(length));
  }
  values.bytes(std::size_t{2} * values.u16());
  if (in.bad() || !values.done()) return std::nullopt;
  return message;
}

std::optional<NamedMessage> parse_named(std::string_view body) {
  Reader in(body);
  NamedMessage message;
  message.what = static_cast<char>(in.u8());
  message.name = in.text();
  if (!in.done() || (message.what != 'S' && message.what != 'P')) return std::nullopt;
  return message;
}

std::optional<ExecuteMessage> parse_execute(std::string_view body) {
  Reader in(body);
  ExecuteMessage message;
  message.portal = in.text();
  message.most_rows = in.u32();
  if (!in.done()) return std::nullopt;
  return message;
}

void put_startup(std::string& out, std::span<const std::pair<std::string, std::string>> parameters) {
  Writer w(out);
  w.begin_untyped().u32(protocol_3);
  for (const auto& [name, value] : parameters) w.text(name).text(value);
  w.u8(0).end();
}

void put_cancel(std::string& out, CancelKey key) {
  Writer w(out);
  w.begin_untyped().u32(cancel_code).u32(key.process).u32(key.secret).end();
}

void put_query(std::string& out, std::string_view text) {
  Writer w(out);
  w.begin('Q').text(text).end();
}

void put_parse(std::string& out, std::string_view statement, std::string_view query, std::string_view types) {
  Writer w(out);
  w.begin('P').text(statement).text(query).bytes(types).end();
}

void put_bind(std::string& out, std::string_view portal, std::string_view statement, std::string_view rest) {
  Writer w(out);
  w.begin('B').text(portal).text(statement).bytes(rest).end();
}

void put_named(std::string& out, char type, char what, std::string_view name) {
  Writer w(out);
  w.begin(type).u8(static_cast<std::uint8_t>(what)).text(name).end();
}

void put_raw(std::string& out, char type, std::string_view body) {
  Writer w(out);
  w.begin(type).bytes(body).end();
}

void put_empty(std::string& out, char type) { put_raw(out, type, {}); }

void put_password(std::string& out, std::string_view body) { put_raw(out, 'p', body); }

void put_sasl_first(std::string& out, std::string_view mechanism, std::string_view body) {
  Writer w(out);
  w.begin('p').text(mechanism).u32(static_cast<std::uint32_t>(body.size())).bytes(body).end();
}

std::optional<Fields> parse_fields(std::string_view body) {
  Reader in(body);
  Fields fields;
  for (std::uint8_t code = in.u8(); code != 0; code = in.u8()) {
    const std::string_view value = in.text();
    if (in.bad()) return std::nullopt;
    switch (static_cast<char>(code)) {
      case 'V': fields.severity = value; break;
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
  if (!in.done()) return std::nullopt;
  return fields;
}

namespace {
void put_fields(std::string& out, char type, const Fields& fields) {
  Writer w(out);
  w.begin(type);
  const auto field = [&](char code, std::string_view value) {
    if (!value.empty()) w.u8(static_cast<std::uint8_t>(code)).text(value);
  };
  field('S', fields.severity);
  field('V', fields.severity);
  field('C', fields.code);
  field('M', fields.message);
  field('D', fields.detail);
  field('H', fields.hint);
  w.u8(0).end();
}
}  // namespace

void put_error(std::string& out, const Fields& fields) { put_fields(out, 'E', fields); }
void put_notice(std::string& out, const Fields& fields) { put_fields(out, 'N', fields); }

void put_parameter(std::string& out, std::string_view name, std::string_view value) {
  Writer w(out);
  w.begin('S').text(name).text(value).end();
}

void put_key(std::string& out, CancelKey key) {
  Writer w(out);
  w.begin('K').u32(key.process).u32(key.secret).end();
}

void put_ready(std::string& out, char status) {
  Writer w(out);
  w.begin('Z').u8(static_cast<std::uint8_t>(status)).end();
}

void put_authentication(std::string& out, std::uint32_t code, std::string_view body) {
  Writer w(out);
  w.begin('R').u32(code).bytes(body).end();
}

void put_complete(std::string& out, std::string_view tag) {
  Writer w(out);
  w.begin('C').text(tag).end();
}

void put_row_description(std::string& out, std::span<const Column> columns) {
  Writer w(out);
  w.begin('T').u16(static_cast<std::uint16_t>(columns.size()));
  for (const Column& column : columns) {
    w.text(column.name).u32(0).u16(0).u32(column.type);
    w.u16(static_cast<std::uint16_t>(column.size)).u32(0xffffffff).u16(0);
  }
  w.end();
}

void put_row(std::string& out, std::span<const std::string_view> values) {
  Writer w(out);
  w.begin('D').u16(static_cast<std::uint16_t>(values.size()));
  for (const std::string_view value : values) w.u32(static_cast<std::uint32_t>(value.size())).bytes(value);
  w.end();
}

}  // namespace paddlestand::pg
