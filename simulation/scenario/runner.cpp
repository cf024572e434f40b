#include "runner.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cstdio>
#include <thread>

#include "client.hpp"
#include "fault_schedule.hpp"
#include "results_table.hpp"
#include "system_under_test.hpp"

namespace paddlestand::simulation {
namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;
using namespace std::chrono_literals;

namespace {

constexpr auto max_overtime = 40s;  // for requests that are still open at the end of the day
constexpr auto open_requests_poll = 20ms;
constexpr auto list_read_time = 300ms;  // for all managers to read the engine list

/// Runs one day. For a single call of run(); `plan` and `progress` must outlive it.
class Runner {
 public:
  Runner(const DayPlan& plan, const std::function<void(const std::string&)>& progress)
      : plan_(plan), day_(plan.day), progress_(progress), system_(plan), io_(1) {}

  DayResult run() {
    const LogFile client_log = open_log(plan_.folder, "clients.jsonl");
    system_.start();
    progress_("day " + day_.name + ": " + std::to_string(day_.engines) + " engines, " +
              std::to_string(day_.managers) + " managers");
    std::this_thread::sleep_for(list_read_time);
    Clients clients(io_, day_, system_.manager_ports(), client_log.get());
    FaultSchedule faults(io_, day_, system_, problems_);
    const std::vector<Arrival> arrivals = arrivals_of(day_);
    asio::co_spawn(io_, send_requests(arrivals, clients), [](const std::exception_ptr& problem) {
      if (problem) std::rethrow_exception(problem);
    });
    faults.start();
    io_.run();
    system_.stop(problems_);
    std::fflush(client_log.get());
    return result(clients);
  }

 private:
  asio::awaitable<void> send_requests(const std::vector<Arrival>& arrivals, Clients& clients) {
    const auto start = steady_clock::now();
    asio::steady_timer timer(io_);
    error_code ignored;
    for (const Arrival& arrival : arrivals) {
      timer.expires_at(start + std::chrono::duration_cast<steady_clock::duration>(arrival.at));
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      clients.start_request(arrival);
    }
    const auto deadline = steady_clock::now() + max_overtime;
    while (clients.open_requests() > 0 && steady_clock::now() < deadline) {
      timer.expires_after(open_requests_poll);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (clients.open_requests() > 0) {
      problems_.push_back(std::to_string(clients.open_requests()) +
                          " requests were still open when the run ended");
    }
    io_.stop();
  }

  DayResult result(const Clients& clients) {
    DayResult day_result;
    day_result.verdict =
        trace_checker::check(parameters_of(day_), trace_checker::read_logs(plan_.folder, problems_));
    day_result.problems = problems_;
    day_result.table = results_table(day_, clients.results());
    return day_result;
  }

  const DayPlan& plan_;
  const Day& day_;
  const std::function<void(const std::string&)>& progress_;
  std::vector<std::string> problems_;
  SystemUnderTest system_;
  asio::io_context io_;
};

double seconds(Duration duration) { return static_cast<double>(duration.count()) * 1e-9; }

}  // namespace

trace_checker::DayParameters parameters_of(const Day& day) {
  trace_checker::DayParameters parameters;
  for (const DayClass& day_class : day.classes) {
    trace_checker::ClassParameters& class_parameters = parameters.classes[day_class.name];
    class_parameters.idempotent = day_class.idempotency == Idempotency::idempotent;
    class_parameters.idempotent_with_key = day_class.idempotency == Idempotency::idempotent_with_key;
    class_parameters.idempotency_window_s = seconds(day_class.idempotency_window);
    class_parameters.ordered_by_key = day_class.ordered_by_key;
    class_parameters.zones = day_class.zones;
  }
  for (std::uint32_t engine = 0; engine < day.engines; ++engine)
    parameters.engine_zones[engine_name(engine)] = day.zone_of(engine);
  parameters.drain_grace_s = seconds(day.drain_grace);
  parameters.list_poll_s = seconds(day.list_poll);
  parameters.slack_s = seconds(day.answer_slack);
  parameters.max_observation_skew_s = seconds(day.max_observation_skew);
  parameters.budget_floor = day.budget.floor;
  parameters.budget_share = day.budget.share;
  parameters.budget_window_s = seconds(day.budget.window);
  return parameters;
}

DayResult run_day(const DayPlan& plan, const std::function<void(const std::string&)>& progress) {
  return Runner(plan, progress).run();
}

}  // namespace paddlestand::simulation
