#include "instant_engine.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "load_generator.hpp"
#include "print_port.hpp"
#include "protocol/pg/frame.hpp"
#include "protocol/pg/messages.hpp"

namespace paddlestand::bench {
namespace {

constexpr std::size_t small_answer_bytes = 16;
constexpr std::size_t big_answer_bytes = 10'000'000;
constexpr std::size_t max_cell_bytes = 1000;
constexpr std::size_t max_message_bytes = std::size_t{1} << 20U;
constexpr std::size_t read_buffer_bytes = 16384;

/// Returns a complete answer with at least `bytes` bytes of row values.
std::string make_answer(std::size_t bytes) {
  std::string out;
  const pg::Column column{"v"};
  pg::put_row_description(out, {&column, 1});
  const std::string value(std::min(bytes, max_cell_bytes), 'x');
  const std::string_view cell = value;
  for (std::size_t written = 0; written < bytes; written += value.size()) pg::put_row(out, {&cell, 1});
  pg::put_complete(out, "SELECT 1");
  pg::put_ready(out, 'I');
  return out;
}

/// The prepared answers.
struct Answers {
  std::string small = make_answer(small_answer_bytes);
  std::string big = make_answer(big_answer_bytes);
};

void append_login_response(std::string& out) {
  pg::put_authentication(out, 0);
  pg::put_key(out, {1, 1});
  pg::put_ready(out, 'I');
}

void append_answer(std::string& out, std::string_view statement, const Answers& answers) {
  if (statement.starts_with("SET") || statement.starts_with("RESET")) {
    pg::put_complete(out, "SET");
    pg::put_ready(out, 'I');
    return;
  }
  const bool wants_big = statement.find("big") != std::string_view::npos;
  out += wants_big ? answers.big : answers.small;
}

asio::awaitable<void> serve_client(tcp::socket socket, const Answers& answers) {
  pg::FrameReader frames(max_message_bytes);
  std::vector<char> buffer(read_buffer_bytes);
  bool is_logged_in = false;
  std::string out;
  error_code error;
  socket.set_option(tcp::no_delay(true), error);
  while (!error) {
    const std::size_t received = co_await socket.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    frames.feed({buffer.data(), received});
    out.clear();
    while (const auto frame = frames.next(is_logged_in)) {
      if (!is_logged_in) {
        append_login_response(out);
        is_logged_in = true;
      } else if (frame->type == 'Q') {
        append_answer(out, frame->body, answers);
      }
    }
    if (!out.empty()) {
      co_await asio::async_write(socket, asio::buffer(out), asio::redirect_error(asio::use_awaitable, error));
    }
  }
}

asio::awaitable<void> accept_clients(asio::io_context& io, tcp::acceptor& acceptor, const Answers& answers) {
  for (;;) {
    tcp::socket client = co_await acceptor.async_accept(asio::use_awaitable);
    asio::co_spawn(io, serve_client(std::move(client), answers), asio::detached);
  }
}

}  // namespace

void run_instant_engine() {
  asio::io_context io(1);
  tcp::acceptor acceptor(io, loopback(0));
  print_port(acceptor.local_endpoint().port());
  const Answers answers;
  asio::co_spawn(io, accept_clients(io, acceptor, answers), asio::detached);
  io.run();
}

}  // namespace paddlestand::bench
