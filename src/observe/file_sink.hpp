/// A log file that survives a full or failing disk: lines that can't be written are lost, and the file is
/// reopened with a backoff. The rotating sink is created again after each failure, because one that failed
/// between closing a file and opening the next can't be used further.
#pragma once

#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/rotating_file_sink.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>

namespace paddlestand::observe {

class FileSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  /// Does not throw if the file can't be opened: opening is retried at later lines.
  FileSink(std::string path, std::size_t max_bytes, std::size_t files);

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override;
  void set_formatter_(std::unique_ptr<spdlog::formatter> formatter) override;

 private:
  bool open();
  void close_after_failure();

  std::string path_;
  std::size_t max_bytes_, files_;
  std::unique_ptr<spdlog::sinks::rotating_file_sink_st> file_;
  std::chrono::steady_clock::time_point retry_open_at_{};
};

}  // namespace paddlestand::observe
