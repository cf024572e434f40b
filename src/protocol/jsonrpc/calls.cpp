#include "calls.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>

#include "protocol/base64.hpp"

namespace paddlestand::jsonrpc {
namespace {

namespace json = boost::json;

constexpr std::size_t max_depth = 8;  // nesting of values in a message
constexpr std::size_t id_digits = 16;
constexpr std::size_t idempotency_key_digits = 32;
constexpr double max_client_timeout_ms = 3600e3;  // for classes without a deadline
constexpr double max_timeout_over_deadline = 2;  // a longer timeout is rejected as a client's mistake
constexpr double min_client_timeout_ms = 1e-3;
constexpr double max_cost_ms = 24 * 3600e3;
constexpr double max_memory_mb = 1e8;
constexpr std::size_t result_overhead_bytes = 96;  // around the body of a result

bool is_hex(std::string_view text, std::size_t count) {
  return text.size() == count && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

std::optional<std::uint64_t> parse_hex_id(const json::value* value) {
  if (value == nullptr || !value->is_string()) return std::nullopt;
  const json::string& text = value->get_string();
  if (!is_hex({text.data(), text.size()}, id_digits)) return std::nullopt;
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, 16);
  return number;
}

std::optional<double> number_within(const json::value& value, double min, double max) {
  if (!value.is_number()) return std::nullopt;
  const double number = value.is_double()  ? value.get_double()
                        : value.is_int64() ? static_cast<double>(value.get_int64())
                                           : static_cast<double>(value.get_uint64());
  if (!std::isfinite(number) || number < min || number > max) return std::nullopt;
  return number;
}

Duration milliseconds(double value) { return Duration{std::llround(value * 1e6)}; }

// Ids count from 1. JSON has a single number type: 7.0 and 7e0 equal 7.
std::optional<std::int64_t> id_of(const json::value* value) {
  if (value == nullptr) return std::nullopt;
  json::error_code error;
  const auto id = value->is_number() ? value->to_number<std::int64_t>(error) : 0;
  if (error || id < 1) return std::nullopt;
  return id;
}

Problem problem(std::optional<std::int64_t> id, ErrorCode code, std::string text) {
  return {id, code, std::move(text)};
}

/// Reads the parameters of a query, with one function per parameter. Each function returns the error text if
/// its parameter is missing or invalid.
class QueryParameters {
 public:
  using Error = std::optional<std::string_view>;

  QueryParameters(const json::object& parameters, const ClassSettings& query_class,
                  const std::vector<TenantSettings>& tenants)
      : parameters_(parameters), class_(query_class), tenants_(tenants) {}

  /// Reads all parameters. The order of the functions decides which error is reported.
  Error read_into(Query& query) const {
    using Reader = Error (QueryParameters::*)(Query&) const;
    constexpr std::array<Reader, 9> readers{
        &QueryParameters::read_trace,    &QueryParameters::read_client_timeout,
        &QueryParameters::read_repeated, &QueryParameters::read_idempotency_key,
        &QueryParameters::read_cost,     &QueryParameters::read_memory,
        &QueryParameters::read_tenant,   &QueryParameters::read_ordering_key,
        &QueryParameters::read_statement};
    for (const Reader reader : readers)
      if (const Error error = (this->*reader)(query)) return error;
    return std::nullopt;
  }

 private:
  [[nodiscard]] const json::value* find(std::string_view name) const { return parameters_.if_contains(name); }

  Error read_trace(Query& query) const {
    const auto trace = parse_hex_id(find("trace"));
    if (!trace) return "trace: expected 16 hex digits";
    query.trace = *trace;
    return std::nullopt;
  }

  Error read_client_timeout(Query& query) const {
    const double deadline_ms = static_cast<double>(class_.deadline.count()) * 1e-6;
    const double longest = deadline_ms > 0 ? max_timeout_over_deadline * deadline_ms : max_client_timeout_ms;
    const json::value* value = find("patience");
    const auto timeout =
        value == nullptr ? std::nullopt : number_within(*value, min_client_timeout_ms, longest);
    if (!timeout) return "patience: expected milliseconds, up to the maximum for the class";
    query.client_timeout = milliseconds(*timeout);
    return std::nullopt;
  }

  Error read_repeated(Query& query) const {
    const json::value* value = find("redo");
    if (value == nullptr) return std::nullopt;
    const auto redo = number_within(*value, 0, 1);
    if (!redo) return "redo: expected 0 or 1";
    query.repeated = *redo > 0;
    return std::nullopt;
  }

  Error read_idempotency_key(Query& query) const {
    if (class_.idempotency != Idempotency::idempotent_with_key) return std::nullopt;
    constexpr std::string_view error = "nonce: expected 32 hex digits";
    const json::value* value = find("nonce");
    if (value == nullptr || !value->is_string()) return error;
    query.idempotency_key = std::string_view(value->get_string());
    if (!is_hex(query.idempotency_key, idempotency_key_digits)) return error;
    return std::nullopt;
  }

  Error read_cost(Query& query) const {
    const json::value* value = find("weight");
    if (value == nullptr) return std::nullopt;
    const auto cost = number_within(*value, 0, max_cost_ms);
    if (!cost) return "weight: expected milliseconds of work, at most one day";
    query.cost = milliseconds(*cost);
    return std::nullopt;
  }

  Error read_memory(Query& query) const {
    const json::value* value = find("need_mb");
    if (value == nullptr) return std::nullopt;
    const auto memory = number_within(*value, 0, max_memory_mb);
    if (!memory) return "need_mb: expected megabytes";
    query.memory_mb = *memory;
    return std::nullopt;
  }

  Error read_tenant(Query& query) const {
    query.tenant = static_cast<std::uint32_t>(tenants_.size());  // none
    const json::value* value = find("customer");
    if (value == nullptr || tenants_.empty()) return std::nullopt;
    constexpr std::string_view error = "customer: expected the name of a tenant in the settings";
    if (!value->is_string()) return error;
    const auto has_name = [value](const TenantSettings& tenant) {
      return value->get_string() == tenant.name;
    };
    const auto found = std::find_if(tenants_.begin(), tenants_.end(), has_name);
    if (found == tenants_.end()) return error;
    query.tenant = static_cast<std::uint32_t>(found - tenants_.begin());
    return std::nullopt;
  }

  Error read_ordering_key(Query& query) const {
    if (!class_.ordered_by_key) return std::nullopt;
    const auto key = parse_hex_id(find("entity"));
    if (!key) return "entity: expected 16 hex digits";
    query.ordering_key = std::max<std::uint64_t>(*key, 1);  // zero means that there is none
    return std::nullopt;
  }

  Error read_statement(Query& query) const {
    constexpr std::string_view error = "content: expected the statement in base64";
    const json::value* value = find("content");
    if (value == nullptr || !value->is_string()) return error;
    auto statement = from_base64(value->get_string());
    if (!statement || statement->empty()) return error;
    query.statement = std::move(*statement);
    return std::nullopt;
  }

  const json::object& parameters_;
  const ClassSettings& class_;
  const std::vector<TenantSettings>& tenants_;
};

CancelRequest read_cancel_request(std::optional<std::int64_t> id, const json::value* parameters) {
  CancelRequest cancel;
  cancel.id = id;
  if (parameters == nullptr || !parameters->is_object()) return cancel;
  cancel.trace = parse_hex_id(parameters->get_object().if_contains("trace"));
  cancel.request = id_of(parameters->get_object().if_contains("id"));
  return cancel;
}

void put_id(std::string& out, std::optional<std::int64_t> id) {
  out += R"({"jsonrpc":"2.0","id":)";
  out += id ? std::to_string(*id) : "null";
}

}  // namespace

Message CallReader::read(std::string_view line) const {
  json::parse_options options;
  options.max_depth = max_depth;
  json::error_code error;
  const json::value parsed = json::parse(line, error, {}, options);
  if (error) return problem({}, ErrorCode::parse_error, "invalid JSON: " + error.message());
  if (!parsed.is_object())
    return problem({}, ErrorCode::invalid_request, "expected an object; batches are not supported");
  const json::object& message = parsed.get_object();
  const auto id = id_of(message.if_contains("id"));
  const json::value* version = message.if_contains("jsonrpc");
  if (version == nullptr || !version->is_string() || version->get_string() != "2.0")
    return problem(id, ErrorCode::invalid_request, "jsonrpc: expected \"2.0\"");
  const json::value* method = message.if_contains("method");
  if (method == nullptr || !method->is_string())
    return problem(id, ErrorCode::invalid_request, "method: expected the name of a class");
  const std::string_view name(method->get_string());
  const json::value* parameters = message.if_contains("params");
  if (name == "forget") return read_cancel_request(id, parameters);
  if (!id) return problem({}, ErrorCode::invalid_request, "id: expected a positive whole number");
  if (name == "isWell") return HealthCheck{*id};
  return read_query(*id, name, parameters);
}

Message CallReader::read_query(std::int64_t id, std::string_view class_name,
                               const json::value* parameters) const {
  const auto has_name = [class_name](const ClassSettings& settings) { return settings.name == class_name; };
  const auto found = std::find_if(classes_.begin(), classes_.end(), has_name);
  if (found == classes_.end())
    return problem(id, ErrorCode::unknown_method, "method: expected the name of a class, forget or isWell");
  if (parameters == nullptr || !parameters->is_object())
    return problem(id, ErrorCode::invalid_params, "params: expected an object");
  Query query;
  query.id = id;
  query.class_index = static_cast<std::uint32_t>(found - classes_.begin());
  const QueryParameters reader(parameters->get_object(), *found, tenants_);
  if (const auto error = reader.read_into(query))
    return problem(id, ErrorCode::invalid_params, std::string(*error));
  return query;
}

void put_result(std::string& out, std::int64_t id, std::string_view body) {
  out.reserve(out.size() + body.size() * 4 / 3 + result_overhead_bytes);
  put_id(out, id);
  out += R"(,"result":{"content":")";
  put_base64(out, body);
  out += "\"}}\n";
}

void put_error(std::string& out, std::optional<std::int64_t> id, ErrorCode code, std::string_view text,
               Duration retry_after) {
  put_id(out, id);
  out += R"(,"error":{"code":)" + std::to_string(static_cast<std::int32_t>(code)) + R"(,"message":)";
  out += json::serialize(json::string(text));
  if (retry_after.count() > 0) {
    out += R"(,"data":{"pause":)" +
           std::to_string(std::chrono::ceil<std::chrono::milliseconds>(retry_after).count()) + "}";
  }
  out += "}}\n";
}

void put_health(std::string& out, std::int64_t id, bool is_ready) {
  put_id(out, id);
  out += is_ready ? ",\"result\":{\"green\":true}}\n" : ",\"result\":{\"green\":false}}\n";
}

void put_empty_result(std::string& out, std::int64_t id) {
  put_id(out, id);
  out += ",\"result\":{}}\n";
}

}  // namespace paddlestand::jsonrpc
