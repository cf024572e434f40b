/// Structured logs over spdlog: one JSON object per line, or the same content for a console. A writer thread
/// takes lines from a bounded queue. If the disk is slow or full, the oldest queued lines are lost; the event
/// loop never blocks.
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

/// The log of one manager. Owned by its host, and used only from the host's thread.
class Log {
 public:
  using Fields = std::initializer_list<LogField>;

  Log(const LogConfig& config, std::string manager);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  /// Takes debug, info, warning or error; any other text means info.
  void set_level(std::string_view level);

  /// `event` says what happened, and `fields` name the objects concerned. `text` is for people, and states
  /// only what no field does.
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

  /// Writes a query's final answer and the outcomes of its attempts, if the settings enable it.
  void answer(const core::Answer& answer, std::string_view class_name);

  /// Writes the queued lines and closes the log. Returns false if that takes longer than `limit`, for example
  /// because the reader of a pipe is stuck. The writer thread is then abandoned, and the process has to end
  /// with _Exit(), which does not wait for it.
  bool close_within(std::chrono::milliseconds limit);

  /// The number of lines lost because the queue was full.
  [[nodiscard]] std::size_t lost() const;

 private:
  void write(spdlog::level::level_enum level, LogEvent event, Fields fields, std::string_view text);

  std::string manager_;
  bool json_, answers_;
  std::shared_ptr<spdlog::details::thread_pool> pool_;
  std::shared_ptr<spdlog::logger> logger_;
};

/// Names as written in the log.
std::string_view name_of(core::AnswerKind kind);
std::string_view name_of(AttemptResult result);

}  // namespace paddlestand::observe
