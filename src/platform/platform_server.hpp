// The workload manager on the platform: the dispatcher between clients that speak JSON-RPC and engines that
// speak binary frames, its list of engines from the command connection. It owns sockets, clock and signals;
// what becomes of a query is decided by the module alone.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "client.hpp"
#include "config.hpp"
#include "discovery_watch.hpp"
#include "endpoint_list.hpp"
#include "engine_connections.hpp"
#include "paged_answer.hpp"
#include "protocol/sql/tables.hpp"
#include "service/dispatcher_host.hpp"
#include "service/listener.hpp"

namespace paddlestand::platform {

class PlatformServer : public service::DispatcherHost {
 public:
  using tcp = boost::asio::ip::tcp;

  // `config_path` is read again at SIGHUP. `trace`: each attempt and answer is a line of the log.
  PlatformServer(boost::asio::io_context& io, PlatformConfig config, std::string config_path, bool trace);
  ~PlatformServer() override;

  // Listens, and begins. Throws boost::system::system_error where the address can't be had; may be called
  // again then.
  void start();
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }

  void reload();
  void leave();
  // Ends every connection, once the loop has ended.
  void close_connections();
  // The listener closes; what the machine has accepted until then is taken.
  void stop_accepting() { listener_.close_when_drained(); }
  // How long the platform lets it live after SIGTERM.
  [[nodiscard]] Duration life_after_term() const;

  [[nodiscard]] std::size_t clients() const { return clients_.size(); }
  [[nodiscard]] std::size_t unread_bytes() const;  // of answers, by clients
  [[nodiscard]] std::size_t dropped_bytes() const { return dropped_bytes_; }  // behind an end
  [[nodiscard]] std::size_t engine_connections() const { return connections_.size(); }
  [[nodiscard]] std::size_t engines() const { return endpoints_.size(); }
  [[nodiscard]] std::uint64_t last_event() const { return endpoints_.last(); }

  // ---- For clients ----

  using DispatcherHost::event_loop_lag;
  [[nodiscard]] const jsonrpc::CallReader& calls() const { return calls_; }
  [[nodiscard]] bool is_ready() const { return told_ && !terminated_; }
  [[nodiscard]] core::SessionId next_session() { return ++last_session_; }
  // Whether a client that is still there has a request with this id open; who has it is read first.
  bool trace_open(std::uint64_t trace);
  [[nodiscard]] std::optional<std::uint64_t> trace_of(core::SessionId session) const;
  void ask(const std::shared_ptr<Client>& client, core::SessionId session, jsonrpc::Query query);
  void abandon(core::SessionId session);  // its client waits no longer
  void client_gone(const Client& client) { clients_.erase(client.number()); }
  void dropped(std::size_t bytes) { dropped_bytes_ += bytes; }
  [[nodiscard]] bool room_for(std::size_t bytes) const { return statement_bytes_ + bytes <= most_backlog_; }
  void forgotten(std::size_t requests);
  void turned_away(const Client& client, const jsonrpc::Problem& problem);
  // Always where requests were open on it; else with --trace.
  void log_close(const Client& client, std::string_view reason, std::size_t open_requests);

  // ---- For engine connections ----

  [[nodiscard]] Duration connect_time() const { return config_.core.connect_timeout; }
  void log_connect_failure(EngineId engine, const boost::system::error_code& error, bool again);
  void connection_up(const std::shared_ptr<EngineConnection>& connection);
  // What goes out for a stream now, its deadline reckoned now; nothing where it must not go out any more.
  std::optional<std::string> frame_for(core::ChannelId channel);
  void connection_lost(const std::shared_ptr<EngineConnection>& connection, core::ChannelLossReason why,
                       const std::string& what);
  /// Counts a frame that nobody waits for: a copy, what comes behind an attempt's end, an unknown id.
  void frame_without_stream(const EngineConnection& connection, const engine_frames::Answer& answer);
  [[nodiscard]] std::uint64_t frames_without_stream() const { return frames_without_stream_; }
  // What is wrong with the answer, or nothing.
  std::string answered(EngineConnection& connection, core::ChannelId channel, engine_frames::Answer answer);

 private:
  struct Request {  // one client's request: a session of the core, which asks one query
    std::shared_ptr<Client> client;
    std::int64_t id{};
    std::uint64_t trace{};
    std::uint32_t class_index{};
    TimePoint until{};
    std::string statement, nonce;
    std::string body;  // of the answer
    bool abandon = false;
  };
  struct Stream {  // a channel of the core
    EngineId engine{};
    core::ChannelUse use{};
    std::shared_ptr<EngineConnection> connection;
    core::QueryId query = 0;
    core::StreamId id = 0;
    double memory_mb = 0;
    std::uint8_t rank = 0;
    bool sent = false, ended = false;
    TimePoint at{};  // sent, or the last page
    PagedAnswer answer;
  };

  // The dispatcher's.
  core::WriteResult send(const core::SendQuery& action) override;
  core::WriteResult send(const core::SendProbe& action) override;
  void execute(const core::OpenChannel& action) override;
  void execute(const core::CancelOnEngine& action) override;
  void execute(const core::UpdateResourceGrant& action) override;
  void execute(const core::CloseChannel& action) override;
  void execute(const core::Deliver& action) override;
  void execute(const core::Discard& action) override;
  void execute(const core::PauseChannel&) override {}  // answers are held whole: no channel is slowed
  void execute(const core::ResumeChannel&) override {}
  void execute(const core::Answer& action) override;
  void execute(const core::ShutdownComplete& action) override;
  using DispatcherHost::execute;

  void forget_trace(std::uint64_t trace, core::SessionId session);
  void take(tcp::socket socket, Duration waited);
  // Whether the query that a stream carries may go out now, its client heard first.
  bool may_dispatch(core::QueryId query);
  [[nodiscard]] std::string request_frame(const Stream& stream, const Request& request, TimePoint at) const;
  [[nodiscard]] std::string probe_frame(const Stream& stream) const;
  boost::asio::awaitable<void> sweep();
  void sweep_clients(TimePoint at);
  void close_largest_holders(std::vector<std::shared_ptr<Client>> all, std::size_t held);
  void take_signals();
  void check_dispatch(const Stream& stream, const Request& request);
  boost::asio::awaitable<void> end_resting_connections();
  void run_after(Duration time, std::function<void()> what);
  bool make_room();
  void end_if_left();
  EndpointList::ApplyResult apply(const discovery::Event& event);
  std::optional<core::StreamId> stream_id_of(const core::OpenChannel& action);
  std::shared_ptr<EngineConnection> connection_for(EngineId engine, core::ChannelUse use, core::StreamId id);
  // Whether an attempt of this request may go out now; what was cancelled is over for its engine then.
  bool may_begin_attempt(std::uint64_t trace);
  void give_up(core::ChannelId channel, Stream& stream);
  void sweep_connections(TimePoint at);
  void log_attempt_end(const Stream& stream, std::string_view how);
  LoadReport report_of(const engine_frames::Answer& answer) const;

  PlatformConfig config_;
  std::string config_path_;
  bool trace_;
  jsonrpc::CallReader calls_;
  EngineConnections connections_;
  service::Listener listener_;
  DiscoveryWatch discovery_;

  std::map<std::uint64_t, std::shared_ptr<Client>> clients_;
  std::unordered_map<core::SessionId, Request> requests_;  // a session asks the query of its own number
  std::unordered_map<std::uint64_t, core::SessionId> traces_;  // of requests whose clients wait
  std::map<core::ChannelId, Stream>
      streams_;  // in the order of channels: what follows from a loss has one order
  EndpointList endpoints_;
  std::size_t most_clients_ = 0;
  std::size_t most_backlog_ = 0;
  std::size_t statement_bytes_ = 0;  // of the requests that are open
  std::uint64_t last_client_ = 0, last_session_ = 0, last_probe_ = 0;
  std::uint64_t frames_without_stream_ = 0;
  std::uint64_t turned_away_ = 0;
  std::size_t dropped_bytes_ = 0;
  TimePoint told_away_{};
  bool told_ = false, terminated_ = false, left_ = false;
  bool reload_again_ = false, reload_failed_ = false;
};

}  // namespace paddlestand::platform
