/// The types that the query coordinator and the event dispatcher are assembled from. The build that shows
/// that the explorer finds defects replaces some of them (seeded_parts.hpp); no other build contains these.
#pragma once

#include "buffer_account.hpp"
#include "channel_pool.hpp"
#include "coordinator_rules.hpp"

#ifdef PADDLESTAND_SEEDED_DEFECTS
#include "seeded_parts.hpp"
#endif

namespace paddlestand::core::parts {

#ifdef PADDLESTAND_SEEDED_DEFECTS
using DecisionModule = SeededModule;
using Buffers = SeededBufferAccount;
using Pool = SeededChannelPool;
using Rules = SeededRules;
#else
using DecisionModule = WorkloadManager;
using Buffers = BufferAccount;
using Pool = ChannelPool;
using Rules = CoordinatorRules;
#endif

}  // namespace paddlestand::core::parts
