/// Fixtures for tests of failures: a full accept queue, a shortage of descriptors, truth logs, engine list
/// files and SCRAM logins.
#pragma once

#include <sys/resource.h>
#include <sys/stat.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "protocol/pg/backend_connection.hpp"
#include "service_harness.hpp"

namespace paddlestand::service::test {

/// The events in a truth log that concern the query with this sim_id.
inline std::vector<nlohmann::json> events_of(const std::string& log_path, const std::string& id) {
  std::vector<nlohmann::json> events;
  std::ifstream file(log_path);
  for (std::string line; std::getline(file, line);) {
    auto event = nlohmann::json::parse(line, nullptr, false);
    if (event.is_object() && event.value("id", "") == id) events.push_back(std::move(event));
  }
  return events;
}

inline std::size_t count_events(const std::vector<nlohmann::json>& events, const std::string& what) {
  return static_cast<std::size_t>(
      std::count_if(events.begin(), events.end(), [&](const auto& event) { return event["what"] == what; }));
}

/// A listening socket whose accept queue is full and never emptied: connecting to it hangs.
class FullListenQueue {
 public:
  FullListenQueue() : listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = loopback(0);
    auto* const any_address = reinterpret_cast<sockaddr*>(&address);
    is_full_ = ::bind(listener_, any_address, sizeof(address)) == 0 && ::listen(listener_, 0) == 0;
    socklen_t size = sizeof(address);
    getsockname(listener_, any_address, &size);
    port_ = ntohs(address.sin_port);
    for (int i = 0; i < 4; ++i) {
      queued_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      ::connect(queued_.back(), any_address, sizeof(address));
    }
  }
  ~FullListenQueue() {
    for (const int socket : queued_) ::close(socket);
    ::close(listener_);
  }
  FullListenQueue(const FullListenQueue&) = delete;
  FullListenQueue& operator=(const FullListenQueue&) = delete;

  /// False if the socket could not be bound or could not listen.
  [[nodiscard]] bool is_full() const { return is_full_; }
  [[nodiscard]] std::uint16_t port() const { return port_; }

 private:
  int listener_;
  bool is_full_ = false;
  std::uint16_t port_ = 0;
  std::vector<int> queued_;
};

/// Leaves this process a single free descriptor while the object exists.
class DescriptorShortage {
 public:
  DescriptorShortage() {
    getrlimit(RLIMIT_NOFILE, &original_limit_);
    rlimit low = original_limit_;
    low.rlim_cur = std::min<rlim_t>(original_limit_.rlim_cur, 256);
    setrlimit(RLIMIT_NOFILE, &low);
    for (int descriptor = dup(0); descriptor >= 0; descriptor = dup(0)) occupied_.push_back(descriptor);
    ::close(occupied_.back());
    occupied_.pop_back();
  }
  ~DescriptorShortage() {
    for (const int descriptor : occupied_) ::close(descriptor);
    setrlimit(RLIMIT_NOFILE, &original_limit_);
  }
  DescriptorShortage(const DescriptorShortage&) = delete;
  DescriptorShortage& operator=(const DescriptorShortage&) = delete;

 private:
  rlimit original_limit_{};
  std::vector<int> occupied_;
};

/// A folder for the files of a manager and its engines, removed on destruction.
class TemporaryFolder {
 public:
  TemporaryFolder() : path_(::testing::TempDir() + "list-" + std::to_string(getpid()) + "/") {
    mkdir(path_.c_str(), 0700);
  }
  ~TemporaryFolder() {
    for (const char* file : {"engines.xml", "truth.jsonl", "manager.xml"}) remove(file);
    rmdir(path_.c_str());
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  [[nodiscard]] std::string path(const std::string& file) const { return path_ + file; }
  void write(const std::string& file, const std::string& text) const { std::ofstream(path(file)) << text; }
  void remove(const std::string& file) const { unlink(path(file).c_str()); }
  /// Replaces the file atomically: no reader sees a part of the new one.
  void replace(const std::string& file, const std::string& text) const {
    write("fresh", text);
    rename(path("fresh").c_str(), path(file).c_str());
  }
  /// `content`: the results of engine_element() and the closing tag.
  void replace_engine_list(const std::string& content) const {
    replace("engines.xml", "<engines xmlns=\"urn:paddlestand:manager:1\">" + content);
  }

 private:
  std::string path_;
};

/// Settings without engines that name engines.xml in their folder as the engine list file.
inline std::string manager_settings_with_list_file() {
  auto settings = manager_settings({});
  settings.replace(settings.find("<engines>"), 9, "<engines file=\"engines.xml\" poll=\"10ms\">");
  return settings;
}

/// An element of an engine list.
inline std::string engine_element(int id, std::uint16_t port, const char* state) {
  return "<engine id=\"" + std::to_string(id) + "\" name=\"e" + std::to_string(id) +
         "\" address=\"127.0.0.1\" kind=\"std\" port=\"" + std::to_string(port) + "\" state=\"" + state +
         "\"/>";
}

/// Logs in with SCRAM. Returns "logged in", the SQLSTATE of the rejection, "closed" if the server closes the
/// connection without an error, or "protocol error" if it violates the protocol.
inline std::string scram_login(std::uint16_t port, const char* user, const char* password) {
  RawClient client(port, Login::skip);
  pg::BackendConnection connection;
  client.send(connection.start({user, "d", "a", password, "nonce"}));
  std::vector<pg::BackendEvent> events;
  while (events.empty()) {
    const auto message = client.next_message();
    if (!message) return "closed";
    std::string bytes;
    std::string reply;
    pg::put_raw(bytes, message->type, message->body);
    connection.feed(bytes, events, reply);
    client.send(reply);
  }
  if (const auto* rejected = std::get_if<pg::BackendLoginRejected>(&events[0])) return rejected->error.code;
  return std::holds_alternative<pg::BackendReady>(events[0]) ? "logged in" : "protocol error";
}

}  // namespace paddlestand::service::test
