/// SCRAM-SHA-256 (RFC 5802, RFC 7677; in PostgreSQL chapter 55.3 of its manual), both sides, without channel
/// binding. Nonces are given by the caller, so that nothing here draws randomness. Secrets are compared in
/// constant time.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace paddlestand::pg {

/// The name of the mechanism in SASL messages.
inline constexpr std::string_view scram_mechanism = "SCRAM-SHA-256";

/// What a server stores of a password (RFC 5802, section 3).
struct Verifier {
  int rounds = 4096;  ///< the iteration count
  std::string salt, stored_key, server_key;  ///< raw bytes

  /// Reads the form of PostgreSQL's pg_authid: SCRAM-SHA-256$rounds:salt$stored:server.
  static std::optional<Verifier> parse(std::string_view text);
  static Verifier of_password(std::string_view password, std::string salt, int rounds = 4096);
  /// For a user that does not exist: an exchange that looks like any other and fails at its end. The same
  /// user and secret give the same salt.
  static Verifier mock(std::string_view user, std::string_view secret);
  /// In the form that parse() reads.
  [[nodiscard]] std::string text() const;
};

/// The server's side of one exchange.
class ScramServer {
 public:
  /// `known`: whether the user exists; else the exchange fails at its end. `nonce`: random, used once.
  ScramServer(Verifier verifier, bool known, std::string nonce)
      : verifier_(std::move(verifier)), is_user_known_(known), nonce_(std::move(nonce)) {}

  /// From client-first-message to server-first-message; nothing where it is malformed.
  std::optional<std::string> first(std::string_view client_first);
  /// From client-final-message to server-final-message; nothing where it is malformed or the proof is wrong.
  std::optional<std::string> last(std::string_view client_final);

 private:
  Verifier verifier_;
  bool is_user_known_;
  std::string nonce_;  // the server's; after first() the client's and the server's
  std::string client_first_bare_;
  std::string server_first_;
  std::string gs2_header_;
};

/// The client's side of one exchange.
class ScramClient {
 public:
  /// `nonce`: random, used once.
  ScramClient(std::string password, std::string nonce)
      : password_(std::move(password)), nonce_(std::move(nonce)) {}

  /// The client-first-message. Its user name is empty: PostgreSQL takes that of the startup message.
  [[nodiscard]] std::string first() const;
  /// From server-first-message to client-final-message; nothing where it is malformed.
  std::optional<std::string> last(std::string_view server_first);
  /// Whether the server-final-message proves that the server has the verifier.
  [[nodiscard]] bool verify(std::string_view server_final) const;

 private:
  std::string password_;
  std::string nonce_;
  std::string server_signature_;  // that the server has to send, once known
};

/// Base64 (RFC 4648, section 4).
std::string base64(std::string_view bytes);
/// Nothing where the text is empty, malformed or over 4096 characters.
std::optional<std::string> from_base64(std::string_view text);

}  // namespace paddlestand::pg
