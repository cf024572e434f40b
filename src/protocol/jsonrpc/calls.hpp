// JSON-RPC 2.0 as clients of the platform speak it: one message a line, no batches, the class of a query as
// the method. No I/O.
//
// What is not well formed is told as a Problem and reaches nothing behind it: an engine that is handed a
// field it can't use fails the query, which would speak against the engine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::jsonrpc {

// Errors as numbered by the specification, and the platform's own.
enum class Code : std::int32_t {
  parse_error = -32700,
  invalid_request = -32600,
  unknown_method = -32601,
  invalid_params = -32602,
  failed = -32000,
  refused = -32001,  // trying again is harmless
};

struct Query {
  std::int64_t id{};
  std::uint32_t class_index{};
  std::uint32_t tenant{};  // its place in the settings; behind the last: none
  std::uint64_t trace{};
  Duration client_timeout{};
  bool repeated{};
  std::string nonce;  // of keyed classes
  std::optional<Duration> cost;
  double memory_mb{};  // zero: not told
  std::uint64_t ordering_key{};  // of classes that keep order
  std::string statement;
};
struct Forget {  // its client waits no longer; no answer is owed
  std::optional<std::int64_t> id;  // of this message, where it wants an answer itself
  std::optional<std::int64_t> request;
  std::optional<std::uint64_t> trace;

  [[nodiscard]] bool means(std::int64_t open_request, std::uint64_t open_trace) const {
    return request == open_request || trace == open_trace;
  }
};
struct WellAsked {
  std::int64_t id{};
};
struct Problem {
  std::optional<std::int64_t> id;
  Code code{};
  std::string text;
};
using Message = std::variant<Query, Forget, WellAsked, Problem>;

// Reads messages of clients that ask for these classes, for these tenants. The settings must outlive it.
class CallReader {
 public:
  explicit CallReader(const std::vector<ClassSettings>& classes,
                      const std::vector<TenantSettings>& tenants = none())
      : classes_(classes), tenants_(tenants) {}
  [[nodiscard]] Message read(std::string_view line) const;

 private:
  static const std::vector<TenantSettings>& none() {
    static const std::vector<TenantSettings> nobody;
    return nobody;
  }

  const std::vector<ClassSettings>& classes_;
  const std::vector<TenantSettings>& tenants_;
};

// Cuts what comes into lines. It keeps at most one unfinished line, and no more than `most` bytes of it.
class LineCutter {
 public:
  explicit LineCutter(std::size_t most) : most_(most) {}
  void feed(std::string_view bytes);
  // Valid until the next call; nothing where no whole line is here.
  std::optional<std::string_view> next();
  // The line that is coming in is longer than allowed: nothing more is kept of it, and there is no next one.
  [[nodiscard]] bool too_long() const { return too_long_; }
  [[nodiscard]] bool inside() const { return at_ < bytes_.size(); }
  [[nodiscard]] std::size_t kept() const { return bytes_.size(); }

 private:
  std::size_t most_;
  std::string bytes_;
  std::size_t at_ = 0, sought_ = 0;
  bool too_long_ = false;
};

void put_result(std::string& out, std::int64_t id, std::string_view body);
void put_error(std::string& out, std::optional<std::int64_t> id, Code code, std::string_view text,
               Duration pause = {});
void put_well(std::string& out, std::int64_t id, bool is_ready);
void put_done(std::string& out, std::int64_t id);

}  // namespace paddlestand::jsonrpc
