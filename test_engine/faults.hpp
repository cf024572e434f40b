/// The faults that a test engine injects on command.
#pragma once

namespace paddlestand::test_engine {

/// The faults that are in force. Shares are probabilities, from 0 to 1.
struct InjectedFaults {
  bool hang = false;  ///< accepts queries, executes nothing and answers nothing
  bool vanish = false;  ///< as hang; new connections are accepted by the kernel alone
  bool overloaded = false;  ///< rejects every query
  bool draining = false;  ///< rejects new sessions
  bool mute_before_answer = false;  ///< executes, then sends nothing
  bool mute_mid_answer = false;  ///< stops after half of the rows
  bool mute_before_ready = false;  ///< sends the answer without its ReadyForQuery
  bool half_close = false;  ///< ends its sending side after each answer
  double failure_share = 0;  ///< of queries that fail at once
  double lost_answer_share = 0;  ///< of queries that are executed and never answered
};

}  // namespace paddlestand::test_engine
