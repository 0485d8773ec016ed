#include "retrybudget.h"

#include <algorithm>

namespace coltsfoot {

double &RetryBudget::balanceOf(std::string_view Service) {
  auto Found = Tokens_.find(Service);
  if (Found == Tokens_.end())
    Found = Tokens_.try_emplace(std::string(Service), 0).first;
  return Found->second;
}

void RetryBudget::earn(std::string_view Service) {
  std::lock_guard Lock(Mutex_);
  double &Tokens = balanceOf(Service);
  Tokens = std::min(Tokens + Options_.TokensPerRequest_, Options_.MaxTokens_);
}

bool RetryBudget::spend(std::string_view Service) {
  std::lock_guard Lock(Mutex_);
  double &Tokens = balanceOf(Service);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void RetryBudget::charge(std::string_view Service, double Tokens) {
  std::lock_guard Lock(Mutex_);
  balanceOf(Service) -= Tokens;
}

double RetryBudget::tokens(std::string_view Service) const {
  std::lock_guard Lock(Mutex_);
  auto Found = Tokens_.find(Service);
  return Found == Tokens_.end() ? 0 : Found->second;
}

} // namespace coltsfoot
