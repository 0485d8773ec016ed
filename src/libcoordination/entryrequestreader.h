#pragma once

#include "entry.h"
#include "entrycall.h"

#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"

#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

struct CallMetadata;
struct ParentCall;
class ConfigState;
class SpentTokens;

/// Returns the first label of a host name, or nothing when that label is
/// numeric, as in an IP address.
std::string_view hostLabel(std::string_view Host);

/// Whether a refusal applies to every call with the same ticket or step, or
/// only to this one.
enum class RefusalScope { ThisCall, EveryCall };

/// Thrown to refuse a call that has not been sent to any gate.
struct Refusal {
  Verdict Verdict_;
  std::string Detail_;
  std::vector<HttpField> Fields_;
  RefusalScope Scope_ = RefusalScope::ThisCall;
};

/// Reads a caller's HTTP request into an EntryRequest, or throws Refusal.
class EntryRequestReader {
public:
  EntryRequestReader(const EntryParts &Parts, SpentTokens &Spent,
                     const HttpRequest &Incoming);

  /// Returns the request. Throws Refusal. Call it once.
  EntryRequest read();

  const std::string &requestId() const { return Request_.RequestId_; }

  /// Returns the record of a call that is refused before it is sent.
  CallRecord recordOf(const Verdict &Outcome) const;

private:
  void readAll();
  void readInDialect();
  void readHostRoute(const CallMetadata &Metadata);
  void readParent(const CallMetadata &Metadata);
  void readTeam(std::string_view Key, bool NamesParent);
  std::string_view teamOfKey(std::string_view Key) const;
  void rankByTeam();
  void issueExclusiveTicket();
  bool mayBeRepetition() const;
  void returnCredits();
  void readRoute();
  void readRoot();
  void readNested(std::string_view Context);
  void readRetryToken();
  void readRootTicket();
  void readStepTicket(const ParentCall &Parent);
  void setTicket(std::string Text);
  void readDeadline();
  void checkDrain();
  void checkThresholds();
  [[noreturn]] void refuseUnsent(Reason Why, std::string Detail);
  [[noreturn]] void refuseWithNewTicket();

  const EntryParts &Parts_;
  SpentTokens &Spent_;
  const HttpRequest &Incoming_;
  const std::shared_ptr<const ConfigState> Config_;
  const Millis Now_;
  EntryRequest Request_;
  bool Idempotent_ = false; // False until the route is known.
  /// The credit that the caller's retry cost. It goes back into a new retry
  /// token when the entry's admission threshold refuses the retry.
  int RetryCredit_ = 0;
  Millis ParentDeadline_{std::numeric_limits<double>::max()};
};

} // namespace coltsfoot
