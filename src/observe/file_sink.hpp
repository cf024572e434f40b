/// A log file that survives a full or failing disk: what can't be written is lost, and the file is reopened
/// with a backoff. A rotating sink that fails between closing one file and opening the next is not usable any
/// more, and is made again.
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
  /// Never throws: the file may come later.
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
