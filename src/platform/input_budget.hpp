/// Bounds the memory of clients' incomplete messages. A client may always buffer a small message; beyond that
/// it needs a slot, which reserves the memory of the largest message. A client without a slot is not read,
/// and its bytes stay in the socket's buffer, until another client has completed its message or was turned
/// away. No I/O, no clock; not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "core/types.hpp"

namespace paddlestand::platform {

/// Hands out the slots.
class InputBudget {
 public:
  using ClientNumber = std::uint64_t;

  /// Slots are granted in this order. Clients with open requests and all others can each take at most
  /// seven eighths of the slots, so that neither group keeps the other waiting for long.
  enum class Priority : std::uint8_t {
    has_open_requests,
    known,  ///< has sent a valid message before
    unknown
  };

  /// `bytes`: limit for all incomplete messages; `bytes_per_slot`: the size of the largest message.
  InputBudget(std::size_t bytes, std::size_t bytes_per_slot);

  /// Takes a slot if one is available. Returns false otherwise.
  [[nodiscard]] bool try_acquire(Priority priority);
  /// Takes a slot even if none is available: the client must be read now.
  void acquire_beyond_limit(Priority priority) { ++used(priority); }
  /// Returns a slot that was acquired with this priority.
  void release(Priority priority) { --used(priority); }

  /// Adds a client to the queue for a slot.
  void enqueue(ClientNumber client, Priority priority, TimePoint now);
  /// Removes a client from the queue, if it is there.
  void remove(ClientNumber client);

  /// A client at the front of the queue that now has a slot.
  struct Grant {
    ClientNumber client{};
    Priority priority{};
  };
  /// Gives the available slots to queued clients, which leave the queue.
  [[nodiscard]] std::vector<Grant> grant_available();

  [[nodiscard]] std::size_t slots() const { return slots_; }
  [[nodiscard]] std::size_t queued() const;
  /// How long a client may hold a slot without sending while others wait for one. The more clients wait, the
  /// shorter, so that all of them get their turn within the time limit of an incomplete message.
  [[nodiscard]] Duration stall_limit(TimePoint now) const;

 private:
  static constexpr std::size_t priorities = 3;
  struct Waiting {
    ClientNumber client{};
    TimePoint since{};
  };

  [[nodiscard]] std::size_t& used(Priority priority) {
    return priority == Priority::has_open_requests ? used_with_requests_ : used_by_others_;
  }
  [[nodiscard]] bool is_available(Priority priority);
  [[nodiscard]] bool is_preceded(Priority priority) const;

  std::size_t slots_;
  std::size_t max_slots_of_group_;
  std::size_t used_with_requests_ = 0;
  std::size_t used_by_others_ = 0;
  std::array<std::deque<Waiting>, priorities> queues_;  // by priority
};

}  // namespace paddlestand::platform
