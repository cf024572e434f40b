/// Sessions and connections after their login, and messages for them.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/pg/backend_connection.hpp"
#include "protocol/pg/frame.hpp"
#include "protocol/pg/frontend_session.hpp"
#include "protocol/pg/messages.hpp"

namespace paddlestand::pg::test {

/// The types of the messages in `bytes`, which must be complete.
inline std::string types_of(const std::string& bytes) {
  std::string types;
  FrameReader reader(1U << 20U);
  reader.feed(bytes);
  while (const auto frame = reader.next()) types.push_back(frame->type);
  EXPECT_EQ(reader.buffered_bytes(), 0U);
  return types;
}

/// The SQLSTATE of the first error; empty if there is none.
inline std::string error_code(const std::string& bytes) {
  FrameReader reader(1U << 20U);
  reader.feed(bytes);
  while (const auto frame = reader.next())
    if (frame->type == 'E') return parse_fields(frame->body)->code;
  return {};
}

inline std::shared_ptr<const Users> trusted_users() {
  auto users = std::make_shared<Users>();
  users->trust = true;
  return users;
}

inline std::string startup_message() {
  std::string message;
  const std::vector<std::pair<std::string, std::string>> parameters{{"user", "ann"},
                                                                    {"database", "charts"},
                                                                    {"options", "-c statement_timeout=900ms"},
                                                                    {"application_name", "psql"}};
  put_startup(message, parameters);
  return message;
}

/// A frontend session after its login.
class LoggedInSession {
 public:
  explicit LoggedInSession(FrontendSettings settings = {})
      : frontend(settings, trusted_users(), {7, 8}, "nonce") {
    frontend.feed(startup_message());
    EXPECT_TRUE(std::holds_alternative<FrontendStarted>(*frontend.next()));
    EXPECT_FALSE(frontend.next());
    frontend.out().clear();
  }
  /// The next event, if it is a request.
  std::optional<FrontendRequest> next_request() {
    const auto event = frontend.next();
    if (!event) return std::nullopt;
    const auto* request = std::get_if<FrontendRequest>(&*event);
    return request == nullptr ? std::nullopt : std::optional(*request);
  }
  /// The session's output since the last call.
  std::string extract_output() {
    std::string output;
    output.swap(frontend.out());
    return output;
  }
  FrontendSession frontend;
};

/// Messages of the extended protocol, without parameters, for the unnamed portal.
inline void append_parse(std::string& out, const char* name, const char* text) {
  put_parse(out, name, text, {"\0\0", 2});
}
inline void append_bind(std::string& out, const char* name) { put_bind(out, "", name, {"\0\0\0\0\0\0", 6}); }
inline void append_execute(std::string& out) { put_raw(out, 'E', {"\0\0\0\0\0", 5}); }

/// An engine's answer to a SET.
inline std::string answer_to_set() {
  std::string answer;
  put_complete(answer, "SET");
  put_ready(answer, 'I');
  return answer;
}

/// An engine's answer with one row and the engine's reports.
inline std::string engine_answer(const char* value, char transaction_status = 'I') {
  std::string answer;
  const Column column{"v", 25, -1};
  put_row_description(answer, {&column, 1});
  const std::string_view field = value;
  put_row(answer, {&field, 1});
  put_complete(answer, "SELECT 1");
  put_parameter(answer, "paddlestand.inflight", "3");
  put_parameter(answer, "paddlestand.work_ms", "12.5");
  put_ready(answer, transaction_status);
  return answer;
}

/// A connection to an engine after its login.
class LoggedInConnection {
 public:
  LoggedInConnection() {
    connection.start({"u", "d", "a", "", "n"});
    std::string login;
    put_authentication(login, 0);
    put_key(login, {5, 6});
    put_ready(login, 'I');
    feed(login);
    EXPECT_TRUE(std::holds_alternative<BackendReady>(events.at(0)));
    events.clear();
  }
  void feed(std::string_view bytes) { connection.feed(bytes, events, reply); }
  BackendConnection connection;
  std::vector<BackendEvent> events;
  std::string reply;
};

inline EngineQuery simple_query(const char* text) {
  EngineQuery query;
  put_query(query.bytes, text);
  return query;
}

}  // namespace paddlestand::pg::test
