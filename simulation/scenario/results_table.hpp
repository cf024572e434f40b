/// The outcomes of a day as a text table, for the console.
#pragma once

#include <string>
#include <vector>

#include "client.hpp"
#include "scenario.hpp"

namespace paddlestand::simulation {

/// A line for each class: attempts by outcome, and quantiles of the response time of those that were served.
[[nodiscard]] std::string results_table(const Day& day, const std::vector<ClassResults>& results);

}  // namespace paddlestand::simulation
