#include "run_context.hpp"

#include <unistd.h>

namespace paddlestand::faults {
namespace {

std::filesystem::path create_log_folder(std::uint64_t seed) {
  const std::string name = "paddlestand-faults-" + std::to_string(::getpid()) + "-" + std::to_string(seed);
  auto folder = std::filesystem::temp_directory_path() / name;
  std::filesystem::create_directories(folder);
  return folder;
}

}  // namespace

RunContext::RunContext(const RunOptions& run_options)
    : options(run_options),
      random(run_options.seed),
      profile(profile_named(run_options.profile, random.generator())),
      folder(create_log_folder(run_options.seed)),
      event_log(path("run.events")) {}

}  // namespace paddlestand::faults
