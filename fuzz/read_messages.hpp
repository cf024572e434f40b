/// The read loop of targets whose reader returns messages, or an error that ends the stream.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "target.hpp"

namespace paddlestand::fuzz {

/// Whether reading continues after a message.
enum class Flow : std::uint8_t { next, stop };

/// Feeds the input to `reader` and calls `handle` with each message until `handle` returns Flow::stop, the
/// reader returns an error of type `Violation`, which is appended to `output`, or the input ends. The
/// reader's next() returns a variant that holds std::monostate if more bytes are needed.
template <typename Violation, typename Reader, typename Handle>
void read_messages(Chunks chunks, Reader& reader, std::string& output, Handle handle) {
  while (chunks.has_next()) {
    reader.feed(chunks.next());
    for (;;) {
      auto message = reader.next();
      if (std::holds_alternative<std::monostate>(message)) break;
      if (const auto* violation = std::get_if<Violation>(&message)) {
        output += "broken " + violation->what;
        return;
      }
      if (handle(std::move(message)) == Flow::stop) return;
    }
  }
}

}  // namespace paddlestand::fuzz
