/// The outcomes of a day as a text table.
#pragma once

#include <string>
#include <vector>

#include "client.hpp"
#include "scenario.hpp"

namespace paddlestand::simulation {

/// One line per class: attempts by outcome, and quantiles of the response times of served attempts.
[[nodiscard]] std::string results_table(const Day& day, const std::vector<ClassResults>& results);

}  // namespace paddlestand::simulation
