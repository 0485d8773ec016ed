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

int64_t neededOffset(JsonReader &Reader, std::string_view Key) {
  std::optional<int64_t> Offset = Reader.integer(Key, 0, MaxOffset);
  if (!Offset)
    Reader.fail(Key, "missing");
  return *Offset;
}

LogRecord parseRecord(const boost::json::value &Value) {
  JsonReader Reader(Value.as_object(), "records.");
  LogRecord Record;
  Record.Offset_ = neededOffset(Reader, "offset");
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
  Batch.FirstOffset_ = neededOffset(Reader, "first_offset");
  Batch.NextOffset_ = neededOffset(Reader, "next_offset");
  const boost::json::array *Records = Reader.array("records");
  if (!Records)
    Reader.fail("records", "missing");
  for (const boost::json::value &Item : *Records)
    Batch.Records_.push_back(parseRecord(Item));
  return Batch;
}

/// Returns whether the batch can be the answer to a read from an offset on.
bool isSound(const LogBatch &Batch, int64_t From) {
  int64_t Expected = From;
  for (const LogRecord &Record : Batch.Records_) {
    if (Record.Offset_ != Expected)
      return false;
    ++Expected;
  }
  return Batch.NextOffset_ >= Expected;
}

ReadResult checkedBatch(LogBatch Batch, int64_t From) {
  if (isSound(Batch, From))
    return Batch;
  // Some logs answer with the oldest records in place of 410.
  bool Skipped = !Batch.Records_.empty() &&
                 Batch.Records_.front().Offset_ > From &&
                 Batch.Records_.front().Offset_ == Batch.FirstOffset_;
  if (Skipped)
    return LogTrimmed{Batch.FirstOffset_};
  return LogDown{"the offsets of the answer are wrong"};
}

ReadResult parseGone(std::string_view Body, int64_t From) {
  boost::json::object Object = parseObject(Body);
  JsonReader Reader(Object, "");
  int64_t First = neededOffset(Reader, "first_offset");
  if (First <= From)
    return LogDown{"an offset that is kept was called trimmed"};
  return LogTrimmed{First};
}

} // namespace

// Only answers that a server gives in place of doing the work count as
// refused; any other leaves open whether the record was written.
AppendResult parseAppendAnswer(int Status, std::string_view Body) {
  if (Status == StatusServiceUnavailable || (Status >= 400 && Status < 500))
    return AppendRefused{"status " + std::to_string(Status)};
  if (Status != StatusOk && Status != StatusCreated)
    return AppendUnknown{"status " + std::to_string(Status)};
  try {
    boost::json::object Object = parseObject(Body);
    JsonReader Reader(Object, "");
    return Appended{neededOffset(Reader, "offset")};
  } catch (const std::exception &Error) {
    return AppendUnknown{Error.what()};
  }
}

ReadResult parseReadAnswer(int Status, std::string_view Body, int64_t From) {
  try {
    if (Status == StatusGone)
      return parseGone(Body, From);
    if (Status != StatusOk)
      return LogDown{"status " + std::to_string(Status)};
    return checkedBatch(parseBatch(Body), From);
  } catch (const std::exception &Error) {
    return LogDown{Error.what()};
  }
}

} // namespace coltsfoot
