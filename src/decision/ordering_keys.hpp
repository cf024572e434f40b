/// \file
/// Requests of one ordering key run one at a time, in order of arrival.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// The requests of each ordering key, and the time until which a key must settle. Key 0 means no key.
class OrderingKeys {
 public:
  void append(std::uint64_t key, RequestId request);
  /// Removes a request of `key`. Returns the request that became first by that, if any.
  std::optional<RequestId> remove(std::uint64_t key, RequestId request);

  /// Nothing of `key` starts until `time`, in seconds: an attempt that ended in doubt may still run.
  void settle_until(std::uint64_t key, double time);
  void forget_settled(double now);

  /// Whether no earlier request of its key is unfinished. True for key 0.
  [[nodiscard]] bool is_first(std::uint64_t key, RequestId request) const;
  [[nodiscard]] bool is_settled(std::uint64_t key, double now) const;

  void visit(StateVisitor& visitor);

 private:
  std::map<std::uint64_t, std::vector<RequestId>> requests_;  // unfinished, in order of arrival
  std::map<std::uint64_t, double> settle_until_;
};

}  // namespace paddlestand::decision
