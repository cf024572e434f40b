/// Commands of a run to its client processes: one line each, on their standard input.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace paddlestand::faults {

struct ClientCommand {
  enum class Kind : std::uint8_t {
    stop_connecting,  // open no new connection to `manager`
    resume_connecting,  // new connections to `manager` are welcome
    finish  // send no further request, and end once nothing is open
  };
  Kind kind{};
  std::uint32_t manager = 0;  // not for `finish`
};

/// The command's line, without the line's end.
std::string to_line(const ClientCommand& command);

/// Nothing for a line that is no command. Throws std::invalid_argument where the manager is no number.
std::optional<ClientCommand> parse_client_command(const std::string& line);

}  // namespace paddlestand::faults
