/// The component types of the query coordinator and the event dispatcher. The test build with seeded defects
/// replaces them with faulty variants (seeded_parts.hpp), which no other build contains.
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
