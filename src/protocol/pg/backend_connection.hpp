/// The manager's side of a connection to an engine, without I/O (chapter 55.2 of PostgreSQL's manual): login,
/// one query at a time, and its answer, split into what the client gets, byte for byte, and what the core is
/// notified of.
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
  std::vector<bool>
      parse_shown;  ///< for each Parse in it: whether the client sent it, and gets its ParseComplete
  std::map<std::string, std::string>
      settings;  ///< of the session, where they differ from the engine's defaults
};

struct BackendReady {};  ///< logged in
/// The engine rejected the login.
struct BackendRefused {
  bool full = false;  ///< for want of capacity
  Fields error;
};
/// The engine violated the protocol: the connection can't be used any more.
struct BackendBroken {
  std::string what;
};
struct BackendAnswerPart {};  ///< answer() holds more bytes
/// ReadyForQuery: the answer is complete.
struct BackendAnswerEnd {
  core::Ending ending{};
  bool reusable = true;  ///< no transaction was left open
  std::optional<Duration> work;  ///< execution time, as the engine reports it
  std::optional<double> memory_mb;
  LoadReport report;
  std::uint32_t parses_shown = 0;  ///< ParseComplete messages for Parse messages of the client
  std::string error_code;  ///< SQLSTATE of the engine's error; empty where there was none
};
/// A notice of the engine about the query in flight.
struct BackendProgress {
  ProgressKind kind{};
  double level{};
};
using BackendEvent = std::variant<BackendReady, BackendRefused, BackendBroken, BackendAnswerPart,
                                  BackendAnswerEnd, BackendProgress>;

/// What a connection logs in with; an empty password: none is sent.
struct EngineLogin {
  std::string user, database, application, password;
  std::string nonce;  ///< for SCRAM: random, used once
};

/// One connection. The host writes the bytes returned, and feeds what it reads.
class BackendConnection {
 public:
  BackendConnection() = default;

  /// The StartupMessage, to be written first.
  std::string start(EngineLogin login);

  /// The bytes that send a query to the engine, its connection idle: the resource grant (`memory_mb`: zero
  /// leaves it to the engine) and the settings where they differ from what the connection has set, then the
  /// query.
  std::string flight(const EngineQuery& query, std::uint8_t priority, double memory_mb);
  /// The bytes of a health check: an empty query.
  std::string probe();

  /// Handles bytes from the engine: appends their events to `events`, and bytes to be written back during the
  /// login to `reply`.
  void feed(std::string_view bytes, std::vector<BackendEvent>& events, std::string& reply);

  [[nodiscard]] CancelKey key() const { return key_; }
  /// Bytes of the answer for the client, to be taken by the host.
  std::string& answer() { return answer_; }
  /// Whether the last message of the answer so far is incomplete.
  [[nodiscard]] bool mid_message() const { return pass_through_bytes_ > 0; }

 private:
  using Events = std::vector<BackendEvent>;

  enum class State : std::uint8_t {
    starting,  ///< login
    idle,
    setting,  ///< SET and RESET ahead of the query are being answered
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
  void break_off(std::string reason, Events& events);

  State state_ = State::starting;
  EngineLogin login_;
  std::optional<ScramClient> scram_;
  CancelKey key_;
  std::string buffer_;  // an incomplete message
  std::size_t pass_through_bytes_ = 0;  // of a large message, still to come
  std::string answer_;
  std::map<std::string, std::string> settings_;  // that this connection has set at the engine
  std::vector<bool> parse_shown_;  // of the query in flight
  std::size_t parses_completed_ = 0;
  bool has_rows_ = false;  // in the answer so far
  BackendAnswerEnd end_;  // of the answer so far
};

/// The statements that change an engine's settings from `current` to `wanted`: SET of what differs, RESET of
/// what is not wanted any more. Empty where nothing differs.
std::string settings_change(const std::map<std::string, std::string>& current,
                            const std::map<std::string, std::string>& wanted);

}  // namespace paddlestand::pg
