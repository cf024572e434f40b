#include "scram.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <algorithm>
#include <charconv>

#include "protocol/base64.hpp"

namespace paddlestand::pg {
namespace {

// An exchange computes this many hashes on the event loop's thread, which blocks all other sessions, so a
// larger count is not accepted.
constexpr int min_rounds = 1;
constexpr int max_rounds = 50'000;
constexpr std::size_t max_base64_characters = 4096;
constexpr std::size_t mock_salt_bytes = 16;

const unsigned char* raw(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}
unsigned char* raw(std::string& text) { return reinterpret_cast<unsigned char*>(text.data()); }

std::string hmac(std::string_view key, std::string_view data) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  unsigned size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), raw(data), data.size(), raw(digest), &size);
  return digest;
}

std::string sha256(std::string_view data) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(raw(data), data.size(), raw(digest));
  return digest;
}

std::string exclusive_or(std::string a, std::string_view b) {
  for (std::size_t i = 0; i < a.size() && i < b.size(); ++i) a[i] = static_cast<char>(a[i] ^ b[i]);
  return a;
}

/// Hi(password, salt, rounds) of RFC 5802, section 2.2: SaltedPassword.
std::string salted_password(std::string_view password, std::string_view salt, int rounds) {
  std::string key(SHA256_DIGEST_LENGTH, '\0');
  PKCS5_PBKDF2_HMAC(password.data(), static_cast<int>(password.size()), raw(salt),
                    static_cast<int>(salt.size()), rounds, EVP_sha256(), static_cast<int>(key.size()),
                    raw(key));
  return key;
}

std::string client_key_of(std::string_view salted_password) { return hmac(salted_password, "Client Key"); }
std::string server_key_of(std::string_view salted_password) { return hmac(salted_password, "Server Key"); }

/// Removes the attribute `name` (such as r=...) from the beginning of a message and returns its value;
/// nothing if the message begins with anything else.
std::optional<std::string_view> read_attribute(std::string_view& message, char name) {
  if (message.size() < 2 || message[0] != name || message[1] != '=') return std::nullopt;
  const auto comma = message.find(',');
  const std::string_view value = message.substr(2, comma == message.npos ? message.npos : comma - 2);
  message = comma == message.npos ? std::string_view{} : message.substr(comma + 1);
  return value;
}

struct Rounds {
  int count{};
  std::string_view trailing;  // text after the number
};

/// The iteration count at the beginning of the text; nothing if it is missing or out of range.
std::optional<Rounds> read_rounds(std::string_view text) {
  int count = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, count);
  if (error != std::errc{} || count < min_rounds || count > max_rounds) return std::nullopt;
  return Rounds{count, text.substr(static_cast<std::size_t>(end - text.data()))};
}

}  // namespace

std::string base64(std::string_view bytes) { return paddlestand::base64(bytes); }

std::optional<std::string> from_base64(std::string_view text) {
  if (text.empty() || text.size() > max_base64_characters) return std::nullopt;
  return paddlestand::from_base64(text);
}

std::optional<Verifier> Verifier::parse(std::string_view text) {
  constexpr std::string_view prefix = "SCRAM-SHA-256$";
  if (!text.starts_with(prefix)) return std::nullopt;
  text.remove_prefix(prefix.size());
  const auto rounds_end = text.find(':');
  const auto salt_end = text.find('$');
  if (rounds_end == text.npos || salt_end == text.npos || rounds_end > salt_end) return std::nullopt;
  const auto stored_key_end = text.find(':', salt_end);
  if (stored_key_end == text.npos) return std::nullopt;
  const auto rounds = read_rounds(text.substr(0, rounds_end));
  const auto salt = from_base64(text.substr(rounds_end + 1, salt_end - rounds_end - 1));
  const auto stored_key = from_base64(text.substr(salt_end + 1, stored_key_end - salt_end - 1));
  const auto server_key = from_base64(text.substr(stored_key_end + 1));
  if (!rounds || !rounds->trailing.empty() || !salt || !stored_key || !server_key) return std::nullopt;
  if (stored_key->size() != SHA256_DIGEST_LENGTH || server_key->size() != SHA256_DIGEST_LENGTH)
    return std::nullopt;
  return Verifier{rounds->count, *salt, *stored_key, *server_key};
}

Verifier Verifier::of_password(std::string_view password, std::string salt, int rounds) {
  const std::string salted = salted_password(password, salt, rounds);
  Verifier verifier;
  verifier.rounds = rounds;
  verifier.salt = std::move(salt);
  verifier.stored_key = sha256(client_key_of(salted));
  verifier.server_key = server_key_of(salted);
  return verifier;
}

Verifier Verifier::mock(std::string_view user, std::string_view secret) {
  Verifier verifier;
  verifier.salt = hmac(secret, user).substr(0, mock_salt_bytes);
  verifier.stored_key = std::string(SHA256_DIGEST_LENGTH, '\0');
  verifier.server_key = verifier.stored_key;
  return verifier;
}

std::string Verifier::text() const {
  return "SCRAM-SHA-256$" + std::to_string(rounds) + ":" + base64(salt) + "$" + base64(stored_key) + ":" +
         base64(server_key);
}

std::optional<std::string> ScramServer::first(std::string_view client_first) {
  // The GS2 header, without channel binding; an authorization identity is not supported.
  if (!client_first.starts_with("n,,") && !client_first.starts_with("y,,")) return std::nullopt;
  gs2_header_ = client_first.substr(0, 3);
  client_first_bare_ = client_first.substr(3);
  std::string_view attributes = client_first_bare_;
  if (!read_attribute(attributes, 'n'))
    return std::nullopt;  // the value is ignored: the startup message names the user
  const auto client_nonce = read_attribute(attributes, 'r');
  if (!client_nonce || client_nonce->empty()) return std::nullopt;
  nonce_ = std::string(*client_nonce) + nonce_;
  server_first_ = "r=" + nonce_ + ",s=" + base64(verifier_.salt) + ",i=" + std::to_string(verifier_.rounds);
  return server_first_;
}

std::optional<std::string> ScramServer::last(std::string_view client_final) {
  const auto proof_at = client_final.rfind(",p=");
  if (proof_at == client_final.npos) return std::nullopt;
  const std::string_view without_proof = client_final.substr(0, proof_at);
  const auto proof = from_base64(client_final.substr(proof_at + 3));
  std::string_view attributes = without_proof;
  const auto channel_binding = read_attribute(attributes, 'c');
  const auto nonce = read_attribute(attributes, 'r');
  if (!proof || proof->size() != SHA256_DIGEST_LENGTH || !channel_binding || !nonce) return std::nullopt;
  if (from_base64(*channel_binding) != gs2_header_ || *nonce != nonce_) return std::nullopt;

  const std::string auth_message =
      client_first_bare_ + "," + server_first_ + "," + std::string(without_proof);
  const std::string client_key = exclusive_or(*proof, hmac(verifier_.stored_key, auth_message));
  const bool is_proven =
      CRYPTO_memcmp(sha256(client_key).data(), verifier_.stored_key.data(), SHA256_DIGEST_LENGTH) == 0;
  if (!is_proven || !is_user_known_) return std::nullopt;
  return "v=" + base64(hmac(verifier_.server_key, auth_message));
}

std::string ScramClient::first() const { return "n,,n=,r=" + nonce_; }

std::optional<std::string> ScramClient::last(std::string_view server_first) {
  std::string_view attributes = server_first;
  const auto nonce = read_attribute(attributes, 'r');
  const auto salt_text = read_attribute(attributes, 's');
  const auto rounds_text = read_attribute(attributes, 'i');
  if (!nonce || !salt_text || !rounds_text) return std::nullopt;
  if (!nonce->starts_with(nonce_) || nonce->size() == nonce_.size()) return std::nullopt;
  const auto salt = from_base64(*salt_text);
  const auto rounds = read_rounds(*rounds_text);
  if (!salt || !rounds) return std::nullopt;
  const std::string salted = salted_password(password_, *salt, rounds->count);
  const std::string client_key = client_key_of(salted);
  const std::string without_proof = "c=" + base64("n,,") + ",r=" + std::string(*nonce);
  const std::string client_first_bare = first().substr(3);
  const std::string auth_message = client_first_bare + "," + std::string(server_first) + "," + without_proof;
  server_signature_ = hmac(server_key_of(salted), auth_message);
  const std::string client_signature = hmac(sha256(client_key), auth_message);
  return without_proof + ",p=" + base64(exclusive_or(client_key, client_signature));
}

bool ScramClient::verify(std::string_view server_final) const {
  const auto encoded = read_attribute(server_final, 'v');
  if (!encoded) return false;
  const auto signature = from_base64(*encoded);
  return signature && signature->size() == server_signature_.size() && !signature->empty() &&
         CRYPTO_memcmp(signature->data(), server_signature_.data(), signature->size()) == 0;
}

}  // namespace paddlestand::pg
