/// The engine side of the server: implements channels of the core as streams on connections. Translates
/// actions of the core to frames, and frames from engines to events of the core.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "answer_budget.hpp"
#include "core/event_dispatcher.hpp"
#include "endpoint_list.hpp"
#include "engine_connections.hpp"
#include "engine_stream.hpp"
#include "platform_host.hpp"
#include "request_handler.hpp"
#include "resource_limits.hpp"

namespace paddlestand::platform {

/// Owns the streams and the connections to engines. Its arguments must outlive it.
class EngineDispatch : private EngineConnectionListener {
 public:
  /// Reads the pending events of the engine list if the list may be out of date.
  using RefreshEndpoints = std::function<void()>;

  EngineDispatch(PlatformHost& host, RequestHandler& requests, const EndpointList& endpoints,
                 RefreshEndpoints refresh_endpoints, const PlatformConfig& config,
                 const ResourceLimits& limits);

  // ---- Actions of the core ----

  /// Opens a stream for a channel, on a connection that may not be established yet.
  void open(const core::OpenChannel& action);
  /// Sends an attempt, if its client is still waiting and no other attempt of its request is in progress.
  core::WriteResult send(const core::SendQuery& action);
  core::WriteResult send(const core::SendProbe& action);
  /// Cancels an attempt. Engines do not answer a cancel, so the channel is lost immediately.
  void cancel(const core::CancelOnEngine& action);
  /// Sends the new priority of an attempt in progress.
  void update_grant(const core::UpdateResourceGrant& action);
  /// Closes a channel, and cancels its stream if that is still active.
  void close(const core::CloseChannel& action);
  /// The body of the channel's complete answer; null if the channel is unknown.
  [[nodiscard]] std::string* find_result(core::ChannelId channel);

  // ---- For the server ----

  /// Handles the end of the engine's process: its connections accept no further streams.
  void retire_engine(EngineId engine) { connections_.retire_all_of(engine); }
  /// Closes connections that are idle, no longer usable, or stalled.
  void sweep(TimePoint now);
  [[nodiscard]] std::size_t connection_count() const { return connections_.size(); }
  /// The number of attempts that engines may be working on.
  [[nodiscard]] std::size_t attempt_count() const { return connections_.attempts().size(); }
  /// The number of frames that belonged to no open stream.
  [[nodiscard]] std::uint64_t unmatched_frames() const { return unmatched_frames_; }

 private:
  using Connection = EngineConnections::Connection;

  // EngineConnectionListener.
  void on_connected(const Connection& connection) override;
  void on_connect_failure(EngineId engine, const boost::system::error_code& error,
                          ConnectRetry retry) override;
  void on_lost(const Connection& connection, core::ChannelLossReason reason,
               const std::string& description) override;
  std::optional<ProtocolError> on_answer(EngineConnection& connection, core::ChannelId channel,
                                         engine_frames::Answer answer) override;
  void on_unmatched_frame(const EngineConnection& connection, const engine_frames::Answer& answer) override;
  std::optional<StreamFrame> rebuild_frame(core::ChannelId channel) override;

  [[nodiscard]] EngineStream* find(core::ChannelId channel);

  // Placing streams and building frames.
  std::optional<core::StreamId> stream_id_for(const core::OpenChannel& action);
  Connection connection_for(EngineId engine, core::ChannelUse use, core::StreamId stream);
  [[nodiscard]] std::string request_frame(const EngineStream& stream, const ClientRequest& request,
                                          TimePoint now) const;
  [[nodiscard]] std::string probe_frame(const EngineStream& stream) const;

  // Sending.
  core::WriteResult send_attempt(const core::SendQuery& action, EngineStream& stream,
                                 const ClientRequest& request, service::ResumeCount facts_as_of);
  [[nodiscard]] bool may_dispatch(core::QueryId query, EngineId engine);
  bool may_begin_attempt(std::uint64_t trace);
  void check_sent_attempt(const EngineStream& stream, const ClientRequest& request);
  void abandon_unsent(EngineStream& stream);

  // Answers.
  void end_probe(EngineConnection& connection, core::ChannelId channel, EngineStream& stream,
                 const engine_frames::Answer& answer);
  std::optional<ProtocolError> continue_answer(EngineConnection& connection, core::ChannelId channel,
                                               EngineStream& stream, engine_frames::Answer answer);
  void request_pages(EngineConnection& connection, const EngineStream& stream);
  void request_pages_when_possible(EngineConnection& connection, core::ChannelId channel,
                                   const EngineStream& stream);
  void request_waiting_pages();
  void finish_attempt(EngineConnection& connection, core::ChannelId channel, EngineStream& stream,
                      core::Ending ending);

  // Cancelling and closing.
  void cancel_stream(core::ChannelId channel, EngineStream& stream);
  void send_cancel(const EngineStream& stream);
  void drop_if_unused(const Connection& connection);
  [[nodiscard]] std::vector<Connection> find_stalled(TimePoint now) const;
  [[nodiscard]] std::vector<Connection> find_expired(TimePoint now) const;
  [[nodiscard]] bool is_stalled(const EngineConnection& connection, TimePoint now) const;
  [[nodiscard]] bool is_expired(const EngineConnection& connection, TimePoint now) const;

  void log_sent(const core::SendQuery& action, const EngineStream& stream);
  // `outcome`: the code of the answer, or the reason why there is none.
  void log_attempt_end(const EngineStream& stream, const observe::LogField& outcome);

  PlatformHost& host_;
  RequestHandler& requests_;
  const EndpointList& endpoints_;
  RefreshEndpoints refresh_endpoints_;
  const PlatformConfig& config_;
  EngineConnections connections_;
  AnswerBudget answer_budget_;
  std::map<core::ChannelId, EngineStream> streams_;  // ordered: losses are handled in channel order
  std::uint64_t last_probe_ = 0;
  std::uint64_t unmatched_frames_ = 0;
};

}  // namespace paddlestand::platform
