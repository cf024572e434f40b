// The manager's side of a channel to an engine, sans-I/O: startup, a query's flight, the answer's messages
// cut and sorted into what goes to the client and what is told to the core. Answers' bytes pass through
// verbatim.
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

// A query as an engine gets it, whole and ready to be sent again.
struct EngineQuery {
  std::string bytes;  // a Query message, or the messages of an extended batch, Sync included
  std::vector<bool> parse_shown;  // for each Parse in it: whether the client sent it, and sees its completion
  std::map<std::string, std::string> settings;  // of the session, where they differ from the engine's own
};

struct BackendReady {};
struct BackendRefused {  // at startup
  bool full = false;
  Fields error;
};
struct BackendBroken {  // what came is not the protocol
  std::string what;
};
struct BackendAnswerPart {};  // answer() holds more
struct BackendAnswerEnd {
  core::Ending ending{};
  bool reusable = true;
  std::optional<Duration> work;
  std::optional<double> memory_mb;
  LoadReport report;
  std::uint32_t parses_shown = 0;  // completions of the client's own Parse messages
  std::string error_code;  // of the engine's error, if there was one
};
struct BackendProgress {
  ProgressKind kind{};
  double level{};
};
using BackendEvent = std::variant<BackendReady, BackendRefused, BackendBroken, BackendAnswerPart,
                                  BackendAnswerEnd, BackendProgress>;

struct EngineLogin {
  std::string user, database, application, password;
  std::string nonce;  // for SCRAM
};

class BackendConnection {
 public:
  BackendConnection() = default;

  // Bytes to be written first.
  std::string start(EngineLogin login);

  // The flight of a query: terms and settings where they differ from what the channel has, then the query.
  std::string flight(const EngineQuery& query, std::uint8_t priority, double memory_mb);
  std::string probe();

  // Takes bytes from the engine; what follows is appended to `events`. Bytes to be written back during
  // startup are appended to `reply`.
  void feed(std::string_view bytes, std::vector<BackendEvent>& events, std::string& reply);

  [[nodiscard]] CancelKey key() const { return key_; }
  // Bytes of the answer for the client, to be taken by the host.
  std::string& answer() { return answer_; }
  // Part of a large message was given out, and its rest is to come.
  [[nodiscard]] bool mid_message() const { return pass_left_ > 0; }

 private:
  enum class State : std::uint8_t { starting, idle, prefix, answering, broken };

  void cut(std::string_view bytes, std::vector<BackendEvent>& events, std::string& reply);
  void on_message(char type, std::string_view body, std::vector<BackendEvent>& events, std::string& reply);
  void on_startup(char type, std::string_view body, std::vector<BackendEvent>& events, std::string& reply);
  void on_answer(char type, std::string_view body, std::vector<BackendEvent>& events);
  bool on_parameter(std::string_view body);
  bool on_notice(std::string_view body, std::vector<BackendEvent>& events);
  void break_off(std::string what, std::vector<BackendEvent>& events);

  State state_ = State::starting;
  EngineLogin login_;
  std::optional<ScramClient> scram_;
  CancelKey key_;
  std::string buffer_;  // less than one message that is handled whole
  std::size_t pass_left_ = 0;  // of a large message that is passed on as it comes
  std::string answer_;
  std::map<std::string, std::string> set_;  // what this channel has set at the engine
  std::vector<bool> parse_shown_;
  std::size_t parses_ = 0;
  bool rows_ = false;
  BackendAnswerEnd end_;
};

// Settings as they are told to an engine: SET of what differs, RESET of what is not wanted any more.
std::string settings_change(const std::map<std::string, std::string>& has,
                            const std::map<std::string, std::string>& wants);

std::map<std::string, std::string> terms(std::uint8_t priority, double memory_mb);

}  // namespace paddlestand::pg
