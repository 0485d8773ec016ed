#include "jsonreader.h"

#include "resource.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <utility>

namespace coltsfoot {

namespace {

std::string shortestDecimal(double Value) {
  std::array<char, 32> Digits;
  auto End = std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value);
  return {Digits.data(), End.ptr};
}

std::string rangeText(const std::string &Min, const std::string &Max) {
  return " from " + Min + " to " + Max;
}

} // namespace

JsonReader::JsonReader(const boost::json::object &Object, std::string Prefix)
    : Object_(Object), Prefix_(std::move(Prefix)) {}

const boost::json::value *JsonReader::findMember(std::string_view Key) {
  const boost::json::value *Value = Object_.if_contains(Key);
  if (Value)
    ReadKeys_.push_back(Key);
  return Value;
}

std::optional<std::string> JsonReader::string(std::string_view Key) {
  const boost::json::value *Value = findMember(Key);
  if (!Value)
    return std::nullopt;
  if (!Value->is_string())
    fail(Key, "expected a string");
  return std::string(std::string_view(Value->get_string()));
}

std::optional<int64_t> JsonReader::integer(std::string_view Key, int64_t Min,
                                           int64_t Max) {
  const boost::json::value *Value = findMember(Key);
  if (!Value)
    return std::nullopt;
  if (!Value->is_int64() || Value->get_int64() < Min ||
      Value->get_int64() > Max)
    fail(Key, "expected an integer" +
                  rangeText(std::to_string(Min), std::to_string(Max)));
  return Value->get_int64();
}

std::optional<double> JsonReader::number(std::string_view Key, double Min,
                                         double Max) {
  const boost::json::value *Value = findMember(Key);
  if (!Value)
    return std::nullopt;
  double Number = Value->is_number() ? Value->to_number<double>() : NAN;
  // The negated comparison rejects NaN, which stands for other types, as well.
  if (!(Number >= Min && Number <= Max))
    fail(Key, "expected a number" +
                  rangeText(shortestDecimal(Min), shortestDecimal(Max)));
  return Number;
}

std::optional<bool> JsonReader::boolean(std::string_view Key) {
  const boost::json::value *Value = findMember(Key);
  if (!Value)
    return std::nullopt;
  if (!Value->is_bool())
    fail(Key, "expected true or false");
  return Value->get_bool();
}

const boost::json::array *JsonReader::array(std::string_view Key) {
  const boost::json::value *Value = findMember(Key);
  if (!Value)
    return nullptr;
  if (!Value->is_array())
    fail(Key, "expected an array");
  return &Value->get_array();
}

void JsonReader::rejectUnknownKeys() const {
  for (const auto &Member : Object_) {
    std::string_view Key = Member.key();
    if (std::find(ReadKeys_.begin(), ReadKeys_.end(), Key) == ReadKeys_.end())
      fail(Key, "unknown key");
  }
}

void JsonReader::fail(std::string_view Key, const std::string &Message) const {
  throw ResourceError(Prefix_ + std::string(Key), Message);
}

} // namespace coltsfoot
