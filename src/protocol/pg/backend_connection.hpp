/// The manager's side of a connection to an engine, without I/O (chapter 55.2 of PostgreSQL's manual): login
/// and one query at a time. An answer is split into the bytes for the client, which are passed on unchanged,
/// and events for the core.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/types.hpp"
#include "messages.hpp"
#include "scram.hpp"

namespace paddlestand::pg {

/// A complete query for an engine, which may be sent more than once.
struct EngineQuery {
  std::string bytes;  ///< a Query message, or the messages of an extended batch, Sync included
  /// For each Parse: whether the client sent it and receives its ParseComplete.
  std::vector<bool> parse_from_client;
  /// The session's settings that differ from the engine's defaults.
  std::map<std::string, std::string> settings;
};

struct BackendReady {};  ///< logged in
/// The engine rejected the login.
struct BackendLoginRejected {
  bool full = false;  ///< the engine has no capacity
  Fields error;
};
/// The engine violated the protocol: the connection is no longer usable.
struct BackendProtocolError {
  std::string what;
};
struct BackendAnswerPart {};  ///< more bytes were appended to answer()
/// ReadyForQuery: the answer is complete.
struct BackendAnswerEnd {
  core::Ending ending{};
  bool reusable = true;  ///< no transaction is open
  std::optional<Duration> work;  ///< execution time reported by the engine
  std::optional<double> memory_mb;
  LoadReport report;
  std::uint32_t client_parses_completed = 0;  ///< number of completed Parse messages that the client sent
  std::string error_code;  ///< SQLSTATE of the engine's error; empty if there was none
};
/// A progress report of the engine about the query in flight.
struct BackendProgress {
  ProgressKind kind{};
  double level{};
};
using BackendEvent = std::variant<BackendReady, BackendLoginRejected, BackendProtocolError, BackendAnswerPart,
                                  BackendAnswerEnd, BackendProgress>;

/// The login of a connection. An empty password is not sent.
struct EngineLogin {
  std::string user, database, application, password;
  std::string nonce;  ///< for SCRAM: random, used once
};

/// The state of one connection. The host writes the returned bytes, and feeds the bytes that it reads.
class BackendConnection {
 public:
  BackendConnection() = default;

  /// Returns the StartupMessage, to be written first.
  std::string start(EngineLogin login);

  /// Returns the bytes that send a query over an idle connection: changes of the resource grant and of the
  /// settings if they differ from those set on the connection, then the query. `memory_mb`: zero leaves the
  /// memory to the engine.
  std::string encode_query(const EngineQuery& query, std::uint8_t priority, double memory_mb);
  /// Returns the bytes of a health check, an empty query.
  std::string probe();

  /// Handles bytes from the engine: appends events to `events`, and bytes to be sent during the login to
  /// `reply`.
  void feed(std::string_view bytes, std::vector<BackendEvent>& events, std::string& reply);

  [[nodiscard]] CancelKey key() const { return key_; }
  /// The buffered part of the answer for the client, which the host moves from or clears.
  std::string& answer() { return answer_; }
  /// Whether the last message of the answer so far is incomplete.
  [[nodiscard]] bool mid_message() const { return pass_through_bytes_ > 0; }

 private:
  using Events = std::vector<BackendEvent>;

  enum class State : std::uint8_t {
    starting,  ///< login
    idle,
    setting,  ///< the SET and RESET statements before the query are being answered
    answering,
    broken
  };

  void begin_answer(State state);
  void split(std::string_view bytes, Events& events, std::string& reply);
  bool pass_through(std::string_view& bytes);
  bool begin_pass_through(char type, std::size_t message_bytes);
  void on_message(char type, std::string_view body, Events& events, std::string& reply);
  void on_startup(char type, std::string_view body, Events& events, std::string& reply);
  void on_authentication(std::string_view body, Events& events, std::string& reply);
  void on_setting_answer(char type, std::string_view body);
  void on_idle(char type, std::string_view body, Events& events);
  void on_answer(char type, std::string_view body, Events& events);
  void on_parse_complete(std::string_view body, Events& events);
  void on_error(std::string_view body, Events& events);
  void on_ready(std::string_view body, Events& events);
  void on_parameter_status(std::string_view body);
  bool on_engine_notice(std::string_view body, Events& events);
  void report_protocol_error(std::string reason, Events& events);

  State state_ = State::starting;
  EngineLogin login_;
  std::optional<ScramClient> scram_;
  CancelKey key_;
  std::string buffer_;  // an incomplete message
  std::size_t pass_through_bytes_ = 0;  // remaining bytes of a message that is passed on in parts
  std::string answer_;
  std::map<std::string, std::string> settings_;  // set on this connection at the engine
  std::vector<bool> parse_from_client_;  // for the query in flight
  std::size_t parses_completed_ = 0;
  bool has_rows_ = false;  // whether the answer so far contains rows
  BackendAnswerEnd end_;  // values reported in the answer so far
};

/// The statements that change an engine's settings from `current` to `target`: SET for settings that differ,
/// RESET for settings that only `current` has. Empty if nothing differs.
std::string settings_change(const std::map<std::string, std::string>& current,
                            const std::map<std::string, std::string>& target);

}  // namespace paddlestand::pg
