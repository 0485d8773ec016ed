#include "coltsfootpoint/verdict.h"

#include <array>

namespace coltsfoot {

std::string_view reasonName(Reason Why) {
  static constexpr std::array<std::string_view, 28> Names = {
      "none",
      "bad-request",
      "too-large",
      "no-route",
      "ticket-needed",
      "ticket-invalid",
      "ticket-body-mismatch",
      "ticket-expired",
      "candidates-closed",
      "candidate-gone",
      "overload",
      "queue-timeout",
      "deadline-passed",
      "budget-spent",
      "no-upstream",
      "upstream-shed",
      "upstream-lost",
      "connection-lost",
      "leaving",
      "cancelled",
      "not-ready",
      "isolated",
      "answer-not-kept",
      "key-missing",
      "key-unknown",
      "keys-unverified",
      "allowance-spent",
      "unknown"};
  auto Index = static_cast<size_t>(Why);
  return Index < Names.size() ? Names[Index] : Names.back();
}

std::string_view verdictName(const Verdict &Outcome) {
  return std::visit(
      Overloaded{[](const Ran &) -> std::string_view { return "ran"; },
                 [](const NotRun &) -> std::string_view { return "not-run"; },
                 [](const MayHaveRun &) -> std::string_view {
                   return "may-have-run";
                 }},
      Outcome);
}

} // namespace coltsfoot
