// The effect of each step on a ModelState.
#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

#include "action_recorder.hpp"
#include "core/seeded_defects.hpp"
#include "model_state.hpp"

namespace paddlestand::explorer {
namespace {

using namespace std::chrono_literals;
using core::ChannelLossReason;
using core::Defect;
using core::Ending;
using core::seeded;

constexpr Duration lead_before_timer = 1us;
constexpr Duration timer_delay = 10ms;  // within the module's margin: a longer delay may violate invariants
constexpr Duration shutdown_grace = 250ms;
constexpr int max_idle_ticks = 400;
constexpr double reported_progress = 0.5;

}  // namespace

std::vector<InvariantViolation> ModelState::apply(const Move& move) {
  violations_.clear();
  coverage_.reset();
  trace_.clear();
  const bool counts_faults = remaining_faults_ != unlimited_faults && remaining_faults_ > 0;
  if (counts_faults && spends_fault(move)) --remaining_faults_;
  try {
    if (concerns_channel(move.step)) {
      apply_channel_step(move, *managers_[move.manager].find_channel(move.subject));
    } else if (concerns_one_manager(move.step)) {
      apply_client_step(move);
    } else if (move.step < Step::discovery_failed) {
      apply_engine_step(move);
    } else {
      apply_global_step(move);
    }
  } catch (const std::exception& error) {
    report_violation(Invariant::consistent_state, error.what());
    return violations_;
  }
  check_consistency();
  return violations_;
}

// ---- Clients ----

void ModelState::apply_client_step(const Move& move) {
  ManagerState& manager = managers_[move.manager];
  Client& client = manager.clients[move.subject];
  switch (move.step) {
    case Step::submit_query: submit_query(move.manager, move.subject); break;
    case Step::cancel_query:
      client.cancelled_query = client.active_query;
      if (client.active_query == 0 && seeded(Defect::late_cancel_applied_to_next_query))
        client.has_deferred_cancel = true;
      dispatch(move.manager, core::ClientCancelled{manager.session_of(move.subject)});
      break;
    case Step::disconnect_client: disconnect_client(move.manager, move.subject); break;
    case Step::break_connection: client.is_broken = true; break;
    case Step::stop_reading: client.is_reading = false; break;
    case Step::resume_reading: resume_reading(move.manager, move.subject); break;
    default: break;
  }
}

void ModelState::disconnect_client(std::uint32_t manager_index, std::uint32_t client_index) {
  ManagerState& manager = managers_[manager_index];
  Client& client = manager.clients[client_index];
  if (client.active_query != 0) {
    const ObservedQuery& observed = manager.queries[client.active_query];
    if (observed.attempts_sent > 0 && observed.attempts_in_flight == 0)
      cover(CoverageGoal::client_gone_between_attempts);
  }
  client.is_connected = false;
  client.active_query = 0;
  client.undelivered_bytes = 0;
  client.is_broken = false;
  dispatch(manager_index, core::SessionClosed{manager.session_of(client_index)});
}

// If the client has disconnected, a new client takes its place.
void ModelState::resume_reading(std::uint32_t manager_index, std::uint32_t client_index) {
  ManagerState& manager = managers_[manager_index];
  Client& client = manager.clients[client_index];
  client.is_reading = true;
  if (!client.is_connected) {
    client.is_connected = true;
    ++client.sessions_before;
    dispatch(manager_index, core::SessionOpened{manager.session_of(client_index)});
  } else if (client.undelivered_bytes > 0) {
    dispatch(manager_index, core::ClientConsumed{manager.session_of(client_index),
                                                 std::exchange(client.undelivered_bytes, 0)});
  }
}

// ---- Channels ----

void ModelState::apply_channel_step(const Move& move, EngineSideChannel& channel) {
  switch (move.step) {
    case Step::channel_opened:
      channel.is_open = true;
      dispatch(move.manager, core::ChannelOpened{channel.id});
      break;
    case Step::connect_refused:
      dispatch(move.manager, core::ChannelLost{channel.id, ChannelLossReason::refused});
      break;
    case Step::out_of_descriptors:
      dispatch(move.manager, core::ChannelLost{channel.id, ChannelLossReason::local});
      break;
    case Step::channel_reset: lose_channel(move.manager, channel, ChannelLossReason::closed); break;
    case Step::protocol_error: lose_channel(move.manager, channel, ChannelLossReason::protocol_error); break;
    case Step::query_written:
      channel.transmission = Transmission::complete;
      dispatch(move.manager, core::QuerySent{channel.id});
      break;
    case Step::cancel_reaches_engine:
    case Step::answer_after_close:
    case Step::progress_after_close: apply_in_transit_step(move, channel); break;
    default: apply_answer_step(move, channel); break;
  }
}

void ModelState::lose_channel(std::uint32_t manager_index, EngineSideChannel& channel,
                              ChannelLossReason reason) {
  ManagerState& manager = managers_[manager_index];
  if (channel.carries_query()) {
    manager.finish_attempt(channel.query);
    manager.queries[channel.query].had_reset = true;
  }
  channel.transmission = Transmission::none;
  dispatch(manager_index, core::ChannelLost{channel.id, reason});
}

void ModelState::apply_answer_step(const Move& move, EngineSideChannel& channel) {
  switch (move.step) {
    case Step::answer_part:
      channel.buffer_next_row();
      ++channel.small_parts;
      dispatch(move.manager, core::AnswerPart{channel.id, small_part_bytes});
      break;
    case Step::large_answer_part:
      channel.buffer_next_row();
      ++channel.large_parts;
      dispatch(move.manager, core::AnswerPart{channel.id, large_part_bytes});
      break;
    case Step::answer_part_and_end: answer_part_and_end(move.manager, channel); break;
    case Step::answer_complete: end_answer(move.manager, channel, Ending::complete); break;
    case Step::answer_complete_unclean:
      end_answer(move.manager, channel, Ending::complete, SessionState::unclean);
      break;
    case Step::engine_error: end_answer(move.manager, channel, Ending::engine_error); break;
    case Step::engine_overloaded: end_answer(move.manager, channel, Ending::full); break;
    case Step::progress_report:
      channel.progress_reports = 1;
      dispatch(move.manager, core::EngineProgress{channel.id, ProgressKind::progress, reported_progress});
      break;
    default: break;
  }
}

void ModelState::answer_part_and_end(std::uint32_t manager, EngineSideChannel& channel) {
  const ChannelId id = channel.id;
  const QueryId query = channel.query;
  channel.buffer_next_row();
  ++channel.large_parts;
  dispatch(manager, core::AnswerPart{id, large_part_bytes});
  // The manager may have closed the channel when it received the part.
  EngineSideChannel* remaining = managers_[manager].find_channel(id);
  if (remaining == nullptr || remaining->query != query) return;
  if (remaining->transmission == Transmission::complete) end_answer(manager, *remaining, Ending::complete);
}

void ModelState::end_answer(std::uint32_t manager, EngineSideChannel& channel, Ending ending,
                            SessionState session_state) {
  if (!channel.is_probe) record_answer_end(manager, channel, ending);
  channel.transmission = Transmission::none;
  core::AnswerEnd event;
  event.channel = channel.id;
  event.ending = ending;
  event.bytes = channel.is_probe ? 0 : last_part_bytes;
  event.reusable = session_state == SessionState::clean;
  if (ending == Ending::complete && !channel.is_probe) event.work = query_work;
  dispatch(manager, event);
}

void ModelState::record_answer_end(std::uint32_t manager_index, EngineSideChannel& channel, Ending ending) {
  ManagerState& manager = managers_[manager_index];
  channel.buffer_next_row();
  ObservedQuery& observed = manager.queries[channel.query];
  observed.finish_attempt();
  if (ending == Ending::full) observed.overloaded_engines |= static_cast<std::uint16_t>(1U << channel.engine);
  bool all_overloaded = true;
  for (EngineId id = 1; id <= engines_.size(); ++id)
    all_overloaded = all_overloaded && (observed.overloaded_engines >> id & 1U) != 0;
  if (all_overloaded) cover(CoverageGoal::all_engines_overloaded);
  if (channel.pending_cancel) cover(CoverageGoal::answer_on_cancelled_channel);
  if (next_due() == now_) cover(CoverageGoal::answer_then_timeout);
}

// Messages that were in transit while the manager or the engine acted.
void ModelState::apply_in_transit_step(const Move& move, EngineSideChannel& channel) {
  switch (move.step) {
    case Step::cancel_reaches_engine: cancel_reaches_engine(move.manager, channel); break;
    case Step::answer_after_close: answer_after_close(move.manager, channel); break;
    case Step::progress_after_close:
      channel.progress_reports = 1;
      cover(CoverageGoal::progress_of_ended_attempt);
      dispatch(move.manager, core::EngineProgress{channel.id, ProgressKind::progress, reported_progress});
      break;
    default: break;
  }
}

void ModelState::cancel_reaches_engine(std::uint32_t manager, EngineSideChannel& channel) {
  const QueryId target = *channel.pending_cancel;
  channel.pending_cancel.reset();
  if (channel.transmission != Transmission::complete) return;
  if (channel.query != target) {
    report_violation(Invariant::cancel_target, "a cancel for query " + std::to_string(target) +
                                                   " reaches query " + std::to_string(channel.query));
  }
  end_answer(manager, channel, Ending::cancelled);
}

void ModelState::answer_after_close(std::uint32_t manager_index, const EngineSideChannel& channel) {
  ManagerState& manager = managers_[manager_index];
  const ChannelId id = channel.id;
  const auto observed = manager.queries.find(channel.query);
  if (observed != manager.queries.end() && observed->second.attempts_in_flight > 0)
    cover(CoverageGoal::late_answer_after_resend);
  if (channel.closed_at == now_) cover(CoverageGoal::timeout_then_answer);
  std::erase_if(manager.channels, [id](const EngineSideChannel& candidate) { return candidate.id == id; });
  dispatch(manager_index, core::AnswerEnd{id, Ending::complete, last_part_bytes, true, {}, {}, {}});
}

// ---- Engines ----

void ModelState::apply_engine_step(const Move& move) {
  const EngineId id = move.subject;
  ModelEngine& engine = engines_[id - 1];
  switch (move.step) {
    case Step::stall_engine: engine.is_stalled = true; break;
    case Step::unstall_engine: engine.is_stalled = false; break;
    case Step::drain_engine: withdraw_engine(id, EngineState::draining); break;
    case Step::remove_engine: withdraw_engine(id, EngineState::removed); break;
    case Step::restore_engine:
      if (now_ - engine.not_ready_since < scope_->core.module.drain_grace)
        cover(CoverageGoal::engine_removed_and_back_within_grace);
      start_engine(id);
      break;
    case Step::restart_engine: start_engine(id); break;
    default: break;
  }
}

void ModelState::withdraw_engine(EngineId id, EngineState state) {
  cover_races_with(id);
  ModelEngine& engine = engines_[id - 1];
  if (engine.listed_state == EngineState::ready) engine.not_ready_since = now_;
  engine.was_disrupted = true;
  engine.listed_state = state;
  announce_endpoints(state == EngineState::draining ? EndpointUpdate::delta : EndpointUpdate::full, id);
}

void ModelState::cover_races_with(EngineId id) {
  for (const ManagerState& manager : managers_) {
    for (const EngineSideChannel& channel : manager.channels) {
      if (channel.engine != id || channel.is_closed || channel.is_probe) continue;
      if (channel.pending_cancel) cover(CoverageGoal::cancel_during_drain);
      if (!channel.is_open || channel.transmission == Transmission::partial)
        cover(CoverageGoal::drain_during_send);
    }
  }
}

void ModelState::start_engine(EngineId id) {
  ModelEngine& engine = engines_[id - 1];
  engine.was_disrupted = true;
  engine.listed_state = EngineState::ready;
  engine.started = now_;
  engine.is_stalled = false;
  ++engine.incarnation;
  announce_endpoints(EndpointUpdate::delta, id);
}

// ---- Discovery, time, shutdown ----

void ModelState::apply_global_step(const Move& move) {
  switch (move.step) {
    case Step::discovery_failed:
      discovery_failed_ = !scope_->endless;
      announce_endpoints(EndpointUpdate::failed, 0);
      break;
    case Step::advance_before_timer: advance_before_timer(); break;
    case Step::advance_to_timer: advance_to(*next_due()); break;
    case Step::delay_timer:
      advance_to(now_ + timer_delay);
      timer_delayed_ = true;
      break;
    case Step::fire_timers: fire_timers(); break;
    case Step::shut_down: begin_shutdown(move.manager); break;
    default: break;
  }
}

void ModelState::advance_to(TimePoint time) {
  for (ManagerState& manager : managers_) {
    const auto& monitor = manager.dispatcher.monitor();
    if (monitor && monitor->key_settles_while_active(now_, time))
      cover(CoverageGoal::settle_time_ends_during_attempt);
    // Messages that cross with the close of a channel arrive without delay, so closed channels can be
    // removed.
    std::erase_if(manager.channels, [](const EngineSideChannel& channel) { return channel.is_closed; });
    std::erase_if(manager.queries, [](const auto& entry) {
      return entry.second.is_answered && entry.second.attempts_in_flight == 0;
    });
  }
  now_ = time;
}

// Skips the timers that cause no action, up to just before the first one that does.
void ModelState::advance_before_timer() {
  if (scope_->endless) {
    advance_to(std::max(now_, *next_due() - lead_before_timer));
    return;
  }
  core::EventDispatcher& dispatcher = managers_[0].dispatcher;
  core::EventDispatcher lookahead = dispatcher;
  int idle_ticks = 0;
  for (; idle_ticks < max_idle_ticks; ++idle_ticks) {
    ActionDetector detector(*lookahead.due());
    lookahead.dispatch(core::TimerExpired{}, detector);
    if (detector.has_detected()) break;
  }
  for (int tick = 0; tick < idle_ticks; ++tick) {
    advance_to(*dispatcher.due());
    dispatch(0, core::TimerExpired{});
  }
  advance_to(std::max(now_, *dispatcher.due() - lead_before_timer));
}

void ModelState::fire_timers() {
  if (scope_->endless) timer_delayed_ = false;
  for (std::uint32_t manager = 0; manager < managers_.size(); ++manager) {
    const auto due = managers_[manager].dispatcher.due();
    if (due && *due <= now_) dispatch(manager, core::TimerExpired{});
  }
}

void ModelState::begin_shutdown(std::uint32_t manager_index) {
  ManagerState& manager = managers_[manager_index];
  const core::Counts counts = manager.dispatcher.counts();
  if (counts.queries_open > 1 && counts.attempts_out > 0)
    cover(CoverageGoal::shutdown_with_queries_in_flight);
  manager.is_shutting_down = true;
  dispatch(manager_index, core::BeginShutdown{shutdown_grace});
}

}  // namespace paddlestand::explorer
