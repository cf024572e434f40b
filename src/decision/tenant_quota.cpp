#include "decision/tenant_quota.hpp"

#include <algorithm>

#include "decision/units.hpp"
#include "decision/visit_fields.hpp"

namespace paddlestand::decision {
namespace {

/// Number of requests in a burst that the bucket allows beyond one second of the rate. At low rates, requests
/// often arrive close together by chance.
constexpr double burst_allowance = 3;

}  // namespace

TenantQuota::TenantQuota(const Settings& settings) : settings_(settings) {
  for (std::size_t i = 0; i < settings_.tenants.size(); ++i) tokens_.push_back(depth(i));
}

bool TenantQuota::consume(std::uint32_t tenant, double now) {
  if (tenant >= settings_.tenants.size()) return true;
  for (std::size_t i = 0; i < tokens_.size(); ++i) {
    tokens_[i] = std::min(depth(i), tokens_[i] + rate(i) * (now - refilled_at_));
  }
  refilled_at_ = now;
  if (tokens_[tenant] < 1) return false;
  tokens_[tenant] -= 1;
  return true;
}

double TenantQuota::rate(std::size_t tenant) const {
  return positive_or(settings_.tenants[tenant].quota_per_s, 0.0) / instance_count(settings_);
}

double TenantQuota::depth(std::size_t tenant) const { return rate(tenant) + burst_allowance; }

void TenantQuota::visit_tokens(StateVisitor& visitor) {
  visit_sequence(visitor, tokens_, [&](double& tokens) { visitor.number(tokens); });
}

void TenantQuota::visit_refill_time(StateVisitor& visitor) { visitor.since(refilled_at_); }

}  // namespace paddlestand::decision
