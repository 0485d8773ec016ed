#pragma once

#include "logstore.h"

#include <atomic>
#include <string>
#include <utility>

namespace coltsfoot {

/// A LogStore that forwards all requests to another one and can make reads fail
/// while appends still succeed.
class FailingReadsLog : public LogStore {
public:
  explicit FailingReadsLog(LogStore &Log) : Log_(Log) {}

  /// Sets whether reads fail, including those in progress.
  void setDown(bool Down) { Down_ = Down; }

  void append(std::string_view Stream, std::string Data,
              AppendHandler Handler) override {
    Log_.append(Stream, std::move(Data), std::move(Handler));
  }

  void read(std::string_view Stream, int64_t From, int Max, Millis Wait,
            ReadHandler Handler) override {
    Log_.read(Stream, From, Max, Wait,
              [this, Handler = std::move(Handler)](const ReadResult &Result) {
                if (Down_)
                  Handler(LogDown{"the test makes reads fail"});
                else
                  Handler(Result);
              });
  }

private:
  LogStore &Log_;
  std::atomic<bool> Down_ = false;
};

} // namespace coltsfoot
