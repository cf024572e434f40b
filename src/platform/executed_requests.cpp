#include "executed_requests.hpp"

namespace paddlestand::platform {

void ExecutedRequests::add(std::uint64_t trace, TimePoint now) {
  while (!entries_.empty() && (entries_.front().until <= now || entries_.size() >= max_requests))
    forget_oldest();
  const TimePoint until = now + retention;
  entries_.push_back({trace, until});
  until_by_trace_[trace] = until;
}

bool ExecutedRequests::contains(std::uint64_t trace, TimePoint now) const {
  const auto found = until_by_trace_.find(trace);
  return found != until_by_trace_.end() && now < found->second;
}

// A trace id that was added again later is kept until then.
void ExecutedRequests::forget_oldest() {
  const Entry oldest = entries_.front();
  entries_.pop_front();
  const auto found = until_by_trace_.find(oldest.trace);
  if (found != until_by_trace_.end() && found->second == oldest.until) until_by_trace_.erase(found);
}

}  // namespace paddlestand::platform
