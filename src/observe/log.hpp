/// Structured logs over spdlog: one JSON object a line, or the same for a console. Lines wait in a bounded
/// queue for a writer thread: where the disk is slow or full the oldest that wait are lost, and the event
/// loop is never blocked.
#pragma once

#include <spdlog/async.h>
#include <spdlog/logger.h>

#include <chrono>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "core/types.hpp"
#include "log_config.hpp"
#include "log_events.hpp"
#include "log_fields.hpp"

namespace paddlestand::observe {

/// The log of one manager. Owned by its host; may be used from the host's thread only.
class Log {
 public:
  using Fields = std::initializer_list<LogField>;

  Log(const LogConfig& config, std::string manager);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  /// debug, info, warning or error; anything else is info.
  void set_level(std::string_view level);

  /// `event` says what happened, `fields` to what; `text` is for people, and says what no field does.
  void debug(LogEvent event, Fields fields, std::string_view text = {}) {
    write(spdlog::level::debug, event, fields, text);
  }
  void info(LogEvent event, Fields fields, std::string_view text = {}) {
    write(spdlog::level::info, event, fields, text);
  }
  void warn(LogEvent event, Fields fields, std::string_view text = {}) {
    write(spdlog::level::warn, event, fields, text);
  }
  void error(LogEvent event, Fields fields, std::string_view text = {}) {
    write(spdlog::level::err, event, fields, text);
  }

  /// The same for an event without fields.
  void debug(LogEvent event, std::string_view text = {}) { debug(event, Fields{}, text); }
  void info(LogEvent event, std::string_view text = {}) { info(event, Fields{}, text); }
  void warn(LogEvent event, std::string_view text = {}) { warn(event, Fields{}, text); }
  void error(LogEvent event, std::string_view text = {}) { error(event, Fields{}, text); }

  /// A query's final answer and what became of its attempts, where the settings ask for them.
  void answer(const core::Answer& answer, std::string_view class_name);

  /// Writes what is queued and ends the log. False where that takes longer than the limit, as with a reader
  /// that is stuck: the writer thread is abandoned then, and only _Exit() ends the process in time.
  bool close_within(std::chrono::milliseconds limit);

  /// Lines that were lost because the queue was full.
  [[nodiscard]] std::size_t lost() const;

 private:
  void write(spdlog::level::level_enum level, LogEvent event, Fields fields, std::string_view text);

  std::string manager_;
  bool json_, answers_;
  std::shared_ptr<spdlog::details::thread_pool> pool_;
  std::shared_ptr<spdlog::logger> logger_;
};

/// Names as they stand in the log.
std::string_view name_of(core::AnswerKind kind);
std::string_view name_of(AttemptResult result);

}  // namespace paddlestand::observe
