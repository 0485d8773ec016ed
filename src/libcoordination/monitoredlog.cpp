#include "monitoredlog.h"

namespace coltsfoot {

MonitoredLog::MonitoredLog(LogStore *Store, const Clock &Time)
    : Store_(Store), Clock_(Time),
      LastAnswer_(std::make_shared<std::atomic<double>>(Time.now().count())) {}

void MonitoredLog::append(std::string_view Stream, std::string Data,
                          AppendHandler Handler) {
  if (!Store_)
    return Handler(AppendRefused{"no log service is configured"});
  Store_->append(Stream, std::move(Data),
                 [this, Answered = LastAnswer_,
                  Handler = std::move(Handler)](const AppendResult &Result) {
                   if (std::holds_alternative<Appended>(Result))
                     *Answered = Clock_.now().count();
                   Handler(Result);
                 });
}

void MonitoredLog::read(std::string_view Stream, int64_t From, int Max,
                        Millis Wait, ReadHandler Handler) {
  if (!Store_)
    return Handler(LogDown{"no log service is configured"});
  Store_->read(Stream, From, Max, Wait,
               [this, Answered = LastAnswer_,
                Handler = std::move(Handler)](const ReadResult &Result) {
                 if (!std::holds_alternative<LogDown>(Result))
                   *Answered = Clock_.now().count();
                 Handler(Result);
               });
}

Millis MonitoredLog::silence() const {
  return Clock_.now() - Millis(LastAnswer_->load());
}

} // namespace coltsfoot
