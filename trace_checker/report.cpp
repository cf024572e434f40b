// Formats verdicts as text and as JSON. The JSON keys are a file format and differ from the terms of the
// code.
#include <nlohmann/json.hpp>
#include <sstream>

#include "trace_checker.hpp"

namespace paddlestand::trace_checker {

std::string summary(const Verdict& verdict) {
  std::ostringstream out;
  out << verdict.requests << " requests, " << verdict.client_attempts << " client attempts, "
      << verdict.engine_attempts << " engine attempts; ";
  if (verdict.by_rule.empty()) {
    out << "no rule violated";
  } else {
    out << "VIOLATIONS:";
    for (const auto& [rule, count] : verdict.by_rule) out << " rule " << rule << " x " << count;
  }
  return out.str();
}

std::string report_json(const Verdict& verdict) {
  nlohmann::json report{{"requests", verdict.requests},
                        {"tries", verdict.client_attempts},
                        {"attempts", verdict.engine_attempts},
                        {"answers", verdict.answers}};
  report["breaches"] = nlohmann::json::array();
  for (const RuleViolation& violation : verdict.violations) {
    report["breaches"].push_back(
        {{"rule", violation.rule}, {"what", violation.description}, {"history", violation.history}});
  }
  for (const auto& [rule, count] : verdict.by_rule) report["by_rule"][std::to_string(rule)] = count;
  return report.dump(2);
}

}  // namespace paddlestand::trace_checker
