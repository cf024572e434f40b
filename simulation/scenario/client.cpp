#include "client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include "protocol/pg/frame.hpp"
#include "protocol/pg/messages.hpp"
#include "protocol/pg/sqlstate.hpp"

namespace paddlestand::simulation {
namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t most_message = 64U << 20U;
// A client looks on a little beyond its patience, to see whether and when an answer comes.
constexpr auto look_on = std::chrono::seconds(3);

std::int64_t shared_clock() { return steady_clock::now().time_since_epoch().count(); }
double milliseconds(Duration d) { return static_cast<double>(d.count()) * 1e-6; }

}  // namespace

struct Clients::Seat {
  explicit Seat(asio::io_context& io) : socket(io), frames(most_message), buffer(16 * 1024) {}
  tcp::socket socket;
  pg::FrameReader frames;
  std::vector<char> buffer;
  std::uint32_t manager = 0;
  pg::CancelKey key;
};

Clients::Clients(asio::io_context& io, const Day& day, std::vector<std::uint16_t> ports, std::FILE* log)
    : io_(io), day_(day), ports_(std::move(ports)), log_(log), idle_(ports_.size()), seats_(ports_.size()) {
  counts_.resize(day_.classes.size());
  for (std::size_t i = 0; i < ports_.size(); ++i)
    free_.push_back(std::make_unique<asio::steady_timer>(io_, steady_clock::time_point::max()));
}

void Clients::write(const std::string& line) { std::fwrite(line.data(), 1, line.size(), log_); }

void Clients::ask(const Arrival& arrival) {
  ++open_;
  asio::co_spawn(io_, request(arrival), [this](const std::exception_ptr& problem) {
    --open_;
    if (problem) std::rethrow_exception(problem);
  });
}

std::string Clients::text_of(const Arrival& a, const std::string& id) const {
  const DayClass& k = day_.classes[a.class_index];
  char tags[640];
  std::snprintf(
      tags, sizeof(tags),
      "select 1 /*class='%s',cost_ms='%.3f',memory_mb='%.1f',deadline_ms='%.0f',tables='%u',sim_id='%s',"
      "sim_work_ms='%.3f',sim_threads='%g',sim_memory_mb='%.1f',sim_reads='%g',sim_rows='%u',"
      "sim_row_bytes='%u',sim_write='%d'",
      k.name.c_str(), a.told_s * 1e3, k.memory_mb, milliseconds(a.client_timeout), a.tables, id.c_str(),
      a.work_s * 1e3, k.threads, k.memory_mb, k.reads, k.rows, k.row_bytes, k.writes ? 1 : 0);
  std::string text = tags;
  if (a.tenant) text += ",tenant='" + day_.tenants[*a.tenant].name + "'";
  if (a.key > 0) text += ",key='k" + std::to_string(a.key) + "'";
  return text + "*/";
}

asio::awaitable<std::shared_ptr<Clients::Seat>> Clients::seat_at(std::uint32_t manager) {
  for (;;) {
    if (!idle_[manager].empty()) {
      auto seat = idle_[manager].back();
      idle_[manager].pop_back();
      // A connection that ended, or on which goodbye was said, while it lay idle is not asked on.
      error_code unused;
      char peeked = 0;
      seat->socket.non_blocking(true, unused);
      seat->socket.receive(asio::buffer(&peeked, 1), tcp::socket::message_peek, unused);
      if (unused == asio::error::would_block || unused == asio::error::try_again) co_return seat;
      seat->socket.close(unused);
      --seats_[manager];
      continue;
    }
    if (seats_[manager] <
        std::max<std::uint32_t>(1, day_.sessions / static_cast<std::uint32_t>(ports_.size())))
      break;
    error_code woken;
    co_await free_[manager]->async_wait(asio::redirect_error(asio::use_awaitable, woken));
  }
  ++seats_[manager];
  auto seat = std::make_shared<Seat>(io_);
  seat->manager = manager;
  error_code error;
  co_await seat->socket.async_connect({asio::ip::address_v4::loopback(), ports_[manager]},
                                      asio::redirect_error(asio::use_awaitable, error));
  std::string hello;
  const std::vector<std::pair<std::string, std::string>> who{{"user", "desk"}, {"database", "day"}};
  pg::put_startup(hello, who);
  if (!error) {
    seat->socket.set_option(tcp::no_delay(true), error);
    co_await asio::async_write(seat->socket, asio::buffer(hello),
                               asio::redirect_error(asio::use_awaitable, error));
  }
  while (!error) {
    const std::size_t got = co_await seat->socket.async_read_some(
        asio::buffer(seat->buffer), asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    seat->frames.feed({seat->buffer.data(), got});
    while (const auto frame = seat->frames.next()) {
      if (frame->type == 'K' && frame->body.size() == 8) {
        const auto* raw = reinterpret_cast<const unsigned char*>(frame->body.data());
        const auto number = [](const unsigned char* p) {
          return static_cast<std::uint32_t>(p[0]) << 24U | static_cast<std::uint32_t>(p[1]) << 16U |
                 static_cast<std::uint32_t>(p[2]) << 8U | p[3];
        };
        seat->key = {number(raw), number(raw + 4)};
      }
      if (frame->type == 'E') error = asio::error::connection_refused;
      if (frame->type == 'Z') co_return seat;
    }
  }
  --seats_[manager];
  free_[manager]->cancel();
  co_return nullptr;
}

void Clients::give_back(const std::shared_ptr<Seat>& seat) {
  if (seat->socket.is_open()) {
    idle_[seat->manager].push_back(seat);
  } else {
    --seats_[seat->manager];
  }
  free_[seat->manager]->cancel();
}

asio::awaitable<void> Clients::send_cancel(std::uint32_t manager, std::uint32_t process,
                                           std::uint32_t secret) {
  tcp::socket socket(io_);
  error_code error;
  co_await socket.async_connect({asio::ip::address_v4::loopback(), ports_[manager]},
                                asio::redirect_error(asio::use_awaitable, error));
  std::string bytes;
  pg::put_cancel(bytes, {process, secret});
  if (!error)
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  char unused[8];
  if (!error)
    co_await socket.async_read_some(asio::buffer(unused), asio::redirect_error(asio::use_awaitable, error));
}

asio::awaitable<Clients::Outcome> Clients::attempt(const Arrival& a, std::uint32_t number) {
  Outcome out;
  const auto seat = co_await seat_at(a.manager);
  if (!seat) {
    out.kind = "unreached";  // never asked
    out.harmless = true;
    co_return out;
  }
  const DayClass& k = day_.classes[a.class_index];
  const std::string id = std::to_string(a.request) + "." + std::to_string(number);
  std::string bytes;
  pg::put_query(bytes, text_of(a, id));
  nlohmann::json line{{"t", shared_clock()},
                      {"what", "asked"},
                      {"id", id},
                      {"request", a.request},
                      {"manager", "m" + std::to_string(a.manager + 1)},
                      {"class", k.name},
                      {"patience_ms", milliseconds(a.client_timeout)}};
  if (a.key > 0) line["key"] = "k" + std::to_string(a.key);
  write(line.dump() + "\n");
  ++counts_[a.class_index].asked;
  const auto asked = steady_clock::now();
  error_code error;
  asio::steady_timer timer(io_);
  bool left = false, looked_long = false;
  // What the client does by itself meanwhile. The timer outlives its wait: it is cancelled before the end.
  if (a.cancels) {
    timer.expires_after(*a.cancels);
    timer.async_wait([this, &a, seat](const error_code& stopped) {
      if (!stopped)
        asio::co_spawn(io_, send_cancel(a.manager, seat->key.process, seat->key.secret), asio::detached);
    });
  } else {
    timer.expires_after(a.leaves ? *a.leaves
                                 : std::chrono::duration_cast<Duration>(a.client_timeout + look_on));
    timer.async_wait([&left, &looked_long, &a, seat](const error_code& stopped) {
      if (stopped) return;
      (a.leaves ? left : looked_long) = true;
      error_code ignored;
      seat->socket.close(ignored);
    });
  }
  co_await asio::async_write(seat->socket, asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, error));
  bool ready = false, fatal = false;
  std::uint64_t rows = 0;
  while (!error && !ready) {
    while (const auto frame = seat->frames.next()) {
      if (ready) {  // nothing may come behind the final answer, but a goodbye
        const auto fields = frame->type == 'E' ? pg::parse_fields(frame->body) : std::nullopt;
        if (fields && fields->severity == "FATAL") {
          error_code ignored;
          seat->socket.close(ignored);
          break;
        }
        write(nlohmann::json{{"t", shared_clock()}, {"what", "extra"}, {"id", id}}.dump() + "\n");
        break;
      }
      if (frame->type == 'D') ++rows;
      if (frame->type == 'C') out.kind = "served";
      if (frame->type == 'E') {
        const auto fields = pg::parse_fields(frame->body);
        const pg::Advice advice = pg::read_advice(fields->hint);
        out.harmless = advice.harmless.value_or(false);
        out.retry_after = advice.retry_after;
        out.begun = rows > 0;
        fatal = fields->severity == "FATAL";
        out.kind = fields->code == "53400"   ? "refused"
                   : fields->code == "57P01" ? (out.harmless ? "refused" : "failed")
                   : fields->code == "57014"
                       ? (fields->message.starts_with("canceling") ? "cancelled" : "late")
                       : "failed";
      }
      if (frame->type == 'Z') ready = true;
    }
    if (ready || seat->frames.bad()) break;
    const std::size_t got = co_await seat->socket.async_read_some(
        asio::buffer(seat->buffer), asio::redirect_error(asio::use_awaitable, error));
    if (!error) seat->frames.feed({seat->buffer.data(), got});
  }
  timer.cancel();
  if (left) out.kind = "gone";
  // A FATAL error is the whole answer: the session ends behind it, and no ReadyForQuery follows.
  if (!ready && !left && !fatal) out.kind = looked_long ? "unanswered" : "lost";
  const auto took = steady_clock::now() - asked;
  write(nlohmann::json{{"t", shared_clock()},
                       {"what", "answer"},
                       {"id", id},
                       {"kind", out.kind},
                       {"rows", rows},
                       {"harmless", out.harmless}}
            .dump() +
        "\n");
  DayCounts& count = counts_[a.class_index];
  if (out.kind == "served") count.served_ms.push_back(milliseconds(took));
  (out.kind == "served"      ? count.served
   : out.kind == "refused"   ? count.refused
   : out.kind == "late"      ? count.late
   : out.kind == "cancelled" ? count.cancelled
   : out.kind == "gone"      ? count.gone
   : out.kind == "failed"    ? count.failed
                             : count.lost)++;
  if (!ready) {
    error_code ignored;
    seat->socket.close(ignored);
  }
  give_back(seat);
  co_return out;
}

asio::awaitable<void> Clients::request(Arrival a) {
  const DayClass& k = day_.classes[a.class_index];
  const auto began = steady_clock::now();
  for (std::uint32_t number = 0; number <= day_.retries; ++number) {
    const Outcome out = co_await attempt(a, number);
    if (out.kind == "served" || out.kind == "cancelled" || out.kind == "gone" || out.kind == "unanswered")
      co_return;
    // What may have run is asked for again only where that is harmless.
    const bool in_window = k.repeat == Idempotency::idempotent_with_key &&
                           steady_clock::now() - began < k.idempotency_window / 2;
    if (!out.harmless && k.repeat != Idempotency::idempotent && !in_window) co_return;
    if (steady_clock::now() - began > k.deadline) co_return;
    asio::steady_timer wait(io_,
                            a.heeds && out.retry_after ? *out.retry_after : day_.back_off * (number + 1));
    error_code ignored;
    co_await wait.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

}  // namespace paddlestand::simulation
