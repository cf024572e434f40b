/// Day files: any file is a valid day, whose arrivals can be computed, or yields one error.
#include "simulation/scenario/scenario.hpp"

#include "target.hpp"

constexpr double max_requests = 2e4;  // of one day; computing more arrivals takes too long

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace paddlestand;
  const auto read = simulation::read_day(fuzz::as_file(fuzz::text_of(data, size)));
  if (const auto* error = std::get_if<config::ConfigError>(&read)) {
    if (error->text().empty()) fuzz::fail("an error without a text");
    return 0;
  }
  const auto& day = std::get<simulation::Day>(read);
  double requests_per_s = 0;
  for (const simulation::DayClass& day_class : day.classes) requests_per_s += day_class.requests_per_s;
  if (requests_per_s * std::chrono::duration<double>(day.length).count() < max_requests)
    static_cast<void>(simulation::arrivals_of(day));
  return 0;
}
