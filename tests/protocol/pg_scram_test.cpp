/// SCRAM-SHA-256 (RFC 7677): verifiers and the exchange between client and server.
#include <gtest/gtest.h>

#include "protocol/pg/scram.hpp"

namespace paddlestand::pg::test {
namespace {

TEST(Scram, VerifierOfRfc7677AuthenticatesItsPassword) {
  ScramClient client("pencil", "rOprNGfwEbeRWgbNEkqO");
  // The RFC's test vector has a user name in client-first-message, which PostgreSQL's clients leave empty. So
  // only the verifier is compared with the vector, and the two sides of the exchange are checked against each
  // other.

  const auto salt = from_base64("W22ZaJ0SNY7soEsUEjb6gQ==");
  const auto verifier = Verifier::of_password("pencil", *salt);
  EXPECT_EQ(verifier.text(),
            "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:"
            "wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=");

  ScramServer server(*Verifier::parse(verifier.text()), true, "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0");
  const auto first = server.first(client.first());
  ASSERT_TRUE(first);
  const auto last = client.last(*first);
  ASSERT_TRUE(last);
  const auto proof = server.last(*last);
  ASSERT_TRUE(proof);
  EXPECT_TRUE(client.verify(*proof));
  EXPECT_FALSE(client.verify("v=" + base64(std::string(32, 'x'))));
}

TEST(Scram, WrongPasswordsUnknownUsersAndModifiedMessagesFail) {
  const auto verifier = Verifier::of_password("right", "0123456789abcdef");
  enum class Message { original, modified };
  const auto authenticates = [&](const char* password, bool known, Message client_final) {
    ScramClient client(password, "cnonce");
    ScramServer server(verifier, known, "snonce");
    auto last = *client.last(*server.first(client.first()));
    if (client_final == Message::modified) last.replace(last.find("r=cnonce"), 8, "r=Cnonce");
    return server.last(last).has_value();
  };

  EXPECT_TRUE(authenticates("right", true, Message::original));
  EXPECT_FALSE(authenticates("wrong", true, Message::original));
  EXPECT_FALSE(authenticates("right", false, Message::original));
  EXPECT_FALSE(authenticates("right", true, Message::modified));

  EXPECT_FALSE(Verifier::parse("SCRAM-SHA-256$99999999:AAAA$AAAA:AAAA"));
  EXPECT_FALSE(Verifier::parse("md5abc"));
  EXPECT_FALSE(ScramServer(verifier, true, "n").first("p=tls-unique,,n=,r=x"));
}

}  // namespace
}  // namespace paddlestand::pg::test
