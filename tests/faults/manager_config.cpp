#include "manager_config.hpp"

namespace paddlestand::faults {
namespace {

std::string request_class(const std::string& name, const std::string& repeat, const std::string& more = "") {
  return "{\"name\":\"" + name +
         "\",\"aim_ns\":600000000,\"deadline_ns\":" + std::to_string(longest_deadline) +
         ",\"gain\":1.0,\"late_value\":0.5,\"repeat\":\"" + repeat + "\"" + more + "}";
}

/// One class that is safe to retry, one with idempotency keys, and one that must not run twice.
std::string request_classes() {
  const std::string safe = request_class("lookup", "pure");
  const std::string keyed =
      request_class("load", "token", ",\"key_scope\":\"all\",\"key_ttl_ns\":20000000000,\"in_turn\":true");
  const std::string unsafe = request_class("settle", "side_effect");
  return "\"classes\":[" + safe + "," + keyed + "," + unsafe + "]";
}

std::string settings(const ManagerConfig& config) {
  return "{\"balancers\":" + std::to_string(config.manager_count) +
         ",\"position\":" + std::to_string(config.number) +
         ",\"az\":0,\"areas\":[\"here\"],\"flavors\":[\"std\"],\"granularity_ns\":5000000," +
         request_classes() +
         ",\"family_info\":{\"class_threads\":[1,1,1],\"kind_cores\":[16],\"size_mb\":[16384]},"
         "\"permissions\":{\"multiplex\":8,\"conn_idle_ns\":4000000000,\"dial_timeout_ns\":250000000,"
         "\"max_attempts\":3,\"cancel\":true,\"probes\":true},\"rules\":{\"drain_grace_ns\":250000000,"
         "\"cold_from\":0.3,\"cold_ns\":3000000000,\"tip_multiple\":2.5,\"fall_ns\":1500000000},"
         "\"report\":{\"how\":\"inline\",\"names\":[\"inflight\"]},\"tenants\":[]}";
}

}  // namespace

std::string to_json(const ManagerConfig& config) {
  const std::uint64_t seed = 10000000 + config.run_seed % 1000 * 10 + config.number;
  return "{\"name\":\"n" + std::to_string(config.number) + "\",\"listen\":\"" + config.listen.text() +
         "\",\"seed\":\"" + std::to_string(seed) +
         "\",\"limits\":{\"cores\":1.0,\"memory_mb\":64,\"sockets\":256},\"channel\":\"" +
         config.discovery.text() + "\",\"known\":" + config.known_engines +
         ",\"settings\":" + settings(config) + "}";
}

}  // namespace paddlestand::faults
