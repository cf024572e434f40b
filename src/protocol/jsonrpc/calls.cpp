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

constexpr std::size_t max_depth = 8;  // of nested values in a message
constexpr std::size_t trace_digits = 16;
constexpr std::size_t idempotency_key_digits = 32;
constexpr double max_client_timeout_ms = 3600e3;  // where a class has no deadline
constexpr double max_timeout_over_deadline = 2;  // a longer timeout is no figure that a client means
constexpr double min_client_timeout_ms = 1e-3;
constexpr double max_cost_ms = 24 * 3600e3;
constexpr double max_memory_mb = 1e8;
constexpr std::size_t idle_capacity = 16UL * 1024;  // bytes that an empty line buffer may keep
constexpr std::size_t result_overhead = 96;  // bytes around a result's body

bool hex_digits(std::string_view text, std::size_t count) {
  return text.size() == count && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

std::optional<std::uint64_t> hex_number(const json::value* value) {
  if (value == nullptr || !value->is_string()) return std::nullopt;
  const json::string& text = value->get_string();
  if (!hex_digits({text.data(), text.size()}, trace_digits)) return std::nullopt;
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, 16);
  return number;
}

std::optional<double> number_within(const json::value& value, double least, double most) {
  if (!value.is_number()) return std::nullopt;
  const double number = value.is_double()  ? value.get_double()
                        : value.is_int64() ? static_cast<double>(value.get_int64())
                                           : static_cast<double>(value.get_uint64());
  if (!std::isfinite(number) || number < least || number > most) return std::nullopt;
  return number;
}

Duration milliseconds(double value) { return Duration{std::llround(value * 1e6)}; }

// Ids count from 1. JSON knows one kind of number: 7.0 and 7e0 are 7.
std::optional<std::int64_t> id_of(const json::value* value) {
  if (value == nullptr) return std::nullopt;
  json::error_code error;
  const auto id = value->is_number() ? value->to_number<std::int64_t>(error) : 0;
  if (error || id < 1) return std::nullopt;
  return id;
}

Problem problem(std::optional<std::int64_t> id, Code code, std::string text) {
  return {id, code, std::move(text)};
}

/// Reads the parameters of a query, one function for each; each returns what was wanted where it can't be
/// read.
class QueryParameters {
 public:
  using Wanted = std::optional<std::string_view>;

  QueryParameters(const json::object& parameters, const ClassSettings& query_class,
                  const std::vector<TenantSettings>& tenants)
      : parameters_(parameters), class_(query_class), tenants_(tenants) {}

  /// Reads all of them, in the order in which faults are reported.
  Wanted read_into(Query& query) const {
    using Reader = Wanted (QueryParameters::*)(Query&) const;
    constexpr std::array<Reader, 9> readers{
        &QueryParameters::read_trace,    &QueryParameters::read_client_timeout,
        &QueryParameters::read_repeated, &QueryParameters::read_idempotency_key,
        &QueryParameters::read_cost,     &QueryParameters::read_memory,
        &QueryParameters::read_tenant,   &QueryParameters::read_ordering_key,
        &QueryParameters::read_statement};
    for (const Reader reader : readers)
      if (const Wanted wanted = (this->*reader)(query)) return wanted;
    return std::nullopt;
  }

 private:
  [[nodiscard]] const json::value* find(std::string_view name) const { return parameters_.if_contains(name); }

  Wanted read_trace(Query& query) const {
    const auto trace = hex_number(find("trace"));
    if (!trace) return "trace; wanted: 16 hex digits";
    query.trace = *trace;
    return std::nullopt;
  }

  Wanted read_client_timeout(Query& query) const {
    const double deadline_ms = static_cast<double>(class_.deadline.count()) * 1e-6;
    const double longest = deadline_ms > 0 ? max_timeout_over_deadline * deadline_ms : max_client_timeout_ms;
    const json::value* value = find("patience");
    const auto timeout =
        value == nullptr ? std::nullopt : number_within(*value, min_client_timeout_ms, longest);
    if (!timeout) return "patience; wanted: milliseconds, up to what the class may take";
    query.client_timeout = milliseconds(*timeout);
    return std::nullopt;
  }

  Wanted read_repeated(Query& query) const {
    const json::value* value = find("redo");
    if (value == nullptr) return std::nullopt;
    const auto redo = number_within(*value, 0, 1);
    if (!redo) return "redo; wanted: 1, or nothing";
    query.repeated = *redo > 0;
    return std::nullopt;
  }

  Wanted read_idempotency_key(Query& query) const {
    if (class_.idempotency != Idempotency::idempotent_with_key) return std::nullopt;
    constexpr std::string_view wanted = "nonce; wanted: 32 hex digits";
    const json::value* value = find("nonce");
    if (value == nullptr || !value->is_string()) return wanted;
    query.idempotency_key = std::string_view(value->get_string());
    if (!hex_digits(query.idempotency_key, idempotency_key_digits)) return wanted;
    return std::nullopt;
  }

  Wanted read_cost(Query& query) const {
    const json::value* value = find("weight");
    if (value == nullptr) return std::nullopt;
    const auto cost = number_within(*value, 0, max_cost_ms);
    if (!cost) return "weight; wanted: milliseconds of work, a day at most";
    query.cost = milliseconds(*cost);
    return std::nullopt;
  }

  Wanted read_memory(Query& query) const {
    const json::value* value = find("need_mb");
    if (value == nullptr) return std::nullopt;
    const auto memory = number_within(*value, 0, max_memory_mb);
    if (!memory) return "need_mb; wanted: megabytes";
    query.memory_mb = *memory;
    return std::nullopt;
  }

  Wanted read_tenant(Query& query) const {
    query.tenant = static_cast<std::uint32_t>(tenants_.size());  // none
    const json::value* value = find("customer");
    if (value == nullptr || tenants_.empty()) return std::nullopt;
    constexpr std::string_view wanted = "customer; wanted: one of the settings' tenants";
    if (!value->is_string()) return wanted;
    const auto has_name = [value](const TenantSettings& tenant) {
      return value->get_string() == tenant.name;
    };
    const auto found = std::find_if(tenants_.begin(), tenants_.end(), has_name);
    if (found == tenants_.end()) return wanted;
    query.tenant = static_cast<std::uint32_t>(found - tenants_.begin());
    return std::nullopt;
  }

  Wanted read_ordering_key(Query& query) const {
    if (!class_.ordered_by_key) return std::nullopt;
    const auto key = hex_number(find("entity"));
    if (!key) return "entity; wanted: 16 hex digits";
    query.ordering_key = std::max<std::uint64_t>(*key, 1);  // zero says that there is none
    return std::nullopt;
  }

  Wanted read_statement(Query& query) const {
    constexpr std::string_view wanted = "content; wanted: the statement, in base64";
    const json::value* value = find("content");
    if (value == nullptr || !value->is_string()) return wanted;
    auto statement = from_base64(value->get_string());
    if (!statement || statement->empty()) return wanted;
    query.statement = std::move(*statement);
    return std::nullopt;
  }

  const json::object& parameters_;
  const ClassSettings& class_;
  const std::vector<TenantSettings>& tenants_;
};

CancelRequest read_cancel_request(std::optional<std::int64_t> id, const json::value* parameters) {
  CancelRequest forget;
  forget.id = id;
  if (parameters == nullptr || !parameters->is_object()) return forget;
  forget.trace = hex_number(parameters->get_object().if_contains("trace"));
  forget.request = id_of(parameters->get_object().if_contains("id"));
  return forget;
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
  if (error) return problem({}, Code::parse_error, "no JSON: " + error.message());
  if (!parsed.is_object())
    return problem({}, Code::invalid_request, "wanted: one object; batches are not taken");
  const json::object& message = parsed.get_object();
  const auto id = id_of(message.if_contains("id"));
  const json::value* version = message.if_contains("jsonrpc");
  if (version == nullptr || !version->is_string() || version->get_string() != "2.0")
    return problem(id, Code::invalid_request, "jsonrpc; wanted: \"2.0\"");
  const json::value* method = message.if_contains("method");
  if (method == nullptr || !method->is_string())
    return problem(id, Code::invalid_request, "method; wanted: a class's name");
  const std::string_view name(method->get_string());
  const json::value* parameters = message.if_contains("params");
  if (name == "forget") return read_cancel_request(id, parameters);
  if (!id) return problem({}, Code::invalid_request, "id; wanted: a number that counts from 1");
  if (name == "isWell") return HealthCheck{*id};
  return read_query(*id, name, parameters);
}

Message CallReader::read_query(std::int64_t id, std::string_view class_name,
                               const json::value* parameters) const {
  const auto has_name = [class_name](const ClassSettings& settings) { return settings.name == class_name; };
  const auto found = std::find_if(classes_.begin(), classes_.end(), has_name);
  if (found == classes_.end())
    return problem(id, Code::unknown_method, "method; wanted: a class, forget or isWell");
  if (parameters == nullptr || !parameters->is_object())
    return problem(id, Code::invalid_params, "params; wanted: an object");
  Query query;
  query.id = id;
  query.class_index = static_cast<std::uint32_t>(found - classes_.begin());
  const QueryParameters reader(parameters->get_object(), *found, tenants_);
  if (const auto wanted = reader.read_into(query))
    return problem(id, Code::invalid_params, std::string(*wanted));
  return query;
}

void LineCutter::feed(std::string_view bytes) {
  if (too_long_) return;
  if (at_ > 0 && at_ == bytes_.size()) {
    bytes_.clear();
    at_ = 0;
    searched_ = 0;
  }
  bytes_.append(bytes);
}

void LineCutter::give_up_line() {
  too_long_ = true;
  std::string().swap(bytes_);
  at_ = 0;
}

void LineCutter::wait_for_more() {
  bytes_.erase(0, at_);
  at_ = 0;
  searched_ = bytes_.size();
  if (bytes_.empty() && bytes_.capacity() > idle_capacity) bytes_.shrink_to_fit();
}

std::optional<std::string_view> LineCutter::next() {
  if (too_long_) return std::nullopt;
  const auto end = bytes_.find('\n', std::max(at_, searched_));
  const std::size_t length = std::min(end, bytes_.size()) - at_;
  if (length > max_bytes_) {
    give_up_line();
    return std::nullopt;
  }
  if (end == std::string::npos) {
    wait_for_more();
    return std::nullopt;
  }
  std::string_view line = std::string_view(bytes_).substr(at_, length);
  at_ = end + 1;
  searched_ = 0;
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

void put_result(std::string& out, std::int64_t id, std::string_view body) {
  out.reserve(out.size() + body.size() * 4 / 3 + result_overhead);
  put_id(out, id);
  out += R"(,"result":{"content":")";
  put_base64(out, body);
  out += "\"}}\n";
}

void put_error(std::string& out, std::optional<std::int64_t> id, Code code, std::string_view text,
               Duration pause) {
  put_id(out, id);
  out += R"(,"error":{"code":)" + std::to_string(static_cast<std::int32_t>(code)) + R"(,"message":)";
  out += json::serialize(json::string(text));
  if (pause.count() > 0) {
    out += R"(,"data":{"pause":)" +
           std::to_string(std::chrono::ceil<std::chrono::milliseconds>(pause).count()) + "}";
  }
  out += "}}\n";
}

void put_health(std::string& out, std::int64_t id, bool is_ready) {
  put_id(out, id);
  out += is_ready ? ",\"result\":{\"green\":true}}\n" : ",\"result\":{\"green\":false}}\n";
}

void put_done(std::string& out, std::int64_t id) {
  put_id(out, id);
  out += ",\"result\":{}}\n";
}

}  // namespace paddlestand::jsonrpc
