// The manager's side of a client's session, sans-I/O: startup and authentication, simple queries, extended
// batches up to their Sync, pipelined; named statements, which live here and are prepared at an engine with
// the query that needs them; SET, SHOW and RESET of what drivers set at their start.
//
// One request is under way at a time; messages behind it wait unread in the buffer.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "backend_connection.hpp"
#include "frame.hpp"
#include "messages.hpp"
#include "protocol/sql/scan.hpp"
#include "protocol/sql/tags.hpp"
#include "scram.hpp"

namespace paddlestand::pg {

// What the front asks of its host while a client logs in.
struct Users {
  bool trust = false;  // no password is asked for
  std::map<std::string, Verifier> verifiers;
  std::string mock_secret;  // for users that don't exist
};

struct FrontendSettings {
  std::size_t most_message = 16 * 1024 * 1024;
  std::size_t most_batch = 32 * 1024 * 1024;  // bytes of one extended batch
  std::size_t most_statements = 1000;  // named ones that a session keeps
  std::size_t most_statement_bytes = 16 * 1024 * 1024;  // of their texts together
};

struct FrontendStarted {
  std::string user, database, application;
};
struct FrontendCancelRequest {  // the connection is for this alone
  CancelKey key;
};
struct FrontendRequest {
  EngineQuery query;
  std::string text;  // the statement by which it is classed: the first one of a batch
  sql::Tags tags;  // of its comments
  std::optional<Duration> statement_timeout;
};
struct FrontendClosed {};  // the client said goodbye, or must be closed: out() holds the last words
using FrontendEvent = std::variant<FrontendStarted, FrontendCancelRequest, FrontendRequest, FrontendClosed>;

class FrontendSession {
 public:
  FrontendSession(const FrontendSettings& settings, std::shared_ptr<const Users> users, CancelKey key,
                  std::string nonce);

  // Bytes from the client.
  void feed(std::string_view bytes) { frames_.feed(bytes); }
  // What comes next, if anything: called until it gives nothing. While a request is under way it gives
  // nothing.
  std::optional<FrontendEvent> next();

  // The request's answer went to out() in whole; or an error stands for it. Then what the client waits for.
  void request_done(const BackendAnswerEnd& end);
  void request_failed(const Fields& error);

  // Bytes for the client, to be taken by the host.
  std::string& out() { return out_; }

  [[nodiscard]] bool busy() const { return busy_; }
  [[nodiscard]] bool started() const { return state_ == State::ready; }
  [[nodiscard]] std::size_t waiting() const { return frames_.waiting(); }
  [[nodiscard]] const std::string& user() const { return user_; }
  [[nodiscard]] const std::string& database() const { return database_; }
  [[nodiscard]] const std::string& application() const { return application_; }

 private:
  enum class State : std::uint8_t { startup, password, password_last, ready, skipping, ended };

  struct Prepared {
    std::string text, types;
  };
  struct Batch {  // extended messages since the last Sync
    EngineQuery query;
    std::string text;
    std::string engine_statement;  // whose text the engine's unnamed statement has
    bool has_engine_statement = false;
    bool needs_engine = false;
    std::string local;  // answers of messages that need no engine, while none did
    std::map<std::string, std::string> local_portals;  // bound to statements that the manager answers
    std::vector<std::pair<std::string, Prepared>> parsed;  // by the client's own Parse messages
  };

  std::optional<FrontendEvent> on_startup(std::string_view body);
  std::optional<FrontendEvent> on_password(std::string_view body);
  std::optional<FrontendEvent> on_password_last(std::string_view body);
  std::optional<FrontendEvent> on_message(const Frame& frame);
  std::optional<FrontendEvent> on_query(std::string_view body);
  std::optional<FrontendEvent> finish_batch(bool sync);
  void on_parse(std::string_view body);
  void on_bind(std::string_view body);
  void on_describe(std::string_view body);
  void on_close(std::string_view body);
  void on_execute(std::string_view body);

  // Gives the batch up: one error now, nothing more until its Sync.
  void reject_batch(const Fields& error);
  bool prepare(const std::string& statement);  // at the engine's unnamed statement
  [[nodiscard]] const Prepared* find(const std::string& statement) const;
  std::optional<FrontendEvent> fatal(std::string_view sqlstate, std::string message);
  FrontendEvent welcome();
  // SET, SHOW and RESET, answered here; an error where this one is not carried.
  std::optional<Fields> answer_setting(const std::vector<std::string>& words, std::string& out,
                                       bool described);
  std::optional<Fields> set(const std::string& name, const std::string& value, std::string& out);
  [[nodiscard]] std::string shown(const std::string& name) const;
  bool needs_engine();
  FrontendEvent hand_over(EngineQuery query, std::string text, const sql::Scanned& scanned);
  void adopt(std::uint32_t count);
  void adopt_one(const std::string& name, Prepared prepared);

  FrontendSettings settings_;
  std::shared_ptr<const Users> users_;
  CancelKey key_;
  std::string nonce_;
  FrameReader frames_;
  State state_ = State::startup;
  std::optional<ScramServer> scram_;
  std::string user_, database_, application_;
  std::map<std::string, std::string> set_;  // by SET and at startup, in lower case names
  std::map<std::string, Prepared> statements_;
  std::size_t statement_bytes_ = 0;
  std::optional<Batch> batch_;
  std::vector<std::pair<std::string, Prepared>> under_way_;  // parsed by the request that is out
  bool busy_ = false, extended_ = false, flushed_ = false;
  std::string out_;
};

}  // namespace paddlestand::pg
