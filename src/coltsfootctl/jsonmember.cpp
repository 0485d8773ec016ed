#include "jsonmember.h"

#include <boost/json.hpp>

namespace coltsfoot {

namespace json = boost::json;

namespace {

/// Returns a member of a serialized JSON object; null when there is none or the
/// text isn't an object.
json::value findMember(std::string_view Json, std::string_view Key) {
  boost::system::error_code Error;
  json::value Parsed = json::parse({Json.data(), Json.size()}, Error);
  const json::object *Fields = Error ? nullptr : Parsed.if_object();
  const json::value *Found =
      Fields ? Fields->if_contains({Key.data(), Key.size()}) : nullptr;
  return Found ? *Found : json::value();
}

} // namespace

std::string stringMember(std::string_view Json, std::string_view Key) {
  json::value Found = findMember(Json, Key);
  const json::string *Text = Found.if_string();
  return Text ? std::string(*Text) : std::string();
}

std::optional<int64_t> integerMember(std::string_view Json,
                                     std::string_view Key) {
  json::value Found = findMember(Json, Key);
  const int64_t *Number = Found.if_int64();
  return Number ? std::optional<int64_t>(*Number) : std::nullopt;
}

std::string memberJson(std::string_view Json, std::string_view Key) {
  json::value Found = findMember(Json, Key);
  return Found.is_null() ? std::string() : json::serialize(Found);
}

bool sameJson(std::string_view Left, std::string_view Right) {
  boost::system::error_code LeftError;
  boost::system::error_code RightError;
  json::value LeftValue = json::parse({Left.data(), Left.size()}, LeftError);
  json::value RightValue =
      json::parse({Right.data(), Right.size()}, RightError);
  return !LeftError && !RightError && LeftValue == RightValue;
}

} // namespace coltsfoot
