#include "file_sink.hpp"

#include <cstdio>

namespace paddlestand::observe {
namespace {

constexpr auto reopen_backoff = std::chrono::milliseconds(500);

}  // namespace

FileSink::FileSink(std::string path, std::size_t max_bytes, std::size_t files)
    : path_(std::move(path)), max_bytes_(max_bytes), files_(files) {
  if (!open()) {
    std::fprintf(stderr, "paddlestand: log file %s: cannot be opened; log lines are lost until it can be\n",
                 path_.c_str());
  }
}

bool FileSink::open() {
  if (file_) return true;
  if (std::chrono::steady_clock::now() < retry_open_at_) return false;
  try {
    file_ = std::make_unique<spdlog::sinks::rotating_file_sink_st>(path_, max_bytes_, files_);
    file_->set_formatter(formatter_->clone());
  } catch (const std::exception&) { close_after_failure(); }
  return file_ != nullptr;
}

void FileSink::close_after_failure() {
  file_.reset();
  retry_open_at_ = std::chrono::steady_clock::now() + reopen_backoff;
}

void FileSink::sink_it_(const spdlog::details::log_msg& message) {
  if (!open()) return;
  try {
    file_->log(message);
  } catch (const std::exception&) { close_after_failure(); }
}

void FileSink::flush_() {
  if (!file_) return;
  try {
    file_->flush();
  } catch (const std::exception&) { close_after_failure(); }
}

void FileSink::set_formatter_(std::unique_ptr<spdlog::formatter> formatter) {
  formatter_ = std::move(formatter);
  if (file_) file_->set_formatter(formatter_->clone());
}

}  // namespace paddlestand::observe
