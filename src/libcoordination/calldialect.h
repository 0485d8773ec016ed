#pragma once

#include "httpserver.h"

#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// The metadata of a caller's request: its ids, its host and how long the
/// caller waits.
struct CallMetadata {
  std::string Id_; ///< Set by the caller; empty if it set none.
  /// Id of the call that a backend server was running when it made this one,
  /// derived from Id_; empty if Id_ names no parent.
  std::string ParentId_;
  std::string Host_; ///< Selects the route together with the path.
  /// How long the caller waits; nothing if the request does not say.
  std::optional<Millis> Remaining_;
  /// The key by which the caller identifies its team; empty for none.
  std::string Key_;
  bool operator==(const CallMetadata &) const = default;
};

/// What a forwarded request tells the backend server about its origin.
struct CallOrigin {
  std::string_view CallerService_;
  /// Whether callers identify themselves by keys, which are not forwarded.
  bool KeysInUse_ = false;
  std::string_view Team_; ///< Empty for none.
};

/// Returns the key in an Authorization field of the scheme Bearer, or an empty
/// text for any other value.
std::string bearerKey(std::string_view Authorization);

/// The HTTP conventions for calls of callers and backend servers that do not
/// use the project's own interface: names and formats of header fields, and
/// status codes. It only translates; admission and routing are decided
/// elsewhere. Implementations are stateless and thread-safe.
class CallDialect {
public:
  virtual ~CallDialect() = default;

  /// Returns the metadata of a request. Throws std::invalid_argument when a
  /// field is malformed.
  virtual CallMetadata readCall(const HttpRequest &Request) const = 0;

  /// Returns the header fields that are forwarded to the backend server with
  /// the request. They name the service and the team of the caller, whatever
  /// the request says of these.
  virtual std::vector<HttpField>
  forwardedFields(const HttpRequest &Request,
                  const CallOrigin &Origin) const = 0;

  /// Returns the fields that the gate adds before it forwards the request to
  /// its backend server: the time that remains, and the only instance that may
  /// run the request. For an empty Instance that field is left out.
  virtual std::vector<HttpField>
  upstreamFields(Millis Remaining, std::string_view Instance) const = 0;

  /// Returns the name of the field in which an answer repeats the request's id.
  virtual std::string_view echoField() const = 0;

  /// Returns the verdict that an answer of the backend server stands for.
  virtual Verdict readAnswer(Answer BackendAnswer) const = 0;

  /// Returns the answer for the caller. RetryAfter is how long a refused caller
  /// should wait before a retry; zero advises nothing.
  virtual Answer writeAnswer(const Verdict &Outcome,
                             Millis RetryAfter) const = 0;
};

} // namespace coltsfoot
