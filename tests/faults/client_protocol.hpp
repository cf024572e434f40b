/// The client side of the platform's line-based JSON-RPC protocol in a fault run.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace paddlestand::faults {

enum class RequestClass : std::uint8_t {
  lookup,  // safe to retry
  load,  // with an idempotency key
  settle  // must not run twice
};

const char* name_of(RequestClass request_class);

struct ClientRequest {
  std::int64_t id = 0;  // unique on its connection
  std::uint64_t trace = 0;
  RequestClass request_class{};
  std::int64_t client_timeout_ms = 0;
};

/// The request as a line, with its terminator.
std::string request_line(const ClientRequest& request);
/// The cancel as a line, with its terminator.
std::string cancel_line(std::uint64_t trace);

/// An answer from a manager.
class ClientAnswer {
 public:
  /// Returns nothing if the line is not a JSON object with an integer id.
  static std::optional<ClientAnswer> parse(std::string_view line);

  [[nodiscard]] std::int64_t id() const { return object_.at("id").as_int64(); }
  /// How the request with this trace id was answered: a value of answer_detail. Throws if the answer has
  /// neither a result nor an error.
  [[nodiscard]] const char* detail(std::uint64_t trace) const;

 private:
  explicit ClientAnswer(boost::json::object object) : object_(std::move(object)) {}

  boost::json::object object_;
};

}  // namespace paddlestand::faults
