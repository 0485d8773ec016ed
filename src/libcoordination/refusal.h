#pragma once

#include "coltsfootpoint/verdict.h"

#include <string>
#include <string_view>

namespace coltsfoot {

/// Returns the HTTP status that tells a caller of a verdict without an answer.
int statusOf(const Verdict &Outcome);

/// Returns why there is no answer; Reason::None when there is one.
Reason reasonOf(const Verdict &Outcome);

/// Returns the JSON answer to a call that has no answer of a backend server.
/// Detail is for people; it may be empty.
Answer refusalAnswer(const Verdict &Outcome, std::string_view RequestId,
                     std::string_view Detail = {});

/// Returns an answer with a JSON body of one error and no verdict, for the
/// node's own API.
Answer errorAnswer(int Status, std::string_view Error,
                   std::string_view Field = {});

/// Returns a whole JSON answer.
Answer jsonAnswer(int Status, std::string Json);

} // namespace coltsfoot
