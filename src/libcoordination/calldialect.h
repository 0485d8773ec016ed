#pragma once

#include "httpserver.h"

#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// What a caller's request says of itself, apart from what is asked for.
struct CallHead {
  std::string Id_; ///< The caller's own id; empty when it gave none.
  /// Id of the call that a backend server was running when it made this one, as
  /// far as the own id tells; empty for none.
  std::string ParentId_;
  std::string Host_; ///< Selects the route, together with the path.
  /// How long the caller waits; nothing when it does not say.
  std::optional<Millis> Remaining_;
  bool operator==(const CallHead &) const = default;
};

/// How callers and backend servers phrase calls, where they do not speak the
/// project's own interface: names of fields, formats, statuses. It decides
/// nothing. Implementations are stateless and thread-safe.
class CallDialect {
public:
  virtual ~CallDialect() = default;

  /// Returns what the request says. Throws std::invalid_argument when a field
  /// can't be read.
  virtual CallHead readCall(const HttpRequest &Request) const = 0;

  /// Returns the fields that go to the backend server with the request, of a
  /// caller that belongs to the service.
  virtual std::vector<HttpField>
  forwardedFields(const HttpRequest &Request,
                  std::string_view CallerService) const = 0;

  /// Returns the fields that the last hop adds: the time that is left, and the
  /// instance that alone may run the request.
  virtual std::vector<HttpField>
  upstreamFields(Millis Remaining, std::string_view Instance) const = 0;

  /// Returns the field in which an answer repeats the request's id.
  virtual std::string_view echoField() const = 0;

  /// Returns what an answer of the backend server means.
  virtual Verdict readAnswer(Answer Whole) const = 0;

  /// Returns the answer for the caller. RetryAfter is when a refused one is to
  /// come back; zero where nothing is advised.
  virtual Answer writeAnswer(const Verdict &Outcome,
                             Millis RetryAfter) const = 0;
};

} // namespace coltsfoot
