/// What the clients of a fault run write and read: lines of the platform's JSON-RPC.
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
  std::int64_t id = 0;  // on its connection
  std::uint64_t trace = 0;
  RequestClass request_class{};
  std::int64_t client_timeout_ms = 0;
};

/// The request's line, with its end.
std::string request_line(const ClientRequest& request);
/// The line of a cancel, with its end.
std::string cancel_line(std::uint64_t trace);

/// A line of a manager that answers a request.
class ClientAnswer {
 public:
  /// Nothing for a line that is no JSON object with an id.
  static std::optional<ClientAnswer> parse(std::string_view line);

  [[nodiscard]] std::int64_t id() const { return object_.at("id").as_int64(); }
  /// One of answer_detail, for the request of this trace id. Throws where neither a result nor an error is in
  /// the answer.
  [[nodiscard]] const char* detail(std::uint64_t trace) const;

 private:
  explicit ClientAnswer(boost::json::object object) : object_(std::move(object)) {}

  boost::json::object object_;
};

}  // namespace paddlestand::faults
