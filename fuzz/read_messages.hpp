/// The loop of the targets whose reader gives one message after another, or an error that ends the stream.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "target.hpp"

namespace paddlestand::fuzz {

/// What is to follow a message.
enum class Flow : std::uint8_t { next, stop };

/// Feeds the input to `reader` and calls `handle` with each message, until that returns Flow::stop, the
/// reader gives an error of type `Broken`, which is appended to `output`, or the input ends. The reader's
/// next() returns a variant that holds std::monostate where more bytes are needed.
template <typename Broken, typename Reader, typename Handle>
void read_messages(Chunks chunks, Reader& reader, std::string& output, Handle handle) {
  while (chunks.has_next()) {
    reader.feed(chunks.next());
    for (;;) {
      auto message = reader.next();
      if (std::holds_alternative<std::monostate>(message)) break;
      if (const auto* broken = std::get_if<Broken>(&message)) {
        output += "broken " + broken->what;
        return;
      }
      if (handle(std::move(message)) == Flow::stop) return;
    }
  }
}

}  // namespace paddlestand::fuzz
