/// Rules of the query coordinator for attempts and channels. They are stateless functions without I/O.
#pragma once

#include <vector>

#include "records.hpp"

namespace paddlestand::core {

struct CoordinatorRules {
  // ---- Attempts ----

  /// Whether an attempt may be sent: not once part of an earlier attempt's answer went to the client.
  [[nodiscard]] static bool may_send(const QueryRecord& query) {
    return !query.state.is(QueryState::streaming);
  }

  /// Whether the end of an attempt leaves the client with part of an answer, so that no retry can follow.
  [[nodiscard]] static bool truncates_answer(const QueryRecord& query, AttemptResult result) {
    return query.state.is(QueryState::streaming) && result != AttemptResult::served;
  }

  /// Ends the attempt's state and its timeout.
  static void finish(AttemptRecord& attempt, TimerService& timers) {
    attempt.state.transition_to(AttemptState::finished, "ended");
    timers.disarm(attempt.timeout);
  }

  /// Detaches the attempt from a channel that is still opening. Once open, the channel may carry another
  /// query.
  static void detach_attempt(ChannelRecord& channel, TimerService&) { channel.query.reset(); }

  // ---- Channels ----

  /// Whether a channel whose answer ended may carry another query: all of the query was sent, no cancel can
  /// still affect it, and the engine holds no state of it.
  [[nodiscard]] static bool is_reusable(const ChannelRecord& channel, const AnswerEnd& end) {
    return channel.state.is(ChannelState::busy) && end.reusable;
  }

  /// After a cancel the channel is never reused: it is closed once the engine confirms or the cancel grace
  /// ends.
  static void mark_cancelling(ChannelRecord& channel) {
    channel.state.transition_to(ChannelState::cancelling, "module cancels");
  }

  /// Whether a channel is closed at once when its engine is no longer ready. An unsent query must not be sent
  /// later, since the drain grace may be over when its channel opens. The result of a probe must not arrive
  /// later, since it would be attributed to the engine's next process.
  [[nodiscard]] static bool closes_with_engine(const ChannelRecord& channel) {
    return channel.is_unsent() || channel.use == ChannelUse::probe;
  }

  /// Whether a channel whose answer ended must first be resumed. The end may have arrived in the same read as
  /// the part that paused the channel, which would then still be paused when it carries the next query.
  [[nodiscard]] static bool resumes_at_answer_end(const ChannelRecord& channel) { return channel.paused; }

  /// The result of an attempt whose channel was lost.
  [[nodiscard]] static AttemptResult result_of_loss(const ChannelRecord& channel,
                                                    const AttemptRecord& attempt, ChannelLossReason reason);

  /// Removes the sends on the channel that are not yet executed: their attempts count as never run.
  static void withdraw_sends(std::vector<HostAction>& actions, ChannelId channel);

  // ---- Dispatching ----

  /// Whether the coordinator gets the result of a write before any pending event, and before the next action
  /// of the same event. Otherwise an attempt that may run would be treated as one that never ran.
  [[nodiscard]] static bool precedes_pending_events(WriteResult result) {
    return result == WriteResult::complete;
  }
};

}  // namespace paddlestand::core
