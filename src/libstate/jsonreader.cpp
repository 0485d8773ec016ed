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

std::string shortNumber(double Value) {
  std::array<char, 32> Digits;
  auto End = std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value);
  return {Digits.data(), End.ptr};
}

std::string rangeText(const std::string &Least, const std::string &Greatest) {
  return " from " + Least + " to " + Greatest;
}

} // namespace

JsonReader::JsonReader(const boost::json::object &Object, std::string Prefix)
    : Object_(Object), Prefix_(std::move(Prefix)) {}

const boost::json::value *JsonReader::take(std::string_view Key) {
  const boost::json::value *Value = Object_.if_contains(Key);
  if (Value)
    Taken_.push_back(Key);
  return Value;
}

std::optional<std::string> JsonReader::string(std::string_view Key) {
  const boost::json::value *Value = take(Key);
  if (!Value)
    return std::nullopt;
  if (!Value->is_string())
    fail(Key, "expected a string");
  return std::string(std::string_view(Value->get_string()));
}

std::optional<int64_t> JsonReader::integer(std::string_view Key, int64_t Least,
                                           int64_t Greatest) {
  const boost::json::value *Value = take(Key);
  if (!Value)
    return std::nullopt;
  if (!Value->is_int64() || Value->get_int64() < Least ||
      Value->get_int64() > Greatest)
    fail(Key, "expected an integer" +
                  rangeText(std::to_string(Least), std::to_string(Greatest)));
  return Value->get_int64();
}

std::optional<double> JsonReader::number(std::string_view Key, double Least,
                                         double Greatest) {
  const boost::json::value *Value = take(Key);
  if (!Value)
    return std::nullopt;
  double Number = Value->is_number() ? Value->to_number<double>() : NAN;
  // The negated comparison rejects NaN, which stands for other types, as well.
  if (!(Number >= Least && Number <= Greatest))
    fail(Key, "expected a number" +
                  rangeText(shortNumber(Least), shortNumber(Greatest)));
  return Number;
}

std::optional<bool> JsonReader::boolean(std::string_view Key) {
  const boost::json::value *Value = take(Key);
  if (!Value)
    return std::nullopt;
  if (!Value->is_bool())
    fail(Key, "expected true or false");
  return Value->get_bool();
}

const boost::json::array *JsonReader::array(std::string_view Key) {
  const boost::json::value *Value = take(Key);
  if (!Value)
    return nullptr;
  if (!Value->is_array())
    fail(Key, "expected an array");
  return &Value->get_array();
}

void JsonReader::finish() const {
  for (const auto &Member : Object_) {
    std::string_view Key = Member.key();
    if (std::find(Taken_.begin(), Taken_.end(), Key) == Taken_.end())
      fail(Key, "unknown key");
  }
}

void JsonReader::fail(std::string_view Key, const std::string &Why) const {
  throw ResourceError(Prefix_ + std::string(Key), Why);
}

} // namespace coltsfoot
