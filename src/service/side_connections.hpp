/// Short-lived connections to an engine besides its channels: cancel requests, which PostgreSQL's protocol
/// requires on a separate connection (chapter 55.2.8), and updates of the resources granted to a running
/// query, which can't be sent on the channel that the query occupies. Each is closed after at most a second.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "core/event_dispatcher.hpp"
#include "protocol/pg/backend_connection.hpp"

namespace paddlestand::service {

class EngineChannel;

/// Sends a CancelRequest for the backend of `key`, and waits for the engine to close the connection.
boost::asio::awaitable<void> send_cancel_request(boost::asio::io_context& io,
                                                 boost::asio::ip::tcp::endpoint engine, pg::CancelKey key);

/// The statement that sets the priority and the memory of the backend `process` to those of `grant`.
std::string resource_grant_statement(std::uint32_t process, const core::UpdateResourceGrant& grant);

/// Logs in at the engine of `channel` and runs `statement`. The channel is notified when the engine has
/// answered it. A failed update is never reported, so that the channel is not reused for another query.
boost::asio::awaitable<void> update_resource_grant(boost::asio::io_context& io,
                                                   std::shared_ptr<EngineChannel> channel,
                                                   pg::EngineLogin login, std::string statement);

}  // namespace paddlestand::service
