/// `paddlestand day run` and `paddlestand day audit`: run a day with faults and check its logs.
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
  std::string file;
  std::string report_file;  // empty: write no report
  std::string folder;  // empty: use a temporary folder
  std::string engine_program;  // empty: use the test engine in this program's folder
  std::optional<std::uint64_t> seed;  // overrides the seed of the day's file
  bool keep_logs = false;
};

/// The path of this program; empty if it cannot be determined.
std::string own_program_path() {
  std::error_code error;
  return fs::read_symlink("/proc/self/exe", error).string();
}

bool write_report(const std::string& path, const trace_checker::Verdict& verdict) {
  std::ofstream out(path);
  out << trace_checker::report_json(verdict) << "\n";
  return out.good();
}

/// Prints a verdict and writes the report if `report_file` is not empty. Returns the exit code.
int report_verdict(const trace_checker::Verdict& verdict, const std::vector<std::string>& problems,
                   const std::string& report_file) {
  for (const trace_checker::RuleViolation& violation : verdict.violations) {
    std::cout << "rule " << violation.rule << ": " << violation.description << "\n";
    for (const std::string& line : violation.history) std::cout << "    " << line << "\n";
  }
  for (const std::string& problem : problems) std::cout << "problem: " << problem << "\n";
  if (!report_file.empty() && !write_report(report_file, verdict)) {
    return report_failure(report_file + ": cannot be written");
  }
  std::cout << trace_checker::summary(verdict) << (problems.empty() ? "" : "; the run had problems") << "\n";
  return verdict.by_rule.empty() && problems.empty() ? exit_success : exit_failure;
}

/// Returns an empty folder for the logs, which is created if necessary, or an exit code after an error.
std::variant<std::string, int> prepare_folder(const std::string& path) {
  if (path.empty()) {
    std::string pattern = (fs::temp_directory_path() / "paddlestand-day-XXXXXX").string();
    if (mkdtemp(pattern.data()) != nullptr) return pattern;
    return report_failure("cannot create a temporary folder for the day's logs");
  }
  std::error_code error;
  fs::create_directories(path, error);
  if (!error && fs::is_empty(path, error)) return path;
  return report_bad_input(path + ": expected an empty folder or a path that does not exist");
}

/// Runs the day and reports its verdict. Logs in a temporary folder are removed if the day passed and they
/// are not to be kept.
int run_in_folder(const DayOptions& options, const simulation::DayPlan& plan, const std::string& folder) {
  try {
    const simulation::DayResult result =
        simulation::run_day(plan, [](const std::string& text) { std::cout << text << std::endl; });
    std::cout << result.table;
    const int code = report_verdict(result.verdict, result.problems, options.report_file);
    if (options.folder.empty() && !options.keep_logs && code == exit_success) {
      fs::remove_all(folder);
    } else {
      std::cerr << "logs are in " << folder << "\n";
    }
    return code;
  } catch (const std::exception& error) {
    return report_failure(std::string(error.what()) + "; logs are in " + folder);
  }
}

simulation::DayPlan make_plan(simulation::Day day, const DayOptions& options) {
  simulation::DayPlan plan;
  plan.day = std::move(day);
  if (options.seed) plan.day.seed = *options.seed;
  plan.manager_program = own_program_path();
  plan.engine_program = options.engine_program;
  if (plan.engine_program.empty())
    plan.engine_program = (fs::path(plan.manager_program).parent_path() / "paddlestand_test_engine").string();
  return plan;
}

int run_day(const DayOptions& options) {
  auto day = simulation::read_day(options.file);
  if (const auto* error = std::get_if<config::ConfigError>(&day)) return report_bad_input(error->text());
  simulation::DayPlan plan = make_plan(std::move(std::get<simulation::Day>(day)), options);
  const auto folder = prepare_folder(options.folder);
  if (const int* code = std::get_if<int>(&folder)) return *code;
  plan.folder = fs::absolute(std::get<std::string>(folder)).string();
  return run_in_folder(options, plan, std::get<std::string>(folder));
}

/// Checks the logs of a day that was run before.
int check_logs(const std::string& file, const std::string& folder, const std::string& report_file) {
  const auto day = simulation::read_day(file);
  if (const auto* error = std::get_if<config::ConfigError>(&day)) return report_bad_input(error->text());
  if (!fs::is_directory(folder)) return report_bad_input(folder + ": not a folder");
  std::vector<std::string> problems;
  auto records = trace_checker::read_logs(folder, problems);
  const auto parameters = simulation::parameters_of(std::get<simulation::Day>(day));
  return report_verdict(trace_checker::check(parameters, std::move(records)), problems, report_file);
}

}  // namespace

void add_day_command(CLI::App& app, int& result) {
  static DayOptions options;
  static std::string logs;
  auto* day = app.add_subcommand(
      "day", "Run a scenario with faults over real processes on loopback, and check its logs");
  day->require_subcommand(1);
  auto* run = day->add_subcommand("run", "Run a day; the exit code is 0 only if no rule was violated");
  run->add_option("file", options.file, "The day's file (XML, schema/day.xsd)")->required();
  run->add_option("--report", options.report_file, "Write the verdict as JSON to this file");
  run->add_option("--folder", options.folder,
                  "Write settings and logs to this folder, which must be empty or not exist");
  run->add_option("--seed", options.seed, "Use this seed instead of the one in the file");
  run->add_option("--engine", options.engine_program, "Path of the test engine program");
  run->add_flag("--keep", options.keep_logs, "Keep the logs even if the day passes");
  run->callback([&result] { result = run_day(options); });
  auto* audit = day->add_subcommand("audit", "Check the logs of a day that was run before");
  audit->add_option("file", options.file, "The day's file (XML, schema/day.xsd)")->required();
  audit->add_option("logs", logs, "Folder with the logs of the day")->required();
  audit->add_option("--report", options.report_file, "Write the verdict as JSON to this file");
  audit->callback([&result] { result = check_logs(options.file, logs, options.report_file); });
}

}  // namespace paddlestand::app
