/// A manager in a separate process, for tests that must not share an event loop or a clock with it.
#pragma once

#include <signal.h>

#include <boost/process.hpp>
#include <filesystem>
#include <fstream>

#include "peers.hpp"
#include "tests/program_under_test.hpp"

namespace paddlestand::platform::test {

/// The configuration of a manager with the given engines and three classes that differ in idempotency.
inline std::string process_config(const std::vector<std::uint16_t>& engines, std::uint16_t listen,
                                  std::uint16_t discovery_server, std::uint32_t max_descriptors = 256,
                                  std::uint32_t streams_per_connection = 8, std::uint32_t memory_mb = 64) {
  const auto class_json = [](const char* name, const char* repeat, const char* more_members) {
    return std::string("{\"name\":\"") + name +
           "\",\"aim_ns\":3000000000,\"deadline_ns\":6000000000,\"gain\":1.0,\"late_value\":0.5,\"repeat\":"
           "\"" +
           repeat + "\"" + more_members + "}";
  };
  std::string instances;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    char id[16];
    std::snprintf(id, sizeof(id), "s-%08x", static_cast<unsigned>(i + 1));
    instances += (i == 0 ? "" : ",") + std::string("{\"instanceId\":\"") + id +
                 "\",\"hostPort\":\"127.0.0.1:" + std::to_string(engines[i]) +
                 "\",\"zone\":\"here\",\"machineType\":\"std\",\"cell\":0,\"lifecycle\":\"active\","
                 "\"weight\":1,\"startedAtMs\":0}";
  }
  return R"({"name":"n0","listen":"127.0.0.1:)" + std::to_string(listen) +
         R"(","seed":"10000041","limits":{"cores":1.0,"memory_mb":)" + std::to_string(memory_mb) +
         R"(,"sockets":)" + std::to_string(max_descriptors) + R"(},"channel":"127.0.0.1:)" +
         std::to_string(discovery_server) +
         R"(","known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"generation":1,"reset":true,"instances":[)" +
         instances +
         R"(]}}]},"settings":{"balancers":1,"position":0,"az":0,"areas":["here"],"flavors":["std"],)"
         R"("granularity_ns":5000000,"classes":[)" +
         class_json("report", "pure", "") + "," +
         class_json("load", "token", ",\"key_scope\":\"all\",\"key_ttl_ns\":20000000000,\"in_turn\":true") +
         "," + class_json("settle", "side_effect", "") +
         R"(],"family_info":{"class_threads":[1,1,1],"kind_cores":[16],"size_mb":[16384]},)"
         R"("permissions":{"multiplex":)" +
         std::to_string(streams_per_connection) +
         R"(,"conn_idle_ns":4000000000,"dial_timeout_ns":250000000,"max_attempts":3,"cancel":true,)"
         R"("probes":true},"rules":{"drain_grace_ns":250000000,"cold_from":0.3,"cold_ns":3000000000,)"
         R"("tip_multiple":2.5,"fall_ns":1500000000},"report":{"how":"inline","names":["inflight"]},)"
         R"("tenants":[]}})";
}

/// Starts `paddlestand platform`, waits until it reports that it is ready, and kills it on destruction.
/// Captures its log from standard error.
class ManagerProcess {
 public:
  /// `call_faults`: fault rules of tests/faults/call_faults.cpp for its system calls; empty for none.
  ManagerProcess(const std::string& config, std::uint16_t port, const std::string& call_faults = "")
      : port_(port),
        folder_(std::filesystem::temp_directory_path() /
                ("paddlestand-process-" + std::to_string(::getpid()) + "-" + std::to_string(port))) {
    std::filesystem::create_directories(folder_);
    std::ofstream(folder_ / "config.json") << config;
    boost::process::environment environment = paddlestand::test::environment_with(call_faults);
    environment["PROXY_CONFIG"] = (folder_ / "config.json").string();
    process_ = boost::process::child(
        paddlestand::test::program_under_test(), "platform", "--trace", environment,
        boost::process::std_in<boost::process::null, boost::process::std_out> boost::process::null,
        boost::process::std_err > (folder_ / "log").string());
    ready_ = wait_until([this] { return reports_ready(); });
  }
  ~ManagerProcess() {
    std::error_code ignored;
    process_.terminate(ignored);
    process_.wait(ignored);
    std::filesystem::remove_all(folder_, ignored);
  }
  ManagerProcess(const ManagerProcess&) = delete;
  ManagerProcess& operator=(const ManagerProcess&) = delete;

  [[nodiscard]] bool ready() const { return ready_; }
  [[nodiscard]] std::uint16_t port() const { return port_; }
  /// The highest amount of memory that the process has occupied so far, in kB, files included.
  [[nodiscard]] std::size_t peak_memory_kb() const {
    std::ifstream status("/proc/" + std::to_string(process_.id()) + "/status");
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(status, line);)
      if (line.starts_with(name)) return std::stoul(line.substr(name.size()));
    return 0;
  }
  /// Suspends the process until resume().
  void stop() { ::kill(process_.id(), SIGSTOP); }
  /// Requests a graceful shutdown.
  void terminate() { ::kill(process_.id(), SIGTERM); }
  void resume() { ::kill(process_.id(), SIGCONT); }
  /// Whether the process is stopped, by stop() or by itself.
  [[nodiscard]] bool is_stopped() const { return paddlestand::test::is_stopped(process_.id()); }
  [[nodiscard]] std::string log() const {
    std::ifstream in(folder_ / "log");
    return {std::istreambuf_iterator<char>(in), {}};
  }
  /// The number of log lines with this event.
  [[nodiscard]] std::size_t count_logged(const std::string& event) const {
    const std::string all = log(), wanted = "\"event\":\"" + event + "\"";
    std::size_t count = 0;
    for (auto found = all.find(wanted); found != std::string::npos; found = all.find(wanted, found + 1))
      ++count;
    return count;
  }

 private:
  [[nodiscard]] bool reports_ready() const {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port_);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool connected = ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    const Wire wire(socket);
    if (!connected) return false;
    wire.write("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
    const auto answer = wire.read(1000);
    return answer && answer->find("\"green\":true") != std::string::npos;
  }

  std::uint16_t port_;
  std::filesystem::path folder_;
  boost::process::child process_;
  bool ready_ = false;
};

/// Returns a port that was free at the time of the call.
inline std::uint16_t free_port() { return Listener().port(); }

}  // namespace paddlestand::platform::test
