/// The events that a manager logs, by the names that stand in the log's `event` field.
/// docs/operators/running.md and docs/operators/platform.md say what an operator does about each.
#pragma once

#include <cstdint>
#include <string_view>

namespace paddlestand::observe {

enum class LogEvent : std::uint8_t {
  started,  ///< the manager listens
  request_received,  ///< a client's request was read (with --trace)
  request_rejected,  ///< a request or a connection of a client was rejected before it reached the core
  request_cancelled,  ///< a client cancelled requests (with --trace)
  client_disconnected,  ///< a client disconnected with requests open
  client_closed,  ///< a client's connection was closed with requests open; with --trace any close
  client_stalled,  ///< a client does not read its answers
  login_timed_out,  ///< a client did not log in in time
  connection_aborted,  ///< a client's connection was closed inside a row
  backlog_exceeded,  ///< clients together hold too many unread bytes
  accept_failed,  ///< connections can't be accepted for the moment
  attempt_sent,  ///< an attempt went out to an engine (with --trace)
  attempt_ended,  ///< an attempt ended (with --trace)
  send_suppressed,  ///< an attempt was not sent: its client is gone, or its time (with --trace)
  cancel_unmatched,  ///< a cancel names no session
  engine_connect_failed,  ///< a connection to an engine could not be opened
  engine_connection_lost,  ///< a connection to an engine ended under streams, or broke the protocol
  engine_channel_failed,  ///< an engine rejected a channel, or broke the protocol on it
  engine_updated,  ///< an engine's entry in the list changed (with --trace)
  engine_list,  ///< an engine list was read, or could not be
  frame_unmatched,  ///< a frame that nobody waits for (with --trace)
  health_check,  ///< an engine answered a health check (with --trace)
  health_changed,  ///< outlier detection changed its view of an engine
  discovery_failed,  ///< the discovery channel failed
  config_reload,  ///< a reload of the configuration, done or failed
  shutdown_started,  ///< a graceful shutdown began
  shutdown_complete,  ///< nothing is held any more
  totals,  ///< counters at the end of the process
  invariant_violated,  ///< the invariant monitor found a violation
  violation,  ///< what must never happen did; the first of its kind
  assertion_failed,  ///< the records contradict each other; the process ends
};

/// The name of an event as it stands in the log.
std::string_view name_of(LogEvent event);

}  // namespace paddlestand::observe
