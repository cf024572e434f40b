/// The interface through which a connection to an engine reports events to its owner and requests frames.
#pragma once

#include <boost/system/error_code.hpp>
#include <memory>
#include <optional>
#include <string>

#include "core/types.hpp"
#include "protocol/engine_frames/frames.hpp"
#include "protocol_error.hpp"
#include "service/resume_monitor.hpp"

namespace paddlestand::platform {

class EngineConnection;

/// The frame that opens a stream, and the time of the facts that it is based on.
struct StreamFrame {
  std::string bytes;
  TimePoint built_at{};  ///< the time that its deadline was computed for
  service::ResumeCount facts_as_of = 0;  ///< count of ResumeMonitor before the facts were read
};

/// Implemented by the owner of the connections. All calls come from the event loop's thread.
class EngineConnectionListener {
 public:
  enum class ConnectRetry : bool { no, yes };

  virtual ~EngineConnectionListener() = default;

  /// The connection was established.
  virtual void on_connected(const std::shared_ptr<EngineConnection>& connection) = 0;
  /// Connecting failed; `retry` tells whether it is retried.
  virtual void on_connect_failure(EngineId engine, const boost::system::error_code& error,
                                  ConnectRetry retry) = 0;
  /// The connection was lost. Called once; the listener closes the connection.
  virtual void on_lost(const std::shared_ptr<EngineConnection>& connection, core::ChannelLossReason reason,
                       const std::string& description) = 0;
  /// An answer arrived on an open stream. Returns the protocol error in it, if there is one.
  virtual std::optional<ProtocolError> on_answer(EngineConnection& connection, core::ChannelId channel,
                                                 engine_frames::Answer answer) = 0;
  /// A frame that belongs to no open stream arrived and was dropped: a duplicate, a frame after the end of an
  /// attempt, or one with an unknown id.
  virtual void on_unmatched_frame(const EngineConnection& connection,
                                  const engine_frames::Answer& answer) = 0;
  /// Rebuilds the frame that opens a stream, with its deadline computed for the current time. Returns
  /// std::nullopt if it must no longer be sent.
  virtual std::optional<StreamFrame> rebuild_frame(core::ChannelId channel) = 0;

 protected:
  EngineConnectionListener() = default;
  EngineConnectionListener(const EngineConnectionListener&) = default;
  EngineConnectionListener& operator=(const EngineConnectionListener&) = default;
};

}  // namespace paddlestand::platform
