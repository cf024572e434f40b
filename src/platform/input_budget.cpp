#include "input_budget.hpp"

#include <algorithm>

namespace paddlestand::platform {
namespace {

constexpr std::size_t min_slots = 4;
constexpr std::size_t reserve_divisor = 8;  // the share of the slots that one group leaves to the other
constexpr Duration max_wait = std::chrono::seconds(2);  // for a slot, if nobody sends
constexpr Duration min_stall = std::chrono::milliseconds(250);  // slow writers pause between their bytes

}  // namespace

InputBudget::InputBudget(std::size_t bytes, std::size_t bytes_per_slot)
    : slots_(std::max(min_slots, bytes / bytes_per_slot)),
      max_slots_of_group_(slots_ - slots_ / reserve_divisor) {}

bool InputBudget::is_available(Priority priority) {
  return used_with_requests_ + used_by_others_ < slots_ && used(priority) < max_slots_of_group_;
}

bool InputBudget::try_acquire(Priority priority) {
  if (is_preceded(priority) || !is_available(priority)) return false;
  ++used(priority);
  return true;
}

// Whether a client of the same group waits that would be granted a slot before a new one of this priority.
bool InputBudget::is_preceded(Priority priority) const {
  const auto waits = [this](Priority other) { return !queues_[static_cast<std::size_t>(other)].empty(); };
  if (priority == Priority::unknown) return waits(Priority::known) || waits(Priority::unknown);
  return waits(priority);
}

void InputBudget::enqueue(ClientNumber client, Priority priority, TimePoint now) {
  queues_[static_cast<std::size_t>(priority)].push_back({client, now});
}

void InputBudget::remove(ClientNumber client) {
  for (auto& queue : queues_)
    std::erase_if(queue, [client](const Waiting& waiting) { return waiting.client == client; });
}

std::vector<InputBudget::Grant> InputBudget::grant_available() {
  std::vector<Grant> grants;
  for (std::size_t i = 0; i < priorities; ++i) {
    const auto priority = static_cast<Priority>(i);
    while (!queues_[i].empty() && is_available(priority)) {
      grants.push_back({queues_[i].front().client, priority});
      queues_[i].pop_front();
      ++used(priority);
    }
  }
  return grants;
}

std::size_t InputBudget::queued() const {
  std::size_t clients = 0;
  for (const auto& queue : queues_) clients += queue.size();
  return clients;
}

// The queue empties in rounds, each of which takes as long as the holders of all slots may stall.
Duration InputBudget::stall_limit(TimePoint now) const {
  Duration longest_wait{};
  for (const auto& queue : queues_)
    if (!queue.empty()) longest_wait = std::max(longest_wait, now - queue.front().since);
  const std::size_t rounds = 1 + queued() / max_slots_of_group_;
  return std::max(min_stall, (max_wait - longest_wait) / static_cast<Duration::rep>(rounds));
}

}  // namespace paddlestand::platform
