// The moves that are possible in a ModelState, and the next move without further faults.
#include <algorithm>
#include <chrono>

#include "model_state.hpp"

namespace paddlestand::explorer {
namespace {

/// If a timer is due within this period, no step to just before it is possible: that step has already been
/// made, and leaves a distance this short.
constexpr Duration due_soon = std::chrono::microseconds(100);

}  // namespace

std::vector<Move> ModelState::possible_moves() {
  std::vector<Move> moves;
  const auto managers = static_cast<std::uint8_t>(managers_.size());
  for (std::uint8_t manager = 0; manager < managers; ++manager) {
    add_client_moves(manager, moves);
    add_channel_moves(manager, moves);
  }
  for (EngineId id = 1; id <= engines_.size(); ++id) add_engine_moves(id, moves);
  if (!discovery_failed_) moves.push_back({Step::discovery_failed});
  if (!managers_[0].is_shutting_down && !scope_->endless) moves.push_back({Step::shut_down});
  add_time_moves(moves);
  if (remaining_faults_ == 0) std::erase_if(moves, [this](const Move& move) { return spends_fault(move); });
  return moves;
}

bool ModelState::is_possible(const Move& move) {
  const std::vector<Move> moves = possible_moves();
  return std::find(moves.begin(), moves.end(), move) != moves.end();
}

std::optional<Move> ModelState::fault_free_move() {
  bool holds_anything = false;
  const auto managers = static_cast<std::uint8_t>(managers_.size());
  for (std::uint8_t manager = 0; manager < managers; ++manager) {
    const core::Counts counts = managers_[manager].dispatcher.counts();
    holds_anything = holds_anything || counts.queries_open + counts.attempts_out > 0 ||
                     counts.channels > counts.channels_probing;
    const std::vector<Client>& clients = managers_[manager].clients;
    for (std::uint32_t client = 0; client < clients.size(); ++client) {
      if (clients[client].is_connected && !clients[client].is_reading)
        return Move{Step::resume_reading, manager, client};
    }
  }
  if (!holds_anything) return std::nullopt;
  std::vector<Move> moves;
  add_time_moves(moves);
  if (moves.empty()) return std::nullopt;
  return moves.front();
}

// ---- Clients ----

void ModelState::add_client_moves(std::uint8_t manager, std::vector<Move>& moves) const {
  const std::vector<Client>& clients = managers_[manager].clients;
  for (std::uint32_t index = 0; index < clients.size(); ++index) {
    const Client& client = clients[index];
    const auto add = [&](Step step) { moves.push_back({step, manager, index}); };
    if (!client.is_connected) {
      // In the endless scope, a new client takes its place.
      if (scope_->endless) add(Step::resume_reading);
      continue;
    }
    const bool has_query = client.active_query != 0;
    const bool has_undelivered_bytes = client.undelivered_bytes > 0;
    const bool may_cancel_late = client.queries_submitted > 0 && has_next_query(manager, index);
    if (may_submit(manager, index)) add(Step::submit_query);
    if (has_query || may_cancel_late) add(Step::cancel_query);
    if (has_query || has_undelivered_bytes) add(Step::disconnect_client);
    if (client.is_reading && has_query) add(Step::stop_reading);
    if (scope_->pipelined && !client.is_broken && has_query) add(Step::break_connection);
    if (!client.is_reading && has_undelivered_bytes) add(Step::resume_reading);
  }
}

bool ModelState::may_submit(std::uint8_t manager, std::uint32_t index) const {
  const std::vector<Client>& clients = managers_[manager].clients;
  const Client& client = clients[index];
  if (client.active_query != 0 || client.undelivered_bytes > 0) return false;
  if (!has_next_query(manager, index)) return false;
  if (scope_->endless || client.queries_submitted > 0) return true;
  // If several clients have equal first queries, the client with the lowest index submits first: other orders
  // give the same histories with the clients renamed.
  const PlannedQuery own = planned_query(manager, index, 0);
  for (std::uint32_t other = 0; other < index; ++other) {
    const PlannedQuery first = planned_query(manager, other, 0);
    const bool is_equal = own.query_class == first.query_class && own.key == first.key;
    if (is_equal && clients[other].queries_submitted == 0) return false;
  }
  return true;
}

// ---- Channels ----

void ModelState::add_channel_moves(std::uint8_t manager, std::vector<Move>& moves) const {
  for (const EngineSideChannel& channel : managers_[manager].channels)
    add_channel_moves(manager, channel, moves);
}

void ModelState::add_channel_moves(std::uint8_t manager, const EngineSideChannel& channel,
                                   std::vector<Move>& moves) const {
  const auto add = [&](Step step) {
    moves.push_back({step, manager, static_cast<std::uint32_t>(channel.id)});
  };
  const ModelEngine& engine = engine_of(channel);
  const bool is_alive = has_running_process(channel) && engine.listed_state != EngineState::removed;
  if (channel.is_closed) {
    add(Step::answer_after_close);
    if (channel.progress_reports == 0) add(Step::progress_after_close);
    return;
  }
  if (!channel.is_open) {
    if (is_alive) add(Step::channel_opened);
    add(Step::connect_refused);
    add(Step::out_of_descriptors);
    return;
  }
  if (channel.is_paused) return;
  if (channel.transmission == Transmission::partial && is_alive && !engine.is_stalled)
    add(Step::query_written);
  add(Step::channel_reset);
  if (channel.pending_cancel) add(Step::cancel_reaches_engine);
  if (channel.transmission == Transmission::complete && is_alive) add_answer_moves(manager, channel, moves);
}

void ModelState::add_answer_moves(std::uint8_t manager, const EngineSideChannel& channel,
                                  std::vector<Move>& moves) const {
  const auto add = [&](Step step) {
    moves.push_back({step, manager, static_cast<std::uint32_t>(channel.id)});
  };
  if (channel.is_probe) {
    add(Step::answer_complete);
    add(Step::engine_error);
    return;
  }
  const bool has_no_part = channel.small_parts == 0 && channel.large_parts == 0;
  if (has_no_part) add(Step::answer_part);
  if (channel.small_parts == 0 && channel.large_parts < scope_->max_large_parts) {
    add(Step::large_answer_part);
    add(Step::answer_part_and_end);
  }
  if (has_no_part) add(Step::engine_overloaded);
  add(Step::answer_complete);
  add(Step::answer_complete_unclean);
  add(Step::engine_error);
  add(Step::protocol_error);
  if (channel.progress_reports == 0) add(Step::progress_report);
}

// ---- Engines ----

void ModelState::add_engine_moves(EngineId id, std::vector<Move>& moves) const {
  const ModelEngine& engine = engines_[id - 1];
  const auto add = [&](Step step) { moves.push_back({step, 0, id}); };
  const bool is_ready = engine.listed_state == EngineState::ready;
  const bool may_disrupt = is_ready && (scope_->endless || !engine.was_disrupted);
  if (!engine.is_stalled && has_unused_channel(id)) add(Step::stall_engine);
  if (engine.is_stalled) add(Step::unstall_engine);
  if (may_disrupt) add(Step::drain_engine);
  if (engine.listed_state == EngineState::draining || may_disrupt) add(Step::remove_engine);
  if (!is_ready) add(Step::restore_engine);
  if (may_disrupt) add(Step::restart_engine);
}

// A stall only affects queries that are sent after it.
bool ModelState::has_unused_channel(EngineId id) const {
  const auto is_unused = [id](const EngineSideChannel& channel) {
    return channel.engine == id && !channel.is_closed && channel.transmission == Transmission::none;
  };
  return std::any_of(managers_.begin(), managers_.end(), [&is_unused](const ManagerState& manager) {
    return std::any_of(manager.channels.begin(), manager.channels.end(), is_unused);
  });
}

// ---- Time ----

void ModelState::add_time_moves(std::vector<Move>& moves) const {
  if (is_idle()) return;
  const auto due = next_due();
  if (!due) return;
  if (*due > now_ + due_soon) {
    moves.push_back({Step::advance_before_timer});
  } else if (*due > now_) {
    moves.push_back({Step::advance_to_timer});
  } else {
    moves.push_back({Step::fire_timers});
    if (!timer_delayed_) moves.push_back({Step::delay_timer});
  }
}

std::optional<TimePoint> ModelState::next_due() const {
  std::optional<TimePoint> first;
  for (const ManagerState& manager : managers_) {
    const auto due = manager.dispatcher.due();
    if (due && (!first || *due < *first)) first = due;
  }
  return first;
}

// Nothing is in flight, so advancing time would have no other effect.
bool ModelState::is_idle() const {
  if (scope_->endless) return false;
  return std::all_of(managers_.begin(), managers_.end(), [](const ManagerState& manager) {
    const core::Counts counts = manager.dispatcher.counts();
    return counts.queries_open == 0 && counts.channels == 0 && counts.attempts_out == 0;
  });
}

}  // namespace paddlestand::explorer
