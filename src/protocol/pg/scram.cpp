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

// One exchange must not hold the loop for longer than the module allows its host to be late: 10 ms or so.
constexpr int least_rounds = 1, most_rounds = 50'000;

const unsigned char* raw(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}
unsigned char* raw(std::string& text) { return reinterpret_cast<unsigned char*>(text.data()); }

std::string hmac(std::string_view key, std::string_view data) {
  std::string out(SHA256_DIGEST_LENGTH, '\0');
  unsigned size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), raw(data), data.size(), raw(out), &size);
  return out;
}

std::string sha256(std::string_view data) {
  std::string out(SHA256_DIGEST_LENGTH, '\0');
  SHA256(raw(data), data.size(), raw(out));
  return out;
}

std::string exclusive_or(std::string a, std::string_view b) {
  for (std::size_t i = 0; i < a.size() && i < b.size(); ++i) a[i] = static_cast<char>(a[i] ^ b[i]);
  return a;
}

std::string salted(std::string_view password, std::string_view salt, int rounds) {
  std::string out(SHA256_DIGEST_LENGTH, '\0');
  PKCS5_PBKDF2_HMAC(password.data(), static_cast<int>(password.size()), raw(salt),
                    static_cast<int>(salt.size()), rounds, EVP_sha256(), static_cast<int>(out.size()),
                    raw(out));
  return out;
}

// The value of an attribute such as r=..., which must come first; the rest is cut off behind its comma.
std::optional<std::string_view> take(std::string_view& text, char name) {
  if (text.size() < 2 || text[0] != name || text[1] != '=') return std::nullopt;
  const auto comma = text.find(',');
  const std::string_view value = text.substr(2, comma == text.npos ? text.npos : comma - 2);
  text = comma == text.npos ? std::string_view{} : text.substr(comma + 1);
  return value;
}

}  // namespace

std::string base64(std::string_view bytes) { return paddlestand::base64(bytes); }

std::optional<std::string> from_base64(std::string_view text) {
  if (text.empty() || text.size() > 4096) return std::nullopt;
  return paddlestand::from_base64(text);
}

std::optional<Verifier> Verifier::parse(std::string_view text) {
  constexpr std::string_view mechanism = "SCRAM-SHA-256$";
  if (!text.starts_with(mechanism)) return std::nullopt;
  text.remove_prefix(mechanism.size());
  const auto colon = text.find(':'), dollar = text.find('$');
  if (colon == text.npos || dollar == text.npos || colon > dollar) return std::nullopt;
  const auto second = text.find(':', dollar);
  if (second == text.npos) return std::nullopt;
  Verifier v;
  const auto [end, error] = std::from_chars(text.data(), text.data() + colon, v.rounds);
  if (error != std::errc{} || end != text.data() + colon) return std::nullopt;
  if (v.rounds < least_rounds || v.rounds > most_rounds) return std::nullopt;
  const auto salt = from_base64(text.substr(colon + 1, dollar - colon - 1));
  const auto stored = from_base64(text.substr(dollar + 1, second - dollar - 1));
  const auto server = from_base64(text.substr(second + 1));
  if (!salt || !stored || !server) return std::nullopt;
  if (stored->size() != SHA256_DIGEST_LENGTH || server->size() != SHA256_DIGEST_LENGTH) return std::nullopt;
  v.salt = *salt;
  v.stored_key = *stored;
  v.server_key = *server;
  return v;
}

Verifier Verifier::of_password(std::string_view password, std::string salt, int rounds) {
  Verifier v;
  v.rounds = rounds;
  const std::string key = salted(password, salt, rounds);
  v.salt = std::move(salt);
  v.stored_key = sha256(hmac(key, "Client Key"));
  v.server_key = hmac(key, "Server Key");
  return v;
}

Verifier Verifier::mock(std::string_view user, std::string_view secret) {
  Verifier v;
  v.salt = hmac(secret, user).substr(0, 16);
  v.stored_key = v.server_key = std::string(SHA256_DIGEST_LENGTH, '\0');
  return v;
}

std::string Verifier::text() const {
  return "SCRAM-SHA-256$" + std::to_string(rounds) + ":" + base64(salt) + "$" + base64(stored_key) + ":" +
         base64(server_key);
}

std::optional<std::string> ScramServer::first(std::string_view client_first) {
  // gs2 header: n,, or y,, without channel binding; an authorization identity is not carried.
  if (!client_first.starts_with("n,,") && !client_first.starts_with("y,,")) return std::nullopt;
  gs2_ = client_first.substr(0, 3);
  client_first_bare_ = client_first.substr(3);
  std::string_view left = client_first_bare_;
  if (!take(left, 'n')) return std::nullopt;  // the user is the startup message's
  const auto client_nonce = take(left, 'r');
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
  std::string_view left = without_proof;
  const auto binding = take(left, 'c');
  const auto nonce = take(left, 'r');
  if (!proof || proof->size() != SHA256_DIGEST_LENGTH || !binding || !nonce) return std::nullopt;
  if (from_base64(*binding) != gs2_ || *nonce != nonce_) return std::nullopt;
  const std::string message = client_first_bare_ + "," + server_first_ + "," + std::string(without_proof);
  const std::string client_key = exclusive_or(*proof, hmac(verifier_.stored_key, message));
  const bool right =
      CRYPTO_memcmp(sha256(client_key).data(), verifier_.stored_key.data(), SHA256_DIGEST_LENGTH) == 0;
  if (!right || !known_) return std::nullopt;
  return "v=" + base64(hmac(verifier_.server_key, message));
}

std::string ScramClient::first() const { return "n,,n=,r=" + nonce_; }

std::optional<std::string> ScramClient::last(std::string_view server_first) {
  std::string_view left = server_first;
  const auto nonce = take(left, 'r');
  const auto salt_text = take(left, 's');
  const auto rounds_text = take(left, 'i');
  if (!nonce || !salt_text || !rounds_text || !nonce->starts_with(nonce_) || nonce->size() == nonce_.size())
    return std::nullopt;
  const auto salt = from_base64(*salt_text);
  int rounds = 0;
  const auto [end, error] =
      std::from_chars(rounds_text->data(), rounds_text->data() + rounds_text->size(), rounds);
  if (!salt || error != std::errc{} || rounds < least_rounds || rounds > most_rounds) return std::nullopt;
  const std::string key = salted(password_, *salt, rounds);
  const std::string client_key = hmac(key, "Client Key");
  const std::string without_proof = "c=" + base64("n,,") + ",r=" + std::string(*nonce);
  const std::string message = first().substr(3) + "," + std::string(server_first) + "," + without_proof;
  server_signature_ = hmac(hmac(key, "Server Key"), message);
  return without_proof + ",p=" + base64(exclusive_or(client_key, hmac(sha256(client_key), message)));
}

bool ScramClient::verify(std::string_view server_final) const {
  const auto told = take(server_final, 'v');
  if (!told) return false;
  const auto signature = from_base64(*told);
  return signature && signature->size() == server_signature_.size() && !signature->empty() &&
         CRYPTO_memcmp(signature->data(), server_signature_.data(), signature->size()) == 0;
}

}  // namespace paddlestand::pg
