#include "calls.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>

#include "protocol/base64.hpp"

namespace paddlestand::jsonrpc {
namespace {

namespace json = boost::json;

constexpr std::size_t most_depth = 8;
constexpr double max_client_timeout_ms = 3600e3;  // where a class has no deadline
constexpr double client_timeout_slack =
    2;  // of a class's deadline: what is longer is no figure of a client's
constexpr double most_cost_ms = 24 * 3600e3;
constexpr double most_memory_mb = 1e8;

bool hex_digits(std::string_view text, std::size_t count) {
  return text.size() == count && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

std::optional<std::uint64_t> hex_number(const json::value* value) {
  if (value == nullptr || !value->is_string()) return std::nullopt;
  const json::string& text = value->get_string();
  if (!hex_digits({text.data(), text.size()}, 16)) return std::nullopt;
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, 16);
  return number;
}

std::optional<double> figure(const json::value& value, double least, double most) {
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

Message read_query(std::int64_t id, std::uint32_t index, const ClassSettings& k,
                   const std::vector<TenantSettings>& tenants, const json::object& params) {
  const auto wrong = [&](const char* wanted) { return problem(id, Code::invalid_params, wanted); };
  Query query;
  query.id = id;
  query.class_index = index;
  const auto trace = hex_number(params.if_contains("trace"));
  if (!trace) return wrong("trace; wanted: 16 hex digits");
  query.trace = *trace;
  const double deadline = static_cast<double>(k.deadline.count()) * 1e-6;
  const double longest = deadline > 0 ? client_timeout_slack * deadline : max_client_timeout_ms;
  const json::value* value = params.if_contains("patience");
  const auto client_timeout = value == nullptr ? std::nullopt : figure(*value, 1e-3, longest);
  if (!client_timeout) return wrong("patience; wanted: milliseconds, up to what the class may take");
  query.client_timeout = milliseconds(*client_timeout);
  if (value = params.if_contains("redo"); value != nullptr) {
    const auto redo = figure(*value, 0, 1);
    if (!redo) return wrong("redo; wanted: 1, or nothing");
    query.repeated = *redo > 0;
  }
  if (k.repeat == Idempotency::idempotent_with_key) {
    value = params.if_contains("nonce");
    if (value == nullptr || !value->is_string()) return wrong("nonce; wanted: 32 hex digits");
    query.nonce = std::string_view(value->get_string());
    if (!hex_digits(query.nonce, 32)) return wrong("nonce; wanted: 32 hex digits");
  }
  if (value = params.if_contains("weight"); value != nullptr) {
    const auto cost = figure(*value, 0, most_cost_ms);
    if (!cost) return wrong("weight; wanted: milliseconds of work, a day at most");
    query.cost = milliseconds(*cost);
  }
  if (value = params.if_contains("need_mb"); value != nullptr) {
    const auto memory = figure(*value, 0, most_memory_mb);
    if (!memory) return wrong("need_mb; wanted: megabytes");
    query.memory_mb = *memory;
  }
  query.tenant = static_cast<std::uint32_t>(tenants.size());  // none
  if (value = params.if_contains("customer"); value != nullptr && !tenants.empty()) {
    const auto named = value->is_string()
                           ? std::find_if(tenants.begin(), tenants.end(),
                                          [&](const auto& t) { return value->get_string() == t.name; })
                           : tenants.end();
    if (named == tenants.end()) return wrong("customer; wanted: one of the settings' tenants");
    query.tenant = static_cast<std::uint32_t>(named - tenants.begin());
  }
  if (k.ordered_by_key) {
    const auto key = hex_number(params.if_contains("entity"));
    if (!key) return wrong("entity; wanted: 16 hex digits");
    query.ordering_key = std::max<std::uint64_t>(*key, 1);  // zero says that there is none
  }
  value = params.if_contains("content");
  if (value == nullptr || !value->is_string()) return wrong("content; wanted: the statement, in base64");
  auto statement = from_base64(value->get_string());
  if (!statement || statement->empty()) return wrong("content; wanted: the statement, in base64");
  query.statement = std::move(*statement);
  return query;
}

void put_id(std::string& out, std::optional<std::int64_t> id) {
  out += R"({"jsonrpc":"2.0","id":)";
  out += id ? std::to_string(*id) : "null";
}

}  // namespace

Message CallReader::read(std::string_view line) const {
  json::parse_options options;
  options.max_depth = most_depth;
  json::error_code error;
  const json::value parsed = json::parse(line, error, {}, options);
  if (error) return problem({}, Code::parse_error, "no JSON: " + error.message());
  if (!parsed.is_object())
    return problem({}, Code::invalid_request, "wanted: one object; batches are not taken");
  const json::object& message = parsed.get_object();
  const json::value* id_value = message.if_contains("id");
  const auto id = id_of(id_value);
  const json::value* version = message.if_contains("jsonrpc");
  if (version == nullptr || !version->is_string() || version->get_string() != "2.0")
    return problem(id, Code::invalid_request, "jsonrpc; wanted: \"2.0\"");
  const json::value* method = message.if_contains("method");
  if (method == nullptr || !method->is_string())
    return problem(id, Code::invalid_request, "method; wanted: a class's name");
  const json::value* params = message.if_contains("params");
  const std::string_view name(method->get_string().data(), method->get_string().size());
  if (name == "forget") {
    Forget forget;
    forget.id = id;
    if (params != nullptr && params->is_object()) {
      forget.trace = hex_number(params->get_object().if_contains("trace"));
      forget.request = id_of(params->get_object().if_contains("id"));
    }
    return forget;
  }
  if (!id) return problem({}, Code::invalid_request, "id; wanted: a number that counts from 1");
  if (name == "isWell") return WellAsked{*id};
  const auto found =
      std::find_if(classes_.begin(), classes_.end(), [&](const ClassSettings& k) { return k.name == name; });
  if (found == classes_.end())
    return problem(id, Code::unknown_method, "method; wanted: a class, forget or isWell");
  if (params == nullptr || !params->is_object())
    return problem(id, Code::invalid_params, "params; wanted: an object");
  return read_query(*id, static_cast<std::uint32_t>(found - classes_.begin()), *found, tenants_,
                    params->get_object());
}

void LineCutter::feed(std::string_view bytes) {
  if (too_long_) return;
  if (at_ > 0 && at_ == bytes_.size()) {
    bytes_.clear();
    at_ = sought_ = 0;
  }
  bytes_.append(bytes);
}

std::optional<std::string_view> LineCutter::next() {
  if (too_long_) return std::nullopt;
  const auto end = bytes_.find('\n', std::max(at_, sought_));
  if (end == std::string::npos || end - at_ > most_) {
    if (end != std::string::npos || bytes_.size() - at_ > most_) {
      too_long_ = true;
      std::string().swap(bytes_);
      at_ = 0;
      return std::nullopt;
    }
    bytes_.erase(0, at_);
    at_ = 0;
    sought_ = bytes_.size();
    if (bytes_.empty() && bytes_.capacity() > 16 * 1024) bytes_.shrink_to_fit();
    return std::nullopt;
  }
  std::string_view line = std::string_view(bytes_).substr(at_, end - at_);
  at_ = end + 1;
  sought_ = 0;
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

void put_result(std::string& out, std::int64_t id, std::string_view body) {
  out.reserve(out.size() + body.size() * 4 / 3 + 96);
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

void put_well(std::string& out, std::int64_t id, bool is_ready) {
  put_id(out, id);
  out += is_ready ? ",\"result\":{\"green\":true}}\n" : ",\"result\":{\"green\":false}}\n";
}

void put_done(std::string& out, std::int64_t id) {
  put_id(out, id);
  out += ",\"result\":{}}\n";
}

}  // namespace paddlestand::jsonrpc
