#include "client_protocol.hpp"

#include <array>
#include <cstdio>

#include "event_log.hpp"
#include "protocol/base64.hpp"

namespace paddlestand::faults {
namespace {

constexpr std::int64_t rejected_code = -32001;

std::string hex(std::uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
  return text.data();
}

/// Each request with an idempotency key has an entity of its own.
std::string key_members(const ClientRequest& request) {
  if (request.request_class != RequestClass::load) return "";
  const std::uint64_t trace = request.trace;
  return ",\"nonce\":\"" + hex(trace) + hex(~trace) + "\",\"entity\":\"" + hex(trace | 1U) + "\"";
}

std::string row(std::uint64_t trace, int number) {
  return hex(trace) + "\t" + std::to_string(number) + "\trow\n";
}

}  // namespace

const char* name_of(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::lookup: return "lookup";
    case RequestClass::load: return "load";
    case RequestClass::settle: return "settle";
  }
  return "unknown";
}

std::string request_line(const ClientRequest& request) {
  return "{\"jsonrpc\":\"2.0\",\"id\":" + std::to_string(request.id) + ",\"method\":\"" +
         name_of(request.request_class) + "\",\"params\":{\"trace\":\"" + hex(request.trace) +
         "\",\"patience\":" + std::to_string(request.client_timeout_ms) + ",\"weight\":20,\"content\":\"" +
         base64("SELECT 1 FROM sales_1.orders") + "\"" + key_members(request) + "}}\n";
}

std::string cancel_line(std::uint64_t trace) {
  return "{\"jsonrpc\":\"2.0\",\"method\":\"forget\",\"params\":{\"trace\":\"" + hex(trace) + "\"}}\n";
}

std::optional<ClientAnswer> ClientAnswer::parse(std::string_view line) {
  boost::json::error_code error;
  const auto value = boost::json::parse(line, error);
  const auto* object = error ? nullptr : value.if_object();
  if (object == nullptr || !object->contains("id") || !object->at("id").is_int64()) return std::nullopt;
  return ClientAnswer(*object);
}

const char* ClientAnswer::detail(std::uint64_t trace) const {
  if (const auto* error = object_.if_contains("error")) {
    const bool rejected = error->as_object().at("code").as_int64() == rejected_code;
    return rejected ? answer_detail::rejected : answer_detail::failed;
  }
  const auto& content = object_.at("result").as_object().at("content").as_string();
  const auto rows = from_base64(std::string_view(content));
  if (!rows) return answer_detail::wrong;
  const std::string one_row = row(trace, 0);
  const std::string three_rows = one_row + row(trace, 1) + row(trace, 2);
  return *rows == one_row || *rows == three_rows ? answer_detail::served : answer_detail::wrong;
}

}  // namespace paddlestand::faults
