/// The settings of a test engine; its command line sets them one by one.
#pragma once

#include <cstdint>
#include <string>

#include "simulation/engine_model/engine_model.hpp"

namespace paddlestand::test_engine {

/// Times in seconds.
struct TestEngineSettings {
  std::string name = "engine";
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  ///< for queries; zero: any
  std::uint16_t control_port = 0;  ///< for commands; zero: any
  simulation::EngineShape shape;
  std::string truth_log;  ///< a file to append to; empty: none
  double report_period_s = 0;  ///< the greatest age of a load report; zero: always current
  double progress_period_s = 0;  ///< between progress reports of a running query; zero: none
  std::uint64_t seed = 1;
  bool begins_slow_start = false;  ///< otherwise as if its slow start had ended long ago
};

}  // namespace paddlestand::test_engine
