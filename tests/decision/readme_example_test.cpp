// The example of the README: checks that it compiles and does what the README says.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

#include "paddlestand/workload_manager.hpp"

TEST(Readme, Example) {
  using namespace std::chrono_literals;
  paddlestand::Settings settings;
  settings.instances = 1;
  settings.clock_step = 5ms;
  settings.max_attempts = 3;
  settings.kinds = {{.cores = 8, .memory_mb = 16384}};
  paddlestand::ClassSettings lookup;
  lookup.latency_objective = 1s;
  lookup.deadline = 5s;
  lookup.priority_weight = 1;
  lookup.threads = 1;
  settings.classes = {lookup};

  paddlestand::WorkloadManager manager(settings);
  std::vector<paddlestand::Action> actions;
  const std::vector<paddlestand::EngineEntry> fleet{{.engine = 7, .state = paddlestand::EngineState::ready}};
  manager.handle(0s, paddlestand::EndpointsChanged{paddlestand::EndpointUpdate::full, fleet}, actions);
  paddlestand::RequestArrived request;
  request.request = 1;
  request.client_timeout = 5s;
  request.estimated_cost = 120ms;
  manager.handle(1ms, request, actions);

  EXPECT_TRUE(std::any_of(actions.begin(), actions.end(), [](const paddlestand::Action& action) {
    const auto* send = std::get_if<paddlestand::Send>(&action);
    return send != nullptr && send->engine == 7;
  }));
}
