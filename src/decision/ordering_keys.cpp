#include "decision/ordering_keys.hpp"

#include "decision/visit_fields.hpp"

namespace paddlestand::decision {

void OrderingKeys::append(std::uint64_t key, RequestId request) { requests_[key].push_back(request); }

std::optional<RequestId> OrderingKeys::remove(std::uint64_t key, RequestId request) {
  std::vector<RequestId>& key_requests = requests_[key];
  std::optional<RequestId> new_first;
  if (key_requests.size() > 1 && key_requests.front() == request) new_first = key_requests[1];
  std::erase(key_requests, request);
  if (key_requests.empty()) requests_.erase(key);
  return new_first;
}

void OrderingKeys::settle_until(std::uint64_t key, double time) { settle_until_[key] = time; }

void OrderingKeys::erase_settled(double now) {
  std::erase_if(settle_until_, [&](const auto& entry) { return entry.second < now; });
}

bool OrderingKeys::is_first(std::uint64_t key, RequestId request) const {
  return key == 0 || requests_.at(key).front() == request;
}

bool OrderingKeys::is_settled(std::uint64_t key, double now) const {
  const auto found = settle_until_.find(key);
  return found == settle_until_.end() || now > found->second;
}

void OrderingKeys::visit(StateVisitor& visitor) {
  visit_map(visitor, requests_, [&](std::uint64_t& key, std::vector<RequestId>& requests) {
    visitor.integer(key);
    visit_sequence(visitor, requests,
                   [&](RequestId& request) { visitor.name(StateVisitor::Name::request, request); });
  });
  visit_map(visitor, settle_until_, [&](std::uint64_t& key, double& time) {
    visitor.integer(key);
    visitor.until(time);
  });
}

}  // namespace paddlestand::decision
