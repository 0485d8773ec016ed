#include "logmessages.h"

#include "base64.h"
#include "jsonreader.h"

#include <boost/json.hpp>
#include <limits>
#include <optional>
#include <utility>

namespace coltsfoot {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusCreated = 201;
constexpr int StatusGone = 410;
constexpr int StatusServiceUnavailable = 503;
constexpr int64_t MaxOffset = std::numeric_limits<int64_t>::max() - 1;

boost::json::object parseObject(std::string_view Body) {
  boost::json::value Value = boost::json::parse(Body);
  return std::move(Value.as_object());
}

int64_t requiredOffset(JsonReader &Reader, std::string_view Key) {
  std::optional<int64_t> Offset = Reader.integer(Key, 0, MaxOffset);
  if (!Offset)
    Reader.fail(Key, "missing");
  return *Offset;
}

LogRecord parseRecord(const boost::json::value &Value) {
  JsonReader Reader(Value.as_object(), "records.");
  LogRecord Record;
  Record.Offset_ = requiredOffset(Reader, "offset");
  std::optional<std::string> Data =
      decodeBase64(Reader.string("data").value_or("?"));
  if (!Data)
    Reader.fail("data", "expected base64");
  Record.Data_ = std::move(*Data);
  return Record;
}

LogBatch parseBatch(std::string_view Body) {
  boost::json::object Object = parseObject(Body);
  JsonReader Reader(Object, "");
  LogBatch Batch;
  Batch.FirstOffset_ = requiredOffset(Reader, "first_offset");
  Batch.NextOffset_ = requiredOffset(Reader, "next_offset");
  const boost::json::array *Records = Reader.array("records");
  if (!Records)
    Reader.fail("records", "missing");
  for (const boost::json::value &Item : *Records)
    Batch.Records_.push_back(parseRecord(Item));
  return Batch;
}

/// Returns whether the records are consecutive from the offset From on and
/// end before the batch's next offset.
bool isContiguousFrom(const LogBatch &Batch, int64_t From) {
  int64_t Expected = From;
  for (const LogRecord &Record : Batch.Records_) {
    if (Record.Offset_ != Expected)
      return false;
    ++Expected;
  }
  return Batch.NextOffset_ >= Expected;
}

ReadResult validateBatch(LogBatch Batch, int64_t From) {
  if (isContiguousFrom(Batch, From))
    return Batch;
  // Some log services return the oldest records instead of status 410.
  bool OlderTrimmed = !Batch.Records_.empty() &&
                      Batch.Records_.front().Offset_ > From &&
                      Batch.Records_.front().Offset_ == Batch.FirstOffset_;
  if (OlderTrimmed)
    return LogTrimmed{Batch.FirstOffset_};
  return LogDown{
      "records in the response are not consecutive from the requested offset"};
}

ReadResult parseGone(std::string_view Body, int64_t From) {
  boost::json::object Object = parseObject(Body);
  JsonReader Reader(Object, "");
  int64_t First = requiredOffset(Reader, "first_offset");
  if (First <= From)
    return LogDown{"status 410 for an offset that the log still keeps"};
  return LogTrimmed{First};
}

} // namespace

// Only statuses that a server returns instead of processing the request count
// as refused; any other status leaves open whether the record was written.
AppendResult parseAppendAnswer(int Status, std::string_view Body) {
  if (Status == StatusServiceUnavailable || (Status >= 400 && Status < 500))
    return AppendRefused{"log service returned status " +
                         std::to_string(Status)};
  if (Status != StatusOk && Status != StatusCreated)
    return AppendUnknown{"log service returned status " +
                         std::to_string(Status)};
  try {
    boost::json::object Object = parseObject(Body);
    JsonReader Reader(Object, "");
    return Appended{requiredOffset(Reader, "offset")};
  } catch (const std::exception &Error) {
    return AppendUnknown{Error.what()};
  }
}

ReadResult parseReadAnswer(int Status, std::string_view Body, int64_t From) {
  try {
    if (Status == StatusGone)
      return parseGone(Body, From);
    if (Status != StatusOk)
      return LogDown{"log service returned status " + std::to_string(Status)};
    return validateBatch(parseBatch(Body), From);
  } catch (const std::exception &Error) {
    return LogDown{Error.what()};
  }
}

} // namespace coltsfoot
