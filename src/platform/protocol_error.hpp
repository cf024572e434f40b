/// Violations of the protocol by an engine.
#pragma once

#include <cstdint>
#include <string>

namespace paddlestand::platform {

/// After this error, no later data on the connection can be trusted.
struct ProtocolError {
  enum class Kind : std::uint8_t {
    malformed_frame,  ///< the bytes are not a valid frame
    malformed_answer,  ///< the fields of a frame are not a valid answer
    invalid_result  ///< the answer contradicts earlier ones or the limits of a result
  };
  Kind kind{};
  std::string description;  ///< for the log
};

}  // namespace paddlestand::platform
