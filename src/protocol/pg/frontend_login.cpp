#include "frontend_login.hpp"

#include <utility>
#include <vector>

#include "bytes.hpp"
#include "sqlstate.hpp"
#include "text.hpp"

namespace paddlestand::pg {
namespace {

constexpr std::uint32_t major_version(std::uint32_t code) { return code >> 16U; }
constexpr std::uint32_t minor_version(std::uint32_t code) { return code & 0xffffU; }

/// Splits an `options` parameter at spaces; a backslash escapes the next character.
std::vector<std::string> split_options(std::string_view text) {
  std::vector<std::string> words(1);
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '\\' && i + 1 < text.size()) {
      ++i;
      words.back().push_back(text[i]);
    } else if (text[i] != ' ') {
      words.back().push_back(text[i]);
    } else if (!words.back().empty()) {
      words.emplace_back();
    }
  }
  if (words.back().empty()) words.pop_back();
  return words;
}

/// Reads "-c name=value --name=value", the form of libpq's parameter `options`. Returns false if it is
/// malformed.
bool read_options(std::string_view text, std::map<std::string, std::string>& settings) {
  const std::vector<std::string> words = split_options(text);
  for (std::size_t i = 0; i < words.size(); ++i) {
    std::string assignment = words[i];
    if (assignment == "-c") {
      ++i;
      if (i >= words.size()) return false;
      assignment = words[i];
    } else if (assignment.starts_with("-c") || assignment.starts_with("--")) {
      assignment.erase(0, 2);
    } else {
      return false;
    }
    const auto equals = assignment.find('=');
    if (equals == assignment.npos || equals == 0) return false;
    settings[assignment.substr(0, equals)] = assignment.substr(equals + 1);
  }
  return true;
}

bool is_off(std::string_view value) {
  return value == "false" || value == "off" || value == "0" || value == "no";
}

/// The parameters of a startup message, grouped by their use.
struct StartupParameters {
  std::string user;
  std::string database;
  std::map<std::string, std::string> settings;
  std::vector<std::string> unknown_options;  // protocol options
};

std::optional<Fields> read_parameter(const std::string& name, const std::string& value,
                                     StartupParameters& parameters) {
  if (!is_utf8(name) || !is_utf8(value)) return error("22021", "a startup parameter is not valid UTF-8");
  if (name == "user") {
    parameters.user = value;
  } else if (name == "database") {
    parameters.database = value;
  } else if (name == "replication") {
    if (!is_off(value)) return error("0A000", "replication is not supported by this workload manager");
  } else if (name.starts_with("_pq_.")) {
    parameters.unknown_options.push_back(name);
  } else if (name == "options") {
    if (!read_options(value, parameters.settings))
      return error("22023", "malformed options in the startup message; expected -c name=value");
  } else {
    parameters.settings[name] = value;
  }
  return std::nullopt;
}

/// NegotiateProtocolVersion: offers version 3.0 without protocol options.
void put_negotiation(std::string& out, const std::vector<std::string>& unknown_options) {
  std::string body;
  Writer writer(body);
  writer.u32(minor_version(protocol_3)).u32(static_cast<std::uint32_t>(unknown_options.size()));
  for (const std::string& option : unknown_options) writer.text(option);
  put_raw(out, backend_message::negotiate_protocol_version, body);
}

}  // namespace

LoginResult FrontendLogin::on_message(const Frame& frame, SessionParameters& parameters, std::string& out) {
  if (state_ == State::startup) return on_startup(frame.body, parameters, out);
  if (frame.type != frontend_message::password) return error("08P01", "expected a password message");
  if (state_ == State::sasl_initial_response) return on_sasl_initial_response(frame.body, out);
  return on_sasl_response(frame.body, out);
}

LoginResult FrontendLogin::on_startup(std::string_view body, SessionParameters& parameters,
                                      std::string& out) {
  const auto message = parse_startup(body);
  if (!message) return error("08P01", "malformed startup message");
  if (message->code == ssl_code || message->code == gss_code) {
    out.push_back(encryption_declined);
    return LoginPending{};
  }
  if (message->code == cancel_code) return FrontendCancelRequest{message->key};
  if (major_version(message->code) != major_version(protocol_3)) {
    return error("0A000", "protocol " + std::to_string(major_version(message->code)) + "." +
                              std::to_string(minor_version(message->code)) +
                              " is not supported; expected 3.0");
  }
  return on_startup_message(*message, parameters, out);
}

LoginResult FrontendLogin::on_startup_message(const StartupMessage& message, SessionParameters& parameters,
                                              std::string& out) {
  StartupParameters startup;
  for (const auto& [name, value] : message.parameters)
    if (const auto problem = read_parameter(name, value, startup)) return *problem;
  if (startup.user.empty()) return error("28000", "no user name in the startup message");
  user_ = startup.user;
  database_ = startup.database.empty() ? startup.user : startup.database;
  parameters.set_user(user_);
  if (minor_version(message.code) != minor_version(protocol_3) || !startup.unknown_options.empty())
    put_negotiation(out, startup.unknown_options);
  for (const auto& [name, value] : startup.settings) {
    std::string not_reported;  // all parameters are reported at the end of the login
    if (const auto problem = parameters.set(name, value, not_reported))
      return error(problem->code, problem->message);
  }
  parameters.end_startup();
  return begin_authentication(out);
}

LoginResult FrontendLogin::begin_authentication(std::string& out) {
  if (users_->trust) return LoginComplete{};
  std::string mechanisms;
  Writer(mechanisms).text(scram_mechanism).u8(0);
  put_authentication(out, authentication::sasl, mechanisms);
  state_ = State::sasl_initial_response;
  return LoginPending{};
}

LoginResult FrontendLogin::on_sasl_initial_response(std::string_view body, std::string& out) {
  Reader reader(body);
  const std::string_view mechanism = reader.text();
  const std::int32_t length = reader.i32();
  const std::string_view client_first = reader.remaining_bytes();
  if (reader.bad() || mechanism != scram_mechanism || length < 0 ||
      static_cast<std::size_t>(length) != client_first.size())
    return error("28000", "expected SASL authentication with SCRAM-SHA-256");
  const auto found = users_->verifiers.find(user_);
  const bool is_known = found != users_->verifiers.end();
  scram_.emplace(is_known ? found->second : Verifier::mock(user_, users_->mock_secret), is_known, nonce_);
  const auto server_first = scram_->first(client_first);
  if (!server_first) return error("28000", "malformed SCRAM message");
  put_authentication(out, authentication::sasl_continue, *server_first);
  state_ = State::sasl_response;
  return LoginPending{};
}

LoginResult FrontendLogin::on_sasl_response(std::string_view body, std::string& out) {
  const auto server_final = scram_->last(body);
  scram_.reset();
  if (!server_final) return error("28P01", "password authentication failed for user \"" + user_ + "\"");
  put_authentication(out, authentication::sasl_final, *server_final);
  return LoginComplete{};
}

}  // namespace paddlestand::pg
