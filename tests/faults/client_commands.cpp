#include "client_commands.hpp"

#include <string_view>

namespace paddlestand::faults {
namespace {

constexpr std::string_view stop_connecting_prefix = "stop-connecting ";
constexpr std::string_view resume_connecting_prefix = "resume-connecting ";
constexpr std::string_view finish_line = "finish";

std::uint32_t manager_in(const std::string& line, std::string_view prefix) {
  return static_cast<std::uint32_t>(std::stoul(line.substr(prefix.size())));
}

}  // namespace

std::string to_line(const ClientCommand& command) {
  switch (command.kind) {
    case ClientCommand::Kind::stop_connecting:
      return std::string(stop_connecting_prefix) + std::to_string(command.manager);
    case ClientCommand::Kind::resume_connecting:
      return std::string(resume_connecting_prefix) + std::to_string(command.manager);
    case ClientCommand::Kind::finish: break;
  }
  return std::string(finish_line);
}

std::optional<ClientCommand> parse_client_command(const std::string& line) {
  using Kind = ClientCommand::Kind;
  if (line == finish_line) return ClientCommand{Kind::finish, 0};
  if (line.starts_with(stop_connecting_prefix))
    return ClientCommand{Kind::stop_connecting, manager_in(line, stop_connecting_prefix)};
  if (line.starts_with(resume_connecting_prefix))
    return ClientCommand{Kind::resume_connecting, manager_in(line, resume_connecting_prefix)};
  return std::nullopt;
}

}  // namespace paddlestand::faults
