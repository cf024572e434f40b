#include "log.hpp"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <array>
#include <csignal>
#include <future>
#include <thread>

#include "file_sink.hpp"

namespace paddlestand::observe {
namespace {

constexpr std::size_t max_queued_lines = 8192;  // about 2 MiB

double milliseconds(Duration duration) { return static_cast<double>(duration.count()) * 1e-6; }

/// Blocks all signals during its lifetime. Threads started then inherit the mask, so that signal handlers run
/// only on the event loop's thread.
class BlockSignals {
 public:
  BlockSignals() {
    sigset_t all;
    sigfillset(&all);
    ::pthread_sigmask(SIG_BLOCK, &all, &previous_);
  }
  ~BlockSignals() { ::pthread_sigmask(SIG_SETMASK, &previous_, nullptr); }
  BlockSignals(const BlockSignals&) = delete;
  BlockSignals& operator=(const BlockSignals&) = delete;

 private:
  sigset_t previous_{};
};

std::string_view outcome_of(const core::AttemptAccount& attempt) {
  return attempt.result ? name_of(*attempt.result) : "out";
}

// Names in an answer come from the settings or from this program, so none needs escaping.
void append_answer_json(fmt::memory_buffer& line, const core::Answer& answer, std::string_view class_name) {
  const auto out = std::back_inserter(line);
  fmt::format_to(out, R"("event":"answer","query":{},"session":{},"class":"{}","kind":"{}")", answer.query,
                 answer.session, class_name, name_of(answer.kind));
  if (answer.deadline_exceeded) fmt::format_to(out, R"(,"time_up":true)");
  if (answer.begun) fmt::format_to(out, R"(,"begun":true)");
  if (answer.retry_after.count() > 0)
    fmt::format_to(out, R"(,"retry_after_ms":{:.3f})", milliseconds(answer.retry_after));
  fmt::format_to(out, R"(,"took_ms":{:.3f},"attempts":[)", milliseconds(answer.elapsed));
  std::string_view separator;
  for (const core::AttemptAccount& attempt : answer.attempts) {
    fmt::format_to(out, R"({}{{"engine":{},"result":"{}","at_ms":{:.3f},"took_ms":{:.3f}}})", separator,
                   attempt.engine, outcome_of(attempt), milliseconds(attempt.began),
                   milliseconds(attempt.elapsed));
    separator = ",";
  }
  fmt::format_to(out, "]");
}

void append_answer_text(fmt::memory_buffer& line, const core::Answer& answer, std::string_view class_name) {
  const auto out = std::back_inserter(line);
  fmt::format_to(out, "answer: query {} class {} {}{} in {:.3f} ms;", answer.query, class_name,
                 name_of(answer.kind), answer.deadline_exceeded ? " (time up)" : "",
                 milliseconds(answer.elapsed));
  for (const core::AttemptAccount& attempt : answer.attempts) {
    fmt::format_to(out, " engine {} {} after {:.3f} ms;", attempt.engine, outcome_of(attempt),
                   milliseconds(attempt.elapsed));
  }
}

void append_event_json(fmt::memory_buffer& line, LogEvent event, Log::Fields fields, std::string_view text) {
  const auto out = std::back_inserter(line);
  fmt::format_to(out, R"("event":"{}")", name_of(event));
  for (const LogField& field : fields) {
    fmt::format_to(out, ",");
    append_json(line, field);
  }
  if (text.empty()) return;
  fmt::format_to(out, R"(,"text":)");
  append_json_text(line, text);
}

void append_event_text(fmt::memory_buffer& line, LogEvent event, Log::Fields fields, std::string_view text) {
  const auto out = std::back_inserter(line);
  fmt::format_to(out, "{}:", name_of(event));
  for (const LogField& field : fields) {
    fmt::format_to(out, " ");
    append_console(line, field);
  }
  if (!text.empty()) fmt::format_to(out, " {}", text);
}

}  // namespace

std::string_view name_of(core::AnswerKind kind) {
  constexpr std::array<std::string_view, 4> names{"served", "refused", "failed", "cancelled"};
  return names[static_cast<std::size_t>(kind)];
}

std::string_view name_of(AttemptResult result) {
  constexpr std::array<std::string_view, 8> names{"served",         "engine_error", "full",      "timed_out",
                                                  "connect_failed", "reset",        "cancelled", "moot"};
  return names[static_cast<std::size_t>(result)];
}

Log::Log(const LogConfig& config, std::string manager)
    : manager_(std::move(manager)), json_(config.format == "json"), answers_(config.answers) {
  spdlog::sink_ptr sink;
  if (config.file == "-") {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  } else {
    sink = std::make_shared<FileSink>(config.file, config.max_bytes, config.files);
  }
  {
    const BlockSignals block;
    pool_ = std::make_shared<spdlog::details::thread_pool>(max_queued_lines, 1);
  }
  logger_ = std::make_shared<spdlog::async_logger>(manager_, sink, pool_,
                                                   spdlog::async_overflow_policy::overrun_oldest);
  // If the disk is full, there is nowhere to report it.
  logger_->set_error_handler([](const std::string&) {});
  logger_->flush_on(spdlog::level::warn);
  // Times are in UTC, so that logs of several managers can be compared.
  logger_->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      json_ ? R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","manager":"%n","level":"%l",%v})" : "%H:%M:%S.%e %n %l %v",
      spdlog::pattern_time_type::utc));
  set_level(config.level);
}

Log::~Log() {
  logger_.reset();
  pool_.reset();  // waits until the queued lines are written
}

bool Log::close_within(std::chrono::milliseconds limit) {
  logger_->set_level(spdlog::level::off);
  auto written = std::make_shared<std::promise<void>>();
  auto done = written->get_future();
  const BlockSignals block;
  try {
    std::thread([pool = std::exchange(pool_, nullptr), logger = logger_, written]() mutable {
      logger->flush();
      pool.reset();
      written->set_value();
    }).detach();
  } catch (const std::system_error&) { return false; }
  return done.wait_for(limit) == std::future_status::ready;
}

void Log::set_level(std::string_view level) {
  logger_->set_level(level == "debug"     ? spdlog::level::debug
                     : level == "warning" ? spdlog::level::warn
                     : level == "error"   ? spdlog::level::err
                                          : spdlog::level::info);
}

std::size_t Log::lost() const { return pool_ ? pool_->overrun_counter() : 0; }

void Log::write(spdlog::level::level_enum level, LogEvent event, Fields fields, std::string_view text) {
  if (!logger_->should_log(level)) return;
  fmt::memory_buffer line;
  if (json_) {
    append_event_json(line, event, fields, text);
  } else {
    append_event_text(line, event, fields, text);
  }
  logger_->log(level, std::string_view(line.data(), line.size()));
}

void Log::answer(const core::Answer& answer, std::string_view class_name) {
  if (!answers_ || !logger_->should_log(spdlog::level::info)) return;
  fmt::memory_buffer line;
  if (json_) {
    append_answer_json(line, answer, class_name);
  } else {
    append_answer_text(line, answer, class_name);
  }
  logger_->log(spdlog::level::info, std::string_view(line.data(), line.size()));
}

}  // namespace paddlestand::observe
