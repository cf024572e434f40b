/// The settings of a test engine. main.cpp sets most of them from the command line.
#pragma once

#include <cstdint>
#include <string>

#include "simulation/engine_model/engine_model.hpp"

namespace paddlestand::test_engine {

/// Times in seconds.
struct TestEngineSettings {
  std::string name = "engine";
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  ///< for queries; 0: chosen by the system
  std::uint16_t control_port = 0;  ///< for commands; 0: chosen by the system
  simulation::EngineShape shape;
  std::string truth_log;  ///< path of a file to append to; empty: no log
  double report_period_s = 0;  ///< maximum age of a load report; 0: always current
  double progress_period_s = 0;  ///< between progress reports of a running query; 0: no reports
  std::uint64_t seed = 1;
  bool starts_in_slow_start = false;  ///< if false, the slow start is already over when the engine starts
};

}  // namespace paddlestand::test_engine
