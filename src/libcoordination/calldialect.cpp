#include "calldialect.h"

#include "httpframing.h"

namespace coltsfoot {

std::string bearerKey(std::string_view Authorization) {
  constexpr std::string_view Scheme = "Bearer ";
  if (Authorization.size() <= Scheme.size() ||
      !equalIgnoringCase(Authorization.substr(0, Scheme.size()), Scheme))
    return {};
  return std::string(trimmed(Authorization.substr(Scheme.size())));
}

} // namespace coltsfoot
