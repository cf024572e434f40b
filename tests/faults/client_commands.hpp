/// Commands from a run to its client processes, one per line on their standard input.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace paddlestand::faults {

struct ClientCommand {
  enum class Kind : std::uint8_t {
    stop_connecting,  // open no new connection to `manager`
    resume_connecting,  // allow new connections to `manager`
    finish  // send no further requests and exit once none is open
  };
  Kind kind{};
  std::uint32_t manager = 0;  // unused by `finish`
};

/// The command as a line, without the line terminator.
std::string to_line(const ClientCommand& command);

/// Returns nothing if the line is not a command. Throws std::invalid_argument if the manager is not a number.
std::optional<ClientCommand> parse_client_command(const std::string& line);

}  // namespace paddlestand::faults
