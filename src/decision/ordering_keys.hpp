/// \file
/// Ordering keys: requests with the same key run one at a time, in order of arrival.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// The unfinished requests of each ordering key and the end of its settle time. Key 0 means no key.
class OrderingKeys {
 public:
  void append(std::uint64_t key, RequestId request);
  /// Removes a request of `key`. Returns the request that became the first of the key as a result, if any.
  std::optional<RequestId> remove(std::uint64_t key, RequestId request);

  /// Delays the next request of `key` until after `time`, in seconds, because an earlier attempt may still
  /// run.
  void settle_until(std::uint64_t key, double time);
  void erase_settled(double now);

  /// Whether no earlier request of `key` is unfinished. True for key 0.
  [[nodiscard]] bool is_first(std::uint64_t key, RequestId request) const;
  [[nodiscard]] bool is_settled(std::uint64_t key, double now) const;

  void visit(StateVisitor& visitor);

 private:
  std::map<std::uint64_t, std::vector<RequestId>> requests_;  // unfinished, in order of arrival
  std::map<std::uint64_t, double> settle_until_;
};

}  // namespace paddlestand::decision
