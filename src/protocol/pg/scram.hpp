// SCRAM-SHA-256 (RFC 5802, RFC 7677), both sides, without channel binding. Nonces come from the caller, so
// that nothing here draws randomness. Secrets are compared in constant time.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace paddlestand::pg {

// What a server keeps of a password, written as PostgreSQL does: SCRAM-SHA-256$rounds:salt$stored:server.
struct Verifier {
  int rounds = 4096;
  std::string salt, stored_key, server_key;  // raw bytes

  static std::optional<Verifier> parse(std::string_view text);
  static Verifier of_password(std::string_view password, std::string salt, int rounds = 4096);
  // For a user that does not exist: an exchange that looks like any other and fails at its end.
  static Verifier mock(std::string_view user, std::string_view secret);
  [[nodiscard]] std::string text() const;
};

class ScramServer {
 public:
  ScramServer(Verifier verifier, bool known, std::string nonce)
      : verifier_(std::move(verifier)), known_(known), nonce_(std::move(nonce)) {}

  // client-first in, server-first out; nothing where it is malformed.
  std::optional<std::string> first(std::string_view client_first);
  // client-final in, server-final out; nothing where the proof is wrong.
  std::optional<std::string> last(std::string_view client_final);

 private:
  Verifier verifier_;
  bool known_;
  std::string nonce_, client_first_bare_, server_first_, gs2_;
};

class ScramClient {
 public:
  ScramClient(std::string password, std::string nonce)
      : password_(std::move(password)), nonce_(std::move(nonce)) {}

  [[nodiscard]] std::string first() const;
  std::optional<std::string> last(std::string_view server_first);
  // Whether the server knew the secret too.
  [[nodiscard]] bool verify(std::string_view server_final) const;

 private:
  std::string password_, nonce_, server_signature_;
};

std::string base64(std::string_view bytes);
std::optional<std::string> from_base64(std::string_view text);

}  // namespace paddlestand::pg
