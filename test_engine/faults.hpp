/// The faults that a test engine injects on command.
#pragma once

namespace paddlestand::test_engine {

/// The faults that are active. Shares are probabilities from 0 to 1.
struct InjectedFaults {
  bool hang = false;  ///< accepts queries, but neither executes nor answers them
  bool vanish = false;  ///< as `hang`; also accepts new connections without reading from them
  bool overloaded = false;  ///< rejects every query
  bool draining = false;  ///< rejects new sessions
  bool stop_before_answer = false;  ///< executes the query, but sends no answer
  bool stop_mid_answer = false;  ///< sends half of the rows, then nothing more
  bool stop_before_ready = false;  ///< sends the answer without ReadyForQuery
  bool half_close = false;  ///< shuts down the sending direction after each answer
  double failure_share = 0;  ///< of queries that fail immediately
  double lost_answer_share = 0;  ///< of queries that are executed but never answered
};

}  // namespace paddlestand::test_engine
