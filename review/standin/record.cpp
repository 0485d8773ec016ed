#include "record.h"

#include <iomanip>
#include <iostream>

namespace review {

double millisBetween(Clock::time_point From, Clock::time_point To) {
  return std::chrono::duration<double, std::milli>(To - From).count();
}

Record::Record(const std::string &File) : Start_(Clock::now()), Out_(File) {}

void Record::line(std::string_view Text) {
  double Seconds = millisBetween(Start_, Clock::now()) / 1000;
  std::lock_guard<std::mutex> Lock(Mutex_);
  Out_ << std::fixed << std::setprecision(3) << std::setw(8) << Seconds << ' '
       << Text << '\n'
       << std::flush;
}

void Record::say(std::string_view Text) {
  line(Text);
  std::cout << Text << std::endl;
}

} // namespace review
