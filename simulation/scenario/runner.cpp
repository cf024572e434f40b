#include "runner.hpp"

#include <signal.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/process.hpp>
#include <cmath>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "client.hpp"

namespace paddlestand::simulation {
namespace asio = boost::asio;
namespace bp = boost::process;
using boost::system::error_code;
using std::chrono::steady_clock;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto start_time = 20s;  // for a process to say on which port it listens
constexpr auto after_end = 40s;  // at most, for what is open at the day's end

std::string time_text(Duration d) { return std::to_string(d.count() / 1000) + "us"; }

// A child that dies with this object.
class Process {
 public:
  Process() = default;
  template <typename... Args>
  explicit Process(Args&&... args) : child_(std::forward<Args>(args)...) {}
  Process(Process&&) = default;
  Process& operator=(Process&& other) {
    kill();
    child_ = std::move(other.child_);
    return *this;
  }
  ~Process() { kill(); }

  void kill() {
    error_code ignored;
    std::error_code unused;
    if (child_.valid() && child_.running(unused)) child_.terminate(unused);
    if (child_.valid()) child_.wait(unused);
  }
  void ask_to_leave() {
    if (child_.valid()) ::kill(child_.id(), SIGTERM);
  }
  bool running() {
    std::error_code unused;
    return child_.valid() && child_.running(unused);
  }
  int exit_code() { return child_.exit_code(); }

 private:
  bp::child child_;
};

class Runner {
 public:
  Runner(const DayPlan& plan, const std::function<void(const std::string&)>& progress)
      : plan_(plan),
        day_(plan.day),
        say_(progress),
        io_(1),
        engines_(day_.engines),
        managers_(day_.managers) {
    events_ = std::fopen((plan_.folder + "/events.jsonl").c_str(), "w");
    clients_log_ = std::fopen((plan_.folder + "/clients.jsonl").c_str(), "w");
    if (events_ == nullptr || clients_log_ == nullptr)
      throw std::runtime_error(plan_.folder + ": can't be written to");
  }
  ~Runner() {
    std::fclose(events_);
    std::fclose(clients_log_);
  }
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  DayResult run() {
    for (std::uint32_t i = 0; i < day_.engines; ++i) start_engine(i, false);
    write_list();
    for (std::uint32_t i = 0; i < day_.managers; ++i) start_manager(i);
    for (Engine& e : engines_) wait_for_ports(e);
    write_list();
    std::vector<std::uint16_t> ports;
    for (std::uint32_t i = 0; i < day_.managers; ++i) {
      managers_[i].port = static_cast<std::uint16_t>(read_port(manager_file(i, "port")));
      write_manager(i);  // with its port, for a restart
      ports.push_back(managers_[i].port);
    }
    say_("day " + day_.name + ": " + std::to_string(day_.engines) + " engines, " +
         std::to_string(day_.managers) + " managers");
    std::this_thread::sleep_for(300ms);  // all managers have read the list
    clients_ = std::make_unique<Clients>(io_, day_, ports, clients_log_);
    const auto arrivals = arrivals_of(day_);
    began_ = steady_clock::now();
    asio::co_spawn(io_, ask_all(arrivals), rethrow);
    for (const DayTrouble& trouble : day_.troubles) asio::co_spawn(io_, act(trouble), rethrow);
    io_.run();
    return finish();
  }

 private:
  struct Engine {
    Process process;
    std::uint16_t port = 0, control = 0;
    std::string state = "ready";  // as it is
    double started = 0;
    bool may_be_down = false;
  };
  struct ManagerProcess {
    Process process;
    std::uint16_t port = 0;
    bool may_be_down = false;
  };

  static void rethrow(const std::exception_ptr& problem) {
    if (problem) std::rethrow_exception(problem);
  }

  void event(const nlohmann::json& more) {
    nlohmann::json line{{"t", steady_clock::now().time_since_epoch().count()}};
    line.update(more);
    const std::string text = line.dump() + "\n";
    std::fwrite(text.data(), 1, text.size(), events_);
  }

  [[nodiscard]] static std::string engine_name(std::uint32_t i) { return "e" + std::to_string(i + 1); }
  [[nodiscard]] static std::string manager_name(std::uint32_t i) { return "m" + std::to_string(i + 1); }
  [[nodiscard]] std::string manager_file(std::uint32_t i, const char* what) const {
    return plan_.folder + "/" + manager_name(i) + "." + what;
  }

  static long read_port(const std::string& path) {
    const auto until = steady_clock::now() + start_time;
    while (steady_clock::now() < until) {
      long port = 0;
      if (std::ifstream file(path); file >> port && port > 0) return port;
      std::this_thread::sleep_for(5ms);
    }
    throw std::runtime_error("a process did not start: no " + path);
  }

  void start_engine(std::uint32_t i, bool cold) {
    Engine& e = engines_[i];
    const std::string ports = plan_.folder + "/" + engine_name(i) + ".ports";
    std::vector<std::string> args{"--name",
                                  engine_name(i),
                                  "--port",
                                  std::to_string(e.port),
                                  "--control-port",
                                  std::to_string(e.control),
                                  "--port-file",
                                  ports,
                                  "--truth-log",
                                  plan_.folder + "/" + engine_name(i) + ".jsonl",
                                  "--cores",
                                  text(day_.cores),
                                  "--memory-mb",
                                  text(day_.memory_mb),
                                  "--speed",
                                  text(day_.speed),
                                  "--memory-shortage",
                                  day_.memory_shortage,
                                  "--cold-share",
                                  text(day_.slow_start_capacity_share),
                                  "--cold-time",
                                  text(seconds(day_.slow_start_duration)),
                                  "--fall-multiple",
                                  text(day_.overload_multiple),
                                  "--fall-window",
                                  text(seconds(day_.overload_window)),
                                  "--note-period",
                                  text(seconds(day_.progress_report_period)),
                                  "--seed",
                                  std::to_string(day_.seed + i)};
    if (cold) {
      args.emplace_back("--cold");
      e.started = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    }
    e.process = Process(plan_.engine_program, bp::args(args), bp::std_in<bp::null, bp::std_out> bp::null,
                        bp::std_err > bp::null);
    e.state = "ready";
    e.may_be_down = false;
  }

  void wait_for_ports(Engine& e) {
    const auto i = static_cast<std::uint32_t>(&e - engines_.data());
    const std::string path = plan_.folder + "/" + engine_name(i) + ".ports";
    read_port(path);
    std::ifstream file(path);
    file >> e.port >> e.control;
  }

  static std::string text(double value) {
    std::ostringstream out;
    out << value;
    return out.str();
  }
  static double seconds(Duration d) { return static_cast<double>(d.count()) * 1e-9; }

  void start_manager(std::uint32_t i) {
    if (managers_[i].port == 0) write_manager(i);
    std::vector<std::string> args{"serve", "--config", manager_file(i, "xml"), "--port-file",
                                  manager_file(i, "port")};
    managers_[i].process =
        Process(plan_.manager_program, bp::args(args), bp::std_in<bp::null, bp::std_out> bp::null,
                bp::std_err > manager_file(i, "err"));
    managers_[i].may_be_down = false;
  }

  void write_manager(std::uint32_t i) const {
    std::ofstream out(manager_file(i, "xml"));
    out << "<manager xmlns=\"urn:paddlestand:manager:1\" name=\"" << manager_name(i) << "\">\n"
        << "<listen port=\"" << managers_[i].port << "\"/>\n"
        << "<kinds><kind name=\"std\" cores=\"" << day_.cores << "\" memory-mb=\"" << day_.memory_mb
        << "\"/></kinds>\n";
    if (!day_.zones.empty()) {
      out << "<zones names=\"";
      for (const std::string& zone : day_.zones) out << zone << " ";
      out << "\" own=\"" << day_.zones[i % day_.zones.size()] << "\"/>\n";
    }
    out << "<classes otherwise=\"" << day_.classes.front().name << "\">\n";
    for (const DayClass& k : day_.classes) {
      const char* repeat = k.repeat == Idempotency::idempotent            ? "safe"
                           : k.repeat == Idempotency::idempotent_with_key ? "keyed"
                                                                          : "unsafe";
      out << "<class name=\"" << k.name << "\" aim=\"" << time_text(k.latency_objective)
          << "\" aim-stretch=\"" << k.objective_per_run_time << "\" deadline=\"" << time_text(k.deadline)
          << "\" worth=\"" << k.priority_weight << "\" late-worth=\"" << k.late_answer_weight
          << "\" threads=\"" << k.threads << "\" repeat=\"" << repeat << "\" key-scope=\"all\" key-window=\""
          << time_text(k.idempotency_window) << "\" in-turn=\"" << (k.ordered_by_key ? "true" : "false")
          << "\" writes-tables=\"" << (k.writes ? "true" : "false") << "\" waits-for-writers=\"true\"";
      if (!k.zones.empty()) {
        out << " zones=\"";
        for (const std::string& zone : k.zones) out << zone << " ";
        out << "\"";
      }
      out << "/>\n";
    }
    out << "</classes>\n";
    if (!day_.tenants.empty()) {
      out << "<tenants>";
      for (const DayTenant& t : day_.tenants)
        out << "<tenant name=\"" << t.name << "\" quota-per-s=\"" << t.quota_per_s << "\"/>";
      out << "</tenants>\n";
    }
    out << "<decisions instances=\"" << day_.managers << "\" position=\"" << i << "\" seed=\""
        << day_.seed + i << "\" most-attempts=\"" << day_.max_attempts << "\" drain-grace=\""
        << time_text(day_.drain_grace) << "\" cold-share=\"" << day_.slow_start_capacity_share
        << "\" cold-time=\"" << time_text(day_.slow_start_duration) << "\" fall-multiple=\""
        << day_.overload_multiple << "\" fall-window=\"" << time_text(day_.overload_window)
        << "\" order-settle=\"" << time_text(day_.ordering_settle_time) << "\" note-period=\""
        << time_text(day_.progress_report_period) << "\" budget-floor=\"" << day_.budget.floor
        << "\" budget-share=\"" << day_.budget.share << "\" budget-window=\"" << time_text(day_.budget.window)
        << "\"/>\n"
        << "<engines file=\"engines.xml\" poll=\"" << time_text(day_.list_poll) << "\"/>\n"
        << "<log file=\"" << manager_name(i) << ".log\"/>\n"
        << "<leave grace=\"2s\"/>\n</manager>\n";
  }

  // The list as discovery tells it: whole or not at all, since managers read it at any moment.
  void write_list() {
    if (stale_ > 0) return;
    const std::string path = plan_.folder + "/engines.xml", fresh = path + ".new";
    {
      std::ofstream out(fresh);
      out << "<engines xmlns=\"urn:paddlestand:manager:1\">\n";
      for (std::uint32_t i = 0; i < day_.engines; ++i) {
        const Engine& e = engines_[i];
        if (e.state == "gone" || e.port == 0) continue;
        out << "<engine id=\"" << i + 1 << "\" name=\"" << engine_name(i)
            << "\" address=\"127.0.0.1\" port=\"" << e.port << "\" kind=\"std\" state=\"" << e.state << "\"";
        if (!day_.zones.empty()) out << " zone=\"" << day_.zone_of(i) << "\"";
        if (e.started > 0) out << " started=\"" << std::fixed << e.started << "\"" << std::defaultfloat;
        out << "/>\n";
      }
      out << "</engines>\n";
    }
    if (std::rename(fresh.c_str(), path.c_str()) != 0) throw std::runtime_error(path + ": can't be written");
    for (std::uint32_t i = 0; i < day_.engines; ++i) {
      if (listed_.size() < day_.engines) listed_.resize(day_.engines, "ready");
      if (listed_[i] == engines_[i].state) continue;
      listed_[i] = engines_[i].state;
      event({{"what", "listed"}, {"engine", engine_name(i)}, {"state", listed_[i]}});
    }
  }

  asio::awaitable<void> sleep(Duration d) {
    asio::steady_timer timer(io_, d);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }

  asio::awaitable<void> ask_all(const std::vector<Arrival>& arrivals) {
    asio::steady_timer timer(io_);
    error_code ignored;
    for (const Arrival& one : arrivals) {
      timer.expires_at(began_ + std::chrono::duration_cast<steady_clock::duration>(one.at));
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      clients_->ask(one);
    }
    const auto until = steady_clock::now() + after_end;
    while (clients_->open() > 0 && steady_clock::now() < until) co_await sleep(20ms);
    if (clients_->open() > 0)
      problems_.push_back(std::to_string(clients_->open()) + " clients never came to an end");
    io_.stop();
  }

  asio::awaitable<void> command(std::uint32_t i, std::string line) {
    tcp::socket socket(io_);
    error_code error;
    co_await socket.async_connect({asio::ip::address_v4::loopback(), engines_[i].control},
                                  asio::redirect_error(asio::use_awaitable, error));
    line += "\n";
    if (!error)
      co_await asio::async_write(socket, asio::buffer(line),
                                 asio::redirect_error(asio::use_awaitable, error));
    char answer[256];
    std::size_t got = 0;
    if (!error)
      got = co_await socket.async_read_some(asio::buffer(answer),
                                            asio::redirect_error(asio::use_awaitable, error));
    if (!error && std::string_view(answer, got) != "ok\n")
      problems_.push_back(engine_name(i) + ": " + std::string(answer, got));
  }

  // Engines in turn, so that troubles that overlap strike others first.
  std::vector<std::uint32_t> pick(std::uint32_t count) {
    std::vector<std::uint32_t> out;
    for (std::uint32_t n = 0; n < std::min(count, day_.engines); ++n) out.push_back(next_++ % day_.engines);
    return out;
  }

  void kill_engine(std::uint32_t i) {
    engines_[i].may_be_down = true;
    engines_[i].process.kill();
    event({{"what", "died"}, {"engine", engine_name(i)}});
  }

  asio::awaitable<void> crash(std::uint32_t i, Duration down) {
    kill_engine(i);
    const Duration lag = std::min(day_.list_delay, down);
    co_await sleep(lag);
    engines_[i].state = "gone";
    write_list();
    co_await sleep(down - lag);
    start_engine(i, true);
    engines_[i].state = "gone";  // until the list has noticed
    wait_for_ports(engines_[i]);
    co_await sleep(day_.list_delay);
    engines_[i].state = "ready";
    write_list();
  }

  asio::awaitable<void> drain(std::uint32_t i, Duration length, bool restart) {
    engines_[i].state = "draining";
    write_list();
    co_await sleep(restart ? std::max(day_.drain_grace * 4, Duration(1s)) : length);
    if (restart) co_return co_await crash(i, length);
    engines_[i].state = "ready";
    write_list();
  }

  asio::awaitable<void> command_for(std::vector<std::uint32_t> engines, std::string line, Duration length) {
    for (const std::uint32_t i : engines) co_await command(i, line);
    co_await sleep(length);
    for (const std::uint32_t i : engines) co_await command(i, "normal");
  }

  asio::awaitable<void> restart_manager(std::uint32_t i, Duration down, bool asked) {
    managers_[i].may_be_down = true;
    if (asked) {
      managers_[i].process.ask_to_leave();
      for (int n = 0; n < 500 && managers_[i].process.running(); ++n) co_await sleep(10ms);
      if (managers_[i].process.running())
        problems_.push_back(manager_name(i) + " did not leave when asked to");
    }
    // Whom it left without an answer is forgiven only where it was killed.
    if (!asked) event({{"what", "manager_killed"}, {"manager", manager_name(i)}});
    managers_[i].process.kill();
    if (asked) event({{"what", "manager_down"}, {"manager", manager_name(i)}});
    co_await sleep(down);
    start_manager(i);
  }

  asio::awaitable<void> act(DayTrouble t) {
    co_await sleep(t.at);
    event({{"what", "trouble"}, {"kind", t.kind}});
    const std::string& kind = t.kind;
    const std::map<std::string, std::string> commands{{"vanish", "vanish"},
                                                      {"hang", "hang"},
                                                      {"mute", "mute-mid"},
                                                      {"full", "full"},
                                                      {"refuse", "refuse"},
                                                      {"flush", "flush"},
                                                      {"reset", "reset"},
                                                      {"slow", "slow " + text(t.amount)},
                                                      {"fast_errors", "fail " + text(t.amount)},
                                                      {"answer_lost", "lose " + text(t.amount)},
                                                      {"report_late", "report-late " + text(t.amount)}};
    if (const auto found = commands.find(kind); found != commands.end()) {
      co_await command_for(pick(t.count), found->second, t.length);
    } else if (kind == "shared_slow") {
      co_await command_for(pick(day_.engines), "slow " + text(t.amount), t.length);
    } else if (kind == "crash" || kind == "mass_restart") {
      for (const std::uint32_t i : pick(kind == "crash" ? t.count : day_.engines))
        asio::co_spawn(io_, crash(i, t.length), rethrow);
    } else if (kind == "drain" || kind == "preempt") {
      for (const std::uint32_t i : pick(t.count))
        asio::co_spawn(io_, drain(i, t.length, kind == "preempt"), rethrow);
    } else if (kind == "deploy") {
      for (const std::uint32_t i : pick(t.count)) co_await drain(i, t.length, true);
    } else if (kind == "discovery_stale") {
      ++stale_;
      co_await sleep(t.length);
      --stale_;
      write_list();
    } else if (kind == "balancer_crash") {
      for (std::uint32_t n = 0; n < std::min(t.count, day_.managers); ++n)
        asio::co_spawn(io_, restart_manager(n, t.length, false), rethrow);
    } else if (kind == "balancer_roll") {
      for (std::uint32_t n = 0; n < day_.managers; ++n) co_await restart_manager(n, t.length, true);
    }
    // burst, tenant_burst, heavy_tail, shift, hot_key and give_up are in the arrivals
  }

  DayResult finish() {
    DayResult out;
    for (std::uint32_t i = 0; i < day_.managers; ++i) {
      ManagerProcess& m = managers_[i];
      if (!m.process.running() && !m.may_be_down)
        problems_.push_back(manager_name(i) + " ended by itself, see " + manager_file(i, "err"));
      m.process.ask_to_leave();
    }
    for (int n = 0; n < 400; ++n) {
      if (std::none_of(managers_.begin(), managers_.end(),
                       [](ManagerProcess& m) { return m.process.running(); }))
        break;
      std::this_thread::sleep_for(10ms);
    }
    for (ManagerProcess& m : managers_) m.process.kill();
    for (Engine& e : engines_) {
      if (!e.process.running() && !e.may_be_down) problems_.push_back("an engine's process ended by itself");
      e.process.kill();
    }
    std::fflush(events_);
    std::fflush(clients_log_);
    out.verdict = trace_checker::judge(figures_of(day_), trace_checker::read_logs(plan_.folder, problems_));
    out.problems = problems_;
    out.table = table();
    return out;
  }

  [[nodiscard]] std::string table() const {
    std::ostringstream out;
    char line[200];
    std::snprintf(line, sizeof(line), "%-16s %8s %8s %8s %8s %8s %9s %6s %6s %9s %9s\n", "class", "asked",
                  "served", "refused", "failed", "late", "cancelled", "lost", "gone", "p50 ms", "p99 ms");
    out << line;
    for (std::size_t c = 0; c < day_.classes.size(); ++c) {
      DayCounts k = clients_->counts()[c];
      std::sort(k.served_ms.begin(), k.served_ms.end());
      const auto quantile = [&](double q) {
        if (k.served_ms.empty()) return 0.0;
        return k.served_ms[static_cast<std::size_t>(q * static_cast<double>(k.served_ms.size() - 1))];
      };
      std::snprintf(line, sizeof(line), "%-16s %8lu %8lu %8lu %8lu %8lu %9lu %6lu %6lu %9.1f %9.1f\n",
                    day_.classes[c].name.c_str(), k.asked, k.served, k.refused, k.failed, k.late, k.cancelled,
                    k.lost, k.gone, quantile(0.5), quantile(0.99));
      out << line;
    }
    return out.str();
  }

  const DayPlan& plan_;
  const Day& day_;
  std::function<void(const std::string&)> say_;
  asio::io_context io_;
  std::vector<Engine> engines_;
  std::vector<ManagerProcess> managers_;
  std::vector<std::string> listed_;
  std::vector<std::string> problems_;
  std::unique_ptr<Clients> clients_;
  std::FILE *events_ = nullptr, *clients_log_ = nullptr;
  steady_clock::time_point began_;
  std::uint32_t next_ = 0;
  int stale_ = 0;
};

}  // namespace

trace_checker::Figures figures_of(const Day& day) {
  trace_checker::Figures out;
  const auto seconds = [](Duration d) { return static_cast<double>(d.count()) * 1e-9; };
  for (const DayClass& k : day.classes)
    out.classes[k.name] = {k.repeat == Idempotency::idempotent, k.repeat == Idempotency::idempotent_with_key,
                           seconds(k.idempotency_window), k.ordered_by_key, k.zones};
  for (std::uint32_t i = 0; i < day.engines; ++i) out.zones["e" + std::to_string(i + 1)] = day.zone_of(i);
  out.drain_grace_s = seconds(day.drain_grace);
  out.list_poll_s = seconds(day.list_poll);
  out.slack_s = seconds(day.answer_slack);
  out.seen_apart_s = seconds(day.seen_apart);
  out.budget_floor = day.budget.floor;
  out.budget_share = day.budget.share;
  out.budget_window_s = seconds(day.budget.window);
  return out;
}

DayResult run_day(const DayPlan& plan, const std::function<void(const std::string&)>& progress) {
  return Runner(plan, progress).run();
}

}  // namespace paddlestand::simulation
