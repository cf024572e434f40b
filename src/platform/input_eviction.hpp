/// Decides which incomplete message is refused first when clients' input takes too much memory. No I/O, no
/// clock.
#pragma once

#include <cstddef>

#include "core/types.hpp"

namespace paddlestand::platform {

/// An incomplete message, as far as it was received.
struct HeldMessage {
  std::size_t bytes = 0;
  /// How fast its sender has gone on after the first bytes; zero if it has not.
  double bytes_per_second = 0;
  Duration silence{};  ///< since its sender last sent something
  bool is_from_known_client = false;  ///< one that has sent a valid message before
};

/// Whether `a` is refused before `b`. The one that has stalled for longest is refused first, then that of the
/// slowest sender, so that slow but steady ones come last. Of those who have not gone on yet, clients that
/// have never sent a valid message come first, then the largest message.
[[nodiscard]] bool is_refused_before(const HeldMessage& a, const HeldMessage& b);

}  // namespace paddlestand::platform
