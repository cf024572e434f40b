/// The events of a connection to an engine, and the frames it requests from its owner.
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

/// The frame that opens a stream, and when the facts hold that it was built on.
struct StreamFrame {
  std::string bytes;
  TimePoint built_at{};  ///< its deadline is as of this time
  service::ResumeCount facts_as_of = 0;  ///< read before the facts were looked up
};

/// Implemented by the owner of the connections. All calls come from the event loop's thread.
class EngineConnectionListener {
 public:
  enum class ConnectRetry : bool { no, yes };

  virtual ~EngineConnectionListener() = default;

  /// The connection is established.
  virtual void on_connected(const std::shared_ptr<EngineConnection>& connection) = 0;
  /// An attempt to connect failed, and is made again or not.
  virtual void on_connect_failure(EngineId engine, const boost::system::error_code& error,
                                  ConnectRetry retry) = 0;
  /// The connection can't carry anything any more; called once. The listener closes it.
  virtual void on_lost(const std::shared_ptr<EngineConnection>& connection, core::ChannelLossReason reason,
                       const std::string& description) = 0;
  /// An answer arrived on an open stream. Returns what in it breaks the protocol, or nothing.
  virtual std::optional<ProtocolError> on_answer(EngineConnection& connection, core::ChannelId channel,
                                                 engine_frames::Answer answer) = 0;
  /// A frame arrived that belongs to no open stream: a duplicate, a frame behind an attempt's end, an unknown
  /// id. It is dropped.
  virtual void on_unmatched_frame(const EngineConnection& connection,
                                  const engine_frames::Answer& answer) = 0;
  /// The frame that opens a stream, built now with its deadline as of now; nothing where it must not be sent
  /// any more.
  virtual std::optional<StreamFrame> rebuild_frame(core::ChannelId channel) = 0;

 protected:
  EngineConnectionListener() = default;
  EngineConnectionListener(const EngineConnectionListener&) = default;
  EngineConnectionListener& operator=(const EngineConnectionListener&) = default;
};

}  // namespace paddlestand::platform
