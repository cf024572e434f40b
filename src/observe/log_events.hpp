/// The events that a manager logs. Their names are the values of the log's `event` field.
/// docs/operators/running.md and docs/operators/platform.md state what an operator does about each.
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
  backlog_exceeded,  ///< buffers exceed their total limit; a client is turned away
  accept_failed,  ///< connections temporarily can't be accepted
  attempt_sent,  ///< an attempt was sent to an engine (with --trace)
  attempt_ended,  ///< an attempt ended (with --trace)
  send_suppressed,  ///< an attempt was not sent: client disconnected or time up (with --trace)
  cancel_unmatched,  ///< a cancel request matches no session
  engine_connect_failed,  ///< a connection to an engine could not be opened
  engine_connection_lost,  ///< a connection to an engine ended with streams open, or violated the protocol
  engine_channel_failed,  ///< an engine rejected a channel, or violated the protocol on it
  engine_updated,  ///< an engine's entry in the list changed (with --trace)
  engine_list,  ///< an engine list was read, or reading it failed
  frame_unmatched,  ///< a frame matches no open request (with --trace)
  health_check,  ///< an engine answered a health check (with --trace)
  health_changed,  ///< outlier detection changed an engine's health state
  discovery_failed,  ///< the discovery channel failed
  config_reload,  ///< a configuration reload completed or failed
  shutdown_started,  ///< a graceful shutdown began
  shutdown_complete,  ///< the graceful shutdown completed: no requests remain
  totals,  ///< counters at the end of the process
  invariant_violated,  ///< the invariant monitor found a violation
  violation,  ///< a condition that must never occur; logged for the first of each kind
  assertion_failed,  ///< internal records are inconsistent; the process aborts
};

/// The name of an event as written in the log.
std::string_view name_of(LogEvent event);

}  // namespace paddlestand::observe
