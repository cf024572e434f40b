/// Both sides of SCRAM-SHA-256 (RFC 5802, RFC 7677; chapter 55.3 of PostgreSQL's manual), without channel
/// binding. The caller provides the nonces, so that this module is deterministic. Secrets are compared in
/// constant time.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace paddlestand::pg {

/// The name of the mechanism in SASL messages.
inline constexpr std::string_view scram_mechanism = "SCRAM-SHA-256";

/// The data that a server stores for a password (RFC 5802, section 3).
struct Verifier {
  int rounds = 4096;  ///< the iteration count
  std::string salt, stored_key, server_key;  ///< raw bytes

  /// Parses the format of PostgreSQL's pg_authid: SCRAM-SHA-256$rounds:salt$stored:server.
  static std::optional<Verifier> parse(std::string_view text);
  static Verifier of_password(std::string_view password, std::string salt, int rounds = 4096);
  /// A verifier for a user that does not exist, whose exchange looks like any other and fails at the end. The
  /// same user and secret result in the same salt.
  static Verifier mock(std::string_view user, std::string_view secret);
  /// In the format that parse() reads.
  [[nodiscard]] std::string text() const;
};

/// The server's side of one exchange.
class ScramServer {
 public:
  /// `known`: whether the user exists; if not, the exchange fails at the end. `nonce`: random, used once.
  ScramServer(Verifier verifier, bool known, std::string nonce)
      : verifier_(std::move(verifier)), is_user_known_(known), nonce_(std::move(nonce)) {}

  /// Returns the server-first-message that answers `client_first`; nothing if that is malformed.
  std::optional<std::string> first(std::string_view client_first);
  /// Returns the server-final-message that answers `client_final`; nothing if that is malformed or its proof
  /// is wrong.
  std::optional<std::string> last(std::string_view client_final);

 private:
  Verifier verifier_;
  bool is_user_known_;
  std::string nonce_;  // the server's nonce; after first() the client's followed by the server's
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

  /// The client-first-message. Its user name is empty: PostgreSQL uses that of the startup message.
  [[nodiscard]] std::string first() const;
  /// Returns the client-final-message that answers `server_first`; nothing if that is malformed.
  std::optional<std::string> last(std::string_view server_first);
  /// Whether the server-final-message proves that the server has the verifier.
  [[nodiscard]] bool verify(std::string_view server_final) const;

 private:
  std::string password_;
  std::string nonce_;
  std::string server_signature_;  // expected from the server; set by last()
};

/// Base64 (RFC 4648, section 4).
std::string base64(std::string_view bytes);
/// Returns nothing if the text is empty, malformed or longer than 4096 characters.
std::optional<std::string> from_base64(std::string_view text);

}  // namespace paddlestand::pg
