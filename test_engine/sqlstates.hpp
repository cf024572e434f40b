/// The SQLSTATE codes that a test engine sends (appendix A of PostgreSQL's manual).
#pragma once

namespace paddlestand::test_engine::sqlstate {

inline constexpr const char* internal_error = "XX000";
inline constexpr const char* too_many_connections = "53300";
inline constexpr const char* query_canceled = "57014";
inline constexpr const char* crash_shutdown = "57P02";
inline constexpr const char* cannot_connect_now = "57P03";
inline constexpr const char* progress_report =
    "01P5T";  // a notice specific to paddlestand (docs/engine-protocol.md)

}  // namespace paddlestand::test_engine::sqlstate
