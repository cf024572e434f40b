#include "action_recorder.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "core/seeded_defects.hpp"

namespace paddlestand::explorer {
namespace {

using core::Defect;
using core::seeded;

std::string query_text(QueryId query) { return "query " + std::to_string(query); }
std::string channel_text(ChannelId channel) { return "channel " + std::to_string(channel); }

/// Whether the deadline passed while the channel of a retry was opening.
bool ended_while_reconnecting(const core::Answer& action, const ObservedQuery& observed) {
  if (!action.deadline_exceeded || action.attempts.size() <= 1) return false;
  if (action.attempts.size() <= observed.attempts_sent) return false;
  return action.attempts.back().result.value_or(AttemptResult::not_sent) == AttemptResult::not_sent;
}

}  // namespace

ActionRecorder::ActionRecorder(ModelState& model, std::uint32_t manager_index)
    : model_(model), manager_index_(manager_index), manager_(model.managers_[manager_index]) {}

TimePoint ActionRecorder::now() { return model_.now_; }

// ---- Channels ----

core::WriteResult ActionRecorder::send(const core::SendQuery& action) {
  EngineSideChannel* channel = manager_.find_channel(action.channel);
  if (channel == nullptr) return core::WriteResult::failed;
  ObservedQuery& observed = manager_.queries[action.query];
  if (observed.had_reset) model_.cover(CoverageGoal::resend_after_reset);
  ++observed.attempts_sent;
  ++observed.attempts_in_flight;
  check_order(action.query, observed);
  channel->query = action.query;
  channel->small_parts = 0;
  channel->large_parts = 0;
  channel->progress_reports = 0;
  const bool is_stalled = model_.engine_of(*channel).is_stalled;
  channel->transmission = is_stalled ? Transmission::partial : Transmission::complete;
  model_.add_to_trace(query_text(action.query) + (is_stalled ? " partially" : "") + " sent on " +
                      channel_text(action.channel) + " to engine " + std::to_string(channel->engine));
  if (!is_stalled) return core::WriteResult::complete;
  model_.cover(CoverageGoal::query_partially_written);
  return core::WriteResult::partial;
}

// The query of a closed channel may still run on its engine, however the manager has ended the attempt: until
// then, no other query with the same ordering key may be sent.
void ActionRecorder::check_order(QueryId query, const ObservedQuery& observed) {
  if (observed.query_class != QueryClass::ordered_by_key) return;
  for (const EngineSideChannel& channel : manager_.channels) {
    const bool may_run = channel.is_closed && channel.transmission == Transmission::complete;
    if (!may_run || channel.query == query) continue;
    const auto other = manager_.queries.find(channel.query);
    if (other == manager_.queries.end()) continue;
    if (other->second.query_class == QueryClass::ordered_by_key &&
        other->second.ordering_key == observed.ordering_key) {
      report(Invariant::key_order, query_text(query) + " is sent while " + query_text(channel.query) +
                                       " with the same ordering key may still run");
    }
  }
}

core::WriteResult ActionRecorder::send(const core::SendProbe& action) {
  EngineSideChannel* channel = manager_.find_channel(action.channel);
  if (channel == nullptr) return core::WriteResult::failed;
  channel->transmission = Transmission::complete;
  return core::WriteResult::complete;
}

void ActionRecorder::execute(const core::OpenChannel& action) {
  EngineSideChannel channel;
  channel.id = action.channel;
  channel.engine = action.engine;
  channel.engine_incarnation = model_.engine_of(channel).incarnation;
  channel.is_probe = action.use == core::ChannelUse::probe;
  manager_.channels.push_back(std::move(channel));
  model_.add_to_trace(channel_text(action.channel) + " opens to engine " + std::to_string(action.engine));
}

void ActionRecorder::execute(const core::CancelOnEngine& action) {
  EngineSideChannel* channel = manager_.find_channel(action.channel);
  if (channel == nullptr) return;
  const QueryId target = channel->query;
  if (seeded(Defect::cancel_sent_to_newest_channel)) {
    for (EngineSideChannel& other : manager_.channels) {
      if (!other.is_closed && other.id > channel->id) channel = &other;
    }
  }
  channel->pending_cancel = target;
  model_.add_to_trace("cancel sent for " + channel_text(channel->id));
}

void ActionRecorder::execute(const core::UpdateResourceGrant&) {}

void ActionRecorder::execute(const core::CloseChannel& action) {
  const auto channel =
      std::find_if(manager_.channels.begin(), manager_.channels.end(),
                   [&action](const EngineSideChannel& candidate) { return candidate.id == action.channel; });
  if (channel == manager_.channels.end() || seeded(Defect::close_not_executed)) return;
  model_.add_to_trace(channel_text(action.channel) + " closes");
  if (channel->pending_cancel) model_.cover(CoverageGoal::cancel_after_close);
  if (!channel->carries_query()) {
    manager_.channels.erase(channel);
    return;
  }
  manager_.finish_attempt(channel->query);
  channel->is_closed = true;
  channel->closed_at = model_.now_;
  channel->pending_cancel.reset();
}

void ActionRecorder::execute(const core::PauseChannel& action) {
  if (seeded(Defect::pause_not_executed)) return;
  EngineSideChannel* channel = manager_.find_channel(action.channel);
  if (channel != nullptr) channel->is_paused = true;
}

void ActionRecorder::execute(const core::ResumeChannel& action) {
  EngineSideChannel* channel = manager_.find_channel(action.channel);
  if (channel != nullptr) channel->is_paused = false;
}

// ---- Rows ----

void ActionRecorder::execute(const core::Deliver& action) {
  EngineSideChannel* channel = manager_.find_channel(action.channel);
  if (channel == nullptr) {
    report(Invariant::row_ownership, "rows of an unknown channel are delivered");
    return;
  }
  std::size_t client_index = client_of(action.session);
  if (seeded(Defect::delivered_to_another_client))
    client_index = (client_index + 1) % manager_.clients.size();
  for (const Row& row : channel->buffered_rows) deliver_row(row, client_index);
  channel->buffered_rows.clear();
  Client& client = manager_.clients[client_index];
  client.undelivered_bytes += static_cast<std::uint32_t>(action.bytes);
  if (client.undelivered_bytes > model_.scope_->core.client_window + large_part_bytes) {
    report(Invariant::resource_limits,
           "client " + std::to_string(client_index) + " has more undelivered bytes than its window");
  }
  if (client.is_reading) {
    model_.dispatch(manager_index_,
                    core::ClientConsumed{action.session, std::exchange(client.undelivered_bytes, 0)});
  }
}

void ActionRecorder::deliver_row(const Row& row, std::size_t client_index) {
  ObservedQuery& observed = manager_.queries[row.query];
  const std::string text = "row " + std::to_string(row.number) + " of " + query_text(row.query);
  if (manager_.clients[client_index].active_query != row.query)
    report(Invariant::row_ownership, text + " is delivered to client " + std::to_string(client_index));
  if (observed.is_answered)
    report(Invariant::nothing_after_final_answer, text + " is delivered after the final answer");
  if (observed.rows_channel == 0) observed.rows_channel = row.channel;
  if (observed.rows_channel != row.channel)
    report(Invariant::row_ownership, text + " belongs to another attempt");
  if (observed.rows_delivered != row.number) report(Invariant::complete_answer, text + " is out of order");
  observed.rows_delivered = static_cast<std::uint8_t>(row.number + 1);
}

void ActionRecorder::execute(const core::Discard& action) {
  if (seeded(Defect::discard_not_executed)) return;
  EngineSideChannel* channel = manager_.find_channel(action.channel);
  if (channel != nullptr) channel->buffered_rows.clear();
}

// ---- Answers ----

void ActionRecorder::execute(const core::Answer& action) {
  static constexpr std::array<std::string_view, 4> kinds{"served", "rejected", "failed", "cancelled"};
  ObservedQuery& observed = manager_.queries[action.query];
  model_.add_to_trace(query_text(action.query) +
                      " is answered: " + std::string(kinds[static_cast<std::size_t>(action.kind)]));
  check_answer(action, observed);
  observed.is_answered = true;
  update_client(action, observed.client);
  if (ended_while_reconnecting(action, observed))
    model_.cover(CoverageGoal::deadline_between_resend_and_connect);
}

void ActionRecorder::check_answer(const core::Answer& action, const ObservedQuery& observed) {
  if (observed.is_answered) report(Invariant::one_answer, query_text(action.query) + " is answered twice");
  if (action.kind != core::AnswerKind::served) return;
  const EngineSideChannel* channel = manager_.find_channel(observed.rows_channel);
  if (channel == nullptr || channel->parts() + 1 != observed.rows_delivered) {
    report(Invariant::complete_answer,
           query_text(action.query) + " is answered as served, but rows are missing");
  }
}

void ActionRecorder::update_client(const core::Answer& action, std::uint32_t client_index) {
  Client& client = manager_.clients[client_index];
  if (client.active_query == action.query) client.active_query = 0;
  // All bytes are delivered: whether the client reads has no effect until its next query.
  if (client.undelivered_bytes == 0) client.is_reading = true;
  if (action.kind == core::AnswerKind::cancelled && client.is_connected &&
      client.cancelled_query != action.query) {
    report(Invariant::cancel_target,
           query_text(action.query) + " is cancelled, but its client did not request that");
  }
  // The same order as in the service: it accepts the pipelined query, then writes the answer, and that write
  // detects a broken connection.
  submit_pipelined_query(client_index);
  disconnect_if_broken(client_index);
}

void ActionRecorder::submit_pipelined_query(std::uint32_t client_index) {
  const Client& client = manager_.clients[client_index];
  if (!model_.scope_->pipelined || !client.is_connected || client.active_query != 0) return;
  if (!model_.has_next_query(manager_index_, client_index)) return;
  if (client.undelivered_bytes > model_.scope_->core.client_window) return;
  model_.submit_query(manager_index_, client_index);
}

void ActionRecorder::disconnect_if_broken(std::uint32_t client_index) {
  Client& client = manager_.clients[client_index];
  if (!client.is_broken || !client.is_connected) return;
  client.is_connected = false;
  client.undelivered_bytes = 0;
  client.active_query = 0;
  model_.dispatch(manager_index_, core::SessionClosed{manager_.session_of(client_index)});
}

// ---- Manager ----

void ActionRecorder::execute(const core::LogMessage& action) { model_.add_to_trace("log: " + action.text); }

void ActionRecorder::execute(const core::ShutdownComplete&) { model_.add_to_trace("shutdown is complete"); }

void ActionRecorder::on_violation(const InvariantViolation& violation) {
  model_.violations_.push_back(violation);
}

void ActionRecorder::report(Invariant invariant, std::string what) {
  model_.report_violation(invariant, std::move(what));
}

}  // namespace paddlestand::explorer
