/// \file
/// Tenant quotas: a token bucket per tenant, refilled at this manager's share of the tenant's rate.
#pragma once

#include <cstdint>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// Token buckets of all tenants. Holds a reference to the settings, which must outlive it.
class TenantQuota {
 public:
  explicit TenantQuota(const Settings& settings);

  /// Takes a token for one request. Returns whether the request is within its tenant's quota; a tenant
  /// without settings has no limit.
  [[nodiscard]] bool consume(std::uint32_t tenant, double now);

  void visit_tokens(StateVisitor& visitor);
  void visit_refill_time(StateVisitor& visitor);

 private:
  [[nodiscard]] double rate(std::size_t tenant) const;  // tokens per second
  [[nodiscard]] double depth(std::size_t tenant) const;  // tokens

  const Settings& settings_;
  std::vector<double> tokens_;
  double refilled_at_ = 0;
};

}  // namespace paddlestand::decision
