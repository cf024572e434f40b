#include "log_events.hpp"

#include <array>
#include <cstddef>

namespace paddlestand::observe {
namespace {

constexpr std::array<std::string_view, 31> names{
    "started",
    "request_received",
    "request_rejected",
    "request_cancelled",
    "client_disconnected",
    "client_closed",
    "client_stalled",
    "login_timed_out",
    "connection_aborted",
    "backlog_exceeded",
    "accept_failed",
    "attempt_sent",
    "attempt_ended",
    "send_suppressed",
    "cancel_unmatched",
    "engine_connect_failed",
    "engine_connection_lost",
    "engine_channel_failed",
    "engine_updated",
    "engine_list",
    "frame_unmatched",
    "health_check",
    "health_changed",
    "discovery_failed",
    "config_reload",
    "shutdown_started",
    "shutdown_complete",
    "totals",
    "invariant_violated",
    "violation",
    "assertion_failed",
};
static_assert(names.size() == static_cast<std::size_t>(LogEvent::assertion_failed) + 1);

}  // namespace

std::string_view name_of(LogEvent event) { return names.at(static_cast<std::size_t>(event)); }

}  // namespace paddlestand::observe
