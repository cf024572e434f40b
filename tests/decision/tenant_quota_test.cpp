#include "decision/tenant_quota.hpp"

#include <gtest/gtest.h>

#include "manager_harness.hpp"

namespace paddlestand::decision {
namespace {

Settings with_tenant(double quota_per_s, std::uint32_t instances) {
  Settings settings = test::small_deployment();
  settings.instances = instances;
  settings.tenants = {{"tenant", quota_per_s}};
  return settings;
}

int consumed_at(TenantQuota& quota, double now) {
  int consumed = 0;
  while (quota.consume(0, now)) ++consumed;
  return consumed;
}

TEST(TenantQuota, ABurstOfOneSecondsQuotaPlusThreeRequestsIsWithinTheQuota) {
  const Settings settings = with_tenant(10, 1);
  TenantQuota quota(settings);

  EXPECT_EQ(consumed_at(quota, 0), 13);
}

TEST(TenantQuota, TokensAreRefilledAtThisManagersShareOfTheRate) {
  const Settings settings = with_tenant(10, 2);
  TenantQuota quota(settings);

  consumed_at(quota, 0);

  EXPECT_EQ(consumed_at(quota, 1), 5);
}

TEST(TenantQuota, ATenantWithoutSettingsHasNoLimit) {
  const Settings settings = with_tenant(1, 1);
  TenantQuota quota(settings);

  for (int i = 0; i < 100; ++i) EXPECT_TRUE(quota.consume(1, 0));
}

}  // namespace
}  // namespace paddlestand::decision
