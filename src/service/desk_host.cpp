#include "desk_host.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace paddlestand::service {
namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t scratch_bytes = 256 * 1024;
constexpr auto descriptor_rest = std::chrono::milliseconds(100);  // after accept() found no descriptor free

TimePoint reading() { return steady_clock::now().time_since_epoch(); }

}  // namespace

core::LinkLoss loss_of_opening(const error_code& error) {
  const bool ours =
      error == asio::error::no_descriptors || error == boost::system::errc::too_many_files_open_in_system;
  return ours ? core::LinkLoss::out_of_descriptors : core::LinkLoss::refused;
}

DeskHost::DeskHost(boost::asio::io_context& io, const observe::LogConfig& log, const std::string& name,
                   const core::CoreSettings& core)
    : io_(io), log_(log, name), desk_(core, true), timer_(io), scratch_(scratch_bytes) {
  since_1970_ = reading() - std::chrono::system_clock::now().time_since_epoch();
}

void DeskHost::tell(core::CoreEvent event) {
  const bool first = !desk_.taking();
  desk_.tell(std::move(event), *this);
  if (first) arm();  // once a turn: what is due in its middle may not be at its end
}

TimePoint DeskHost::now() { return reading(); }

TimePoint DeskHost::on_loop(Duration since_1970) const {
  return std::max(TimePoint{}, since_1970 + since_1970_);
}

void DeskHost::broken(const core::Breach& breach) {
  log_.error("promise", std::string(core::name_of(breach.promise)) + ": " + breach.what);
}

void DeskHost::carry_out(const core::Remark& effect) { log_.info("judgment", effect.text); }

void DeskHost::arm() {
  const auto due = desk_.due();
  if (!due || stopped_ || (armed_ && *armed_ <= *due)) return;
  armed_ = due;
  timer_.expires_at(steady_clock::time_point(std::chrono::duration_cast<steady_clock::duration>(*due)));
  timer_.async_wait([this](const error_code& error) {
    if (error) return;
    armed_.reset();
    tell(core::TimeCame{});
  });
}

asio::awaitable<void> DeskHost::accept_on(asio::ip::tcp::acceptor& acceptor,
                                          std::function<void(asio::ip::tcp::socket)> take) {
  bool told = false;
  while (!stopped_) {
    error_code error;
    auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (stopped_) co_return;
    if (!error) {  // also one that was accepted in the turn in which the acceptor was closed
      told = false;
      take(std::move(socket));
      continue;
    }
    if (!acceptor.is_open()) co_return;
    if (!told) log_.warn("accept", error.message() + "; connections wait");
    told = true;
    asio::steady_timer rest(io_, descriptor_rest);
    co_await rest.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

void DeskHost::stop() {
  stopped_ = true;
  desk_.stop();
  io_.stop();
}

}  // namespace paddlestand::service
