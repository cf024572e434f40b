// Reads the logs of a day (log_words.hpp).
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "trace_checker.hpp"

namespace paddlestand::trace_checker {
namespace {

/// Maps the keys of a log line to the members of a record. Returns nullopt if the line is not an event.
std::optional<Record> parse_record(const std::string& line) {
  const auto json = nlohmann::json::parse(line, nullptr, false);
  if (!json.is_object() || !json.contains("t") || !json.contains("what")) return std::nullopt;
  const auto text = [&json](const char* name) { return json.value(name, std::string{}); };
  Record record;
  record.time_ns = json["t"].get<std::int64_t>();
  record.event = json["what"].get<std::string>();
  record.attempt_id = text("id");
  record.class_name = text("class");
  record.key = text("key");
  record.manager = text("manager");
  record.engine = text("engine");
  record.kind = text("kind");
  record.state = text("state");
  record.request_number = json.value("request", std::int64_t{0});
  record.client_timeout_ms = json.value("patience_ms", 0.0);
  record.is_retry_safe = json.value("harmless", false);
  return record;
}

std::vector<std::filesystem::path> log_files(const std::string& folder) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".jsonl") files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

}  // namespace

std::vector<Record> read_logs(const std::string& folder, std::vector<std::string>& problems) {
  std::vector<Record> records;
  for (const auto& path : log_files(folder)) {
    std::ifstream file(path);
    std::size_t number = 0;
    for (std::string line; std::getline(file, line);) {
      ++number;
      if (auto record = parse_record(line)) {
        records.push_back(std::move(*record));
      } else {
        problems.push_back(path.string() + ":" + std::to_string(number) +
                           ": not a JSON object with t and what");
      }
    }
  }
  return records;
}

}  // namespace paddlestand::trace_checker
