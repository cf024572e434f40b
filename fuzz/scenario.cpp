// Days: whatever the file, a day or one fault; and a day that is taken can be laid out.
#include "simulation/scenario/scenario.hpp"

#include "target.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace paddlestand;
  const auto read = simulation::read_day(fuzz::as_file(fuzz::text_of(data, size)));
  if (const auto* fault = std::get_if<config::Fault>(&read)) {
    if (fault->text().empty()) fuzz::fail("a fault without a text");
    return 0;
  }
  const auto& day = std::get<simulation::Day>(read);
  double per_s = 0;
  for (const simulation::DayClass& one : day.classes) per_s += one.per_s;
  if (per_s * std::chrono::duration<double>(day.length).count() < 2e4) simulation::arrivals_of(day);
  return 0;
}
