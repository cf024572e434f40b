#include "truth_log.hpp"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace paddlestand::test_engine {

std::int64_t shared_clock_ns() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

double shared_clock_s() { return static_cast<double>(shared_clock_ns()) * 1e-9; }

TruthLog::TruthLog(std::string engine, const std::string& path) : engine_(std::move(engine)) {
  if (!path.empty()) file_.reset(std::fopen(path.c_str(), "a"));
}

void TruthLog::write(std::string_view event, const std::string& id) {
  write(event, id, nlohmann::json::object());
}

void TruthLog::write(std::string_view event, const std::string& id, const nlohmann::json& members) {
  if (file_ == nullptr) return;
  nlohmann::json line{
      {"t", shared_clock_ns()}, {"engine", engine_}, {"what", std::string(event)}, {"id", id}};
  line.update(members);
  const std::string text = line.dump() + "\n";
  std::fwrite(text.data(), 1, text.size(), file_.get());
  std::fflush(file_.get());
}

}  // namespace paddlestand::test_engine
