#pragma once

#include "logstore.h"

#include <atomic>
#include <string>
#include <utility>

namespace coltsfoot {

/// A log whose reads can be made to fail while its appends go through.
class ShyReads : public LogStore {
public:
  explicit ShyReads(LogStore &Log) : Log_(Log) {}

  /// Lets reads fail from now on, also those under way, or work again.
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
                  Handler(LogDown{"cut by the test"});
                else
                  Handler(Result);
              });
  }

private:
  LogStore &Log_;
  std::atomic<bool> Down_ = false;
};

} // namespace coltsfoot
