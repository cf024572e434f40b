/// The start of a client's session (chapters 55.2.1 and 55.3 of PostgreSQL's manual): requests for
/// encryption, which are declined; CancelRequest; StartupMessage; authentication by SCRAM-SHA-256 or none.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "frame.hpp"
#include "messages.hpp"
#include "scram.hpp"
#include "session_parameters.hpp"

namespace paddlestand::pg {

/// The users that may log in.
struct Users {
  bool trust = false;  ///< no password is required
  std::map<std::string, Verifier> verifiers;  ///< by user name
  std::string mock_secret;  ///< for SCRAM exchanges with users that don't exist
};

/// The connection was opened only to cancel a request.
struct FrontendCancelRequest {
  CancelKey key;
};

struct LoginPending {};  ///< more messages are needed
struct LoginComplete {};
/// The result of a login message; Fields: the error that ends the session.
using LoginResult = std::variant<LoginPending, LoginComplete, FrontendCancelRequest, Fields>;

/// Handles the messages of one client's login. No I/O: the caller sends the bytes appended to `out`.
class FrontendLogin {
 public:
  /// `nonce`: the server's nonce of the SCRAM exchange, random and used once.
  FrontendLogin(std::shared_ptr<const Users> users, std::string nonce)
      : users_(std::move(users)), nonce_(std::move(nonce)) {}

  /// Whether the next message has a type. Startup messages have none.
  [[nodiscard]] bool expects_typed_message() const { return state_ != State::startup; }

  /// Handles the next message. Parameters of the startup message are set in `parameters`.
  LoginResult on_message(const Frame& frame, SessionParameters& parameters, std::string& out);

  [[nodiscard]] const std::string& user() const { return user_; }
  [[nodiscard]] const std::string& database() const { return database_; }

 private:
  enum class State : std::uint8_t { startup, sasl_initial_response, sasl_response };

  LoginResult on_startup(std::string_view body, SessionParameters& parameters, std::string& out);
  LoginResult on_startup_message(const StartupMessage& message, SessionParameters& parameters,
                                 std::string& out);
  LoginResult on_sasl_initial_response(std::string_view body, std::string& out);
  LoginResult on_sasl_response(std::string_view body, std::string& out);
  LoginResult begin_authentication(std::string& out);

  std::shared_ptr<const Users> users_;
  std::string nonce_;
  State state_ = State::startup;
  std::optional<ScramServer> scram_;
  std::string user_;
  std::string database_;
};

}  // namespace paddlestand::pg
