// paddlestand day run, paddlestand audit
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>

#include "commands.hpp"
#include "simulation/scenario/runner.hpp"
#include "trace_checker/trace_checker.hpp"

namespace paddlestand::app {
namespace {

namespace fs = std::filesystem;

struct DayOptions {
  std::string file, report, folder, engine_program;
  std::optional<std::uint64_t> seed;
  bool keep = false;
};

std::string own_program() {
  std::error_code error;
  return fs::read_symlink("/proc/self/exe", error).string();
}

int tell(const trace_checker::Verdict& verdict, const std::vector<std::string>& problems,
         const std::string& report) {
  for (const trace_checker::RuleViolation& violation : verdict.violations) {
    std::cout << "rule " << violation.rule << ": " << violation.what << "\n";
    for (const std::string& line : violation.history) std::cout << "    " << line << "\n";
  }
  for (const std::string& problem : problems) std::cout << "problem: " << problem << "\n";
  if (!report.empty()) {
    std::ofstream out(report);
    out << trace_checker::report_json(verdict) << "\n";
    if (!out) {
      std::cerr << "paddlestand: " << report << ": can't be written\n";
      return exit_failed;
    }
  }
  std::cout << trace_checker::summary(verdict) << (problems.empty() ? "" : "; the run had problems") << "\n";
  return verdict.by_rule.empty() && problems.empty() ? exit_well : exit_failed;
}

int run_day(const DayOptions& options) {
  auto read = simulation::read_day(options.file);
  if (const auto* fault = std::get_if<config::Fault>(&read)) {
    std::cerr << "paddlestand: " << fault->text() << "\n";
    return exit_bad_input;
  }
  simulation::DayPlan plan;
  plan.day = std::move(std::get<simulation::Day>(read));
  if (options.seed) plan.day.seed = *options.seed;
  plan.manager_program = own_program();
  plan.engine_program =
      options.engine_program.empty()
          ? (fs::path(plan.manager_program).parent_path() / "paddlestand_test_engine").string()
          : options.engine_program;
  std::string folder = options.folder;
  if (folder.empty()) {
    std::string pattern = (fs::temp_directory_path() / "paddlestand-day-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
      std::cerr << "paddlestand: no folder for the day's logs\n";
      return exit_failed;
    }
    folder = pattern;
  } else {
    std::error_code error;
    fs::create_directories(folder, error);
    if (error || !fs::is_empty(folder, error)) {
      std::cerr << "paddlestand: " << folder << "; wanted: an empty folder, or none\n";
      return exit_bad_input;
    }
  }
  plan.folder = fs::absolute(folder).string();
  try {
    const simulation::DayResult result =
        simulation::run_day(plan, [](const std::string& text) { std::cout << text << std::endl; });
    std::cout << result.table;
    const int code = tell(result.verdict, result.problems, options.report);
    if (options.folder.empty() && !options.keep && code == exit_well) {
      fs::remove_all(folder);
    } else {
      std::cerr << "logs are in " << folder << "\n";
    }
    return code;
  } catch (const std::exception& error) {
    std::cerr << "paddlestand: " << error.what() << "; logs are in " << folder << "\n";
    return exit_failed;
  }
}

int audit_again(const std::string& file, const std::string& folder, const std::string& report) {
  auto read = simulation::read_day(file);
  if (const auto* fault = std::get_if<config::Fault>(&read)) {
    std::cerr << "paddlestand: " << fault->text() << "\n";
    return exit_bad_input;
  }
  if (!fs::is_directory(folder)) {
    std::cerr << "paddlestand: " << folder << ": no folder\n";
    return exit_bad_input;
  }
  std::vector<std::string> problems;
  auto records = trace_checker::read_logs(folder, problems);
  return tell(
      trace_checker::judge(simulation::figures_of(std::get<simulation::Day>(read)), std::move(records)),
      problems, report);
}

}  // namespace

void add_day(CLI::App& app, int& result) {
  static DayOptions options;
  static std::string logs;
  auto* day = app.add_subcommand("day", "Days with troubles, on loopback, judged from the sockets");
  day->require_subcommand(1);
  auto* run = day->add_subcommand("run", "Run a day; exit 0 only where no rule was broken");
  run->add_option("file", options.file, "The day (XML, schema/day.xsd)")->required();
  run->add_option("--report", options.report, "Write the verdict as JSON to this file");
  run->add_option("--folder", options.folder, "Keep settings and logs in this empty folder");
  run->add_option("--seed", options.seed, "Another seed than the file's");
  run->add_option("--engine", options.engine_program, "Another stand-in program");
  run->add_flag("--keep", options.keep, "Keep the logs of a day that went well too");
  run->callback([&result] { result = run_day(options); });
  auto* judge = day->add_subcommand("audit", "Judge the logs of a day that was run before");
  judge->add_option("file", options.file, "The day")->required();
  judge->add_option("logs", logs, "The folder of its logs")->required();
  judge->add_option("--report", options.report, "Write the verdict as JSON to this file");
  judge->callback([&result] { result = audit_again(options.file, logs, options.report); });
}

}  // namespace paddlestand::app
