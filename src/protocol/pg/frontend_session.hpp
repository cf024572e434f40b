/// The manager's side of a client's session, without I/O (chapter 55.2 of PostgreSQL's manual): login, simple
/// queries and extended batches up to their Sync, both pipelined, and SET, SHOW and RESET of the parameters
/// that drivers set on startup.
///
/// One request is in flight at a time; later messages stay unparsed in the buffer.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "backend_connection.hpp"
#include "extended_batch.hpp"
#include "frame.hpp"
#include "frontend_login.hpp"
#include "frontend_settings.hpp"
#include "messages.hpp"
#include "prepared_statements.hpp"
#include "protocol/sql/scan.hpp"
#include "protocol/sql/tags.hpp"
#include "session_parameters.hpp"

namespace paddlestand::pg {

/// The client has logged in.
struct FrontendStarted {
  std::string user, database, application;
};
/// A request for an engine.
struct FrontendRequest {
  EngineQuery query;
  std::string text;  ///< the statement by which the request is classified: the first one of a batch
  sql::Tags tags;  ///< from the comments in the text
  std::optional<Duration> statement_timeout;
};
/// The session has ended: the client terminated it, or an error ended it, which is in out().
struct FrontendClosed {};
using FrontendEvent = std::variant<FrontendStarted, FrontendCancelRequest, FrontendRequest, FrontendClosed>;

/// One client's session. The host feeds it the client's bytes, handles its events and sends the bytes in
/// out().
class FrontendSession {
 public:
  /// `key`: the key for the client's cancel requests. `nonce`: random, for SCRAM.
  FrontendSession(const FrontendSettings& settings, std::shared_ptr<const Users> users, CancelKey key,
                  std::string nonce);
  FrontendSession(const FrontendSession&) = delete;
  FrontendSession& operator=(const FrontendSession&) = delete;

  /// Bytes from the client.
  void feed(std::string_view bytes) { frames_.feed(bytes); }
  /// The next event, or nothing if more bytes are needed, a request is in flight or the session has ended.
  std::optional<FrontendEvent> next();

  /// To be called when the engine's answer to the request in flight was queued for the client. Appends the
  /// remaining messages to out().
  void request_done(const BackendAnswerEnd& end);
  /// Answers the request in flight, or the one just returned by next(), with an error.
  void request_failed(const Fields& error);

  /// Bytes for the client, to be moved from by the host.
  std::string& out() { return out_; }

  /// Whether a request is in flight.
  [[nodiscard]] bool busy() const { return busy_; }
  /// Whether the client has logged in and the session has not ended.
  [[nodiscard]] bool started() const { return state_ == State::ready || state_ == State::skipping; }
  /// The number of the client's bytes that are buffered.
  [[nodiscard]] std::size_t buffered_bytes() const { return frames_.buffered_bytes(); }
  [[nodiscard]] const std::string& user() const { return login_.user(); }
  [[nodiscard]] const std::string& database() const { return login_.database(); }
  [[nodiscard]] std::string application() const { return parameters_.application(); }

 private:
  enum class State : std::uint8_t {
    login,
    ready,
    skipping,  ///< after an error in a batch: messages are discarded up to the Sync
    ended
  };
  enum class BatchEnd : std::uint8_t { sync, flush };

  std::optional<FrontendEvent> on_frame(const Frame& frame);
  std::optional<FrontendEvent> on_login_message(const Frame& frame);
  std::optional<FrontendEvent> on_message(const Frame& frame);
  std::optional<FrontendEvent> on_query(std::string_view body);
  std::optional<FrontendEvent> on_sync(std::string_view body);
  void on_skipped_message(char type);
  void on_batch_message(const Frame& frame);
  std::optional<Fields> add_to_batch(const Frame& frame);
  void reject_batch(const Fields& error);
  std::optional<FrontendEvent> end_batch(BatchEnd end);

  FrontendEvent complete_login();
  std::optional<FrontendEvent> end_session(Fields error);
  void answer_error(const Fields& error);
  void answer_settings(const sql::Scanned& scanned);
  FrontendEvent submit(EngineQuery query, std::string text, const sql::Scanned& scanned);
  void keep_parsed_statements(std::uint32_t completed);

  const FrontendSettings limits_;
  CancelKey key_;
  FrameReader frames_;
  State state_ = State::login;
  FrontendLogin login_;
  SessionParameters parameters_;
  PreparedStatements statements_;
  std::optional<ExtendedBatch> batch_;  // messages that no Sync or Flush has submitted yet
  std::vector<ExtendedBatch::NamedStatement> parsed_in_flight_;  // parsed by the request in flight
  bool busy_ = false;
  BatchEnd request_end_ = BatchEnd::sync;  // flush: the client has not sent its Sync yet
  std::string out_;
};

}  // namespace paddlestand::pg
