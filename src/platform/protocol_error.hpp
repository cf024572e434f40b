/// What an engine sent against the protocol.
#pragma once

#include <cstdint>
#include <string>

namespace paddlestand::platform {

/// Nothing that follows on the connection can be trusted.
struct ProtocolError {
  enum class Kind : std::uint8_t {
    malformed_frame,  ///< the bytes are no frame
    malformed_answer,  ///< the frame's fields are no answer
    invalid_result  ///< the answer does not fit the pages before it
  };
  Kind kind{};
  std::string description;  ///< for the log
};

}  // namespace paddlestand::platform
