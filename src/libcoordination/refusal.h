#pragma once

#include "coltsfootpoint/verdict.h"

#include <string>
#include <string_view>

namespace coltsfoot {

/// Returns the HTTP status that the caller gets for a verdict: that of the
/// backend server's answer if there is one.
int statusOf(const Verdict &Outcome);

/// Returns the reason of a verdict; Reason::None if the request ran.
Reason reasonOf(const Verdict &Outcome);

/// Returns the JSON answer for a caller whose call got no answer from a backend
/// server. Detail is for human readers; it may be empty.
Answer refusalAnswer(const Verdict &Outcome, std::string_view RequestId,
                     std::string_view Detail = {});

/// Returns an answer of the node's own API: a JSON body with an error message
/// and, unless it is empty, the name of the field at fault. It has no verdict.
Answer errorAnswer(int Status, std::string_view Error,
                   std::string_view Field = {});

/// Returns an answer with this JSON body and the matching content type.
Answer jsonAnswer(int Status, std::string Json);

} // namespace coltsfoot
