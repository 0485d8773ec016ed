#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// Reads the members of a JSON object strictly. Each read throws ResourceError
/// with the member's full name for a wrong type or a value out of range;
/// rejectUnknownKeys() throws it for members that were not read. The object
/// must outlive the reader.
class JsonReader {
public:
  /// Errors name a member by Prefix followed by its key.
  JsonReader(const boost::json::object &Object, std::string Prefix);

  /// Returns the string, or nothing when the member is absent.
  std::optional<std::string> string(std::string_view Key);
  /// Returns the integer, or nothing when the member is absent.
  std::optional<int64_t> integer(std::string_view Key, int64_t Min,
                                 int64_t Max);
  /// Returns the number, or nothing when the member is absent.
  std::optional<double> number(std::string_view Key, double Min, double Max);
  /// Returns the boolean, or nothing when the member is absent.
  std::optional<bool> boolean(std::string_view Key);
  /// Returns the array, or null when the member is absent.
  const boost::json::array *array(std::string_view Key);

  /// Throws ResourceError when a member was not read.
  void rejectUnknownKeys() const;

  /// Throws ResourceError for the member.
  [[noreturn]] void fail(std::string_view Key,
                         const std::string &Message) const;

private:
  const boost::json::value *findMember(std::string_view Key);

  const boost::json::object &Object_;
  std::string Prefix_;
  std::vector<std::string_view> ReadKeys_;
};

} // namespace coltsfoot
