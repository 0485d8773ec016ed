#include "change.h"

#include "jsonreader.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>
#include <limits>

namespace coltsfoot {

namespace {

constexpr size_t MaxRecordBytes = 512U << 10U;
constexpr size_t MaxIdLength = 64;

bool isChangeId(std::string_view Id) {
  return !Id.empty() && Id.size() <= MaxIdLength &&
         std::all_of(Id.begin(), Id.end(), [](unsigned char C) {
           return std::isalnum(C) != 0 || C == '-' || C == '_' || C == '.';
         });
}

/// Returns the member's value. Throws ResourceError when it is absent.
template <typename T>
T required(const JsonReader &Reader, std::string_view Key,
           std::optional<T> Value) {
  if (!Value)
    Reader.fail(Key, "required member is missing");
  return std::move(*Value);
}

Change readChange(const boost::json::object &Object) {
  JsonReader Reader(Object, "");
  Change Result;
  Result.Id_ = required(Reader, "id", Reader.string("id"));
  if (!isChangeId(Result.Id_))
    Reader.fail("id", "expected 1 to 64 letters, digits, '-', '_' and '.'");
  Result.Kind_ =
      parseResourceKind(required(Reader, "kind", Reader.string("kind")));
  Result.Name_ = required(Reader, "name", Reader.string("name"));
  Result.ExpectedVersion_ =
      required(Reader, "expected",
               Reader.integer("expected", AnyVersion,
                              std::numeric_limits<int64_t>::max()));
  Result.Delete_ = required(Reader, "delete", Reader.boolean("delete"));
  Result.Body_ = required(Reader, "body", Reader.string("body"));
  Reader.rejectUnknownKeys();
  return Result;
}

} // namespace

std::string encodeChange(const Change &Value) {
  boost::json::object Object;
  Object["id"] = Value.Id_;
  Object["kind"] = resourceKindName(Value.Kind_);
  Object["name"] = Value.Name_;
  Object["expected"] = Value.ExpectedVersion_;
  Object["delete"] = Value.Delete_;
  Object["body"] = Value.Body_;
  return boost::json::serialize(Object);
}

std::optional<Change> decodeChange(std::string_view Data) {
  if (Data.size() > MaxRecordBytes)
    return std::nullopt;
  boost::system::error_code Error;
  boost::json::value Value = boost::json::parse(Data, Error);
  if (Error || !Value.is_object())
    return std::nullopt;
  try {
    return readChange(Value.get_object());
  } catch (const ResourceError &) {
    return std::nullopt;
  }
}

} // namespace coltsfoot
