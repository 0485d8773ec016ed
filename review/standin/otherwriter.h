/// A writer other than an upstream that sends a status report.
#pragma once

#include "node.h"

namespace review {

/// Sends the report to the control address of the node and writes the answer to
/// the record.
void sendForeignReport(const Node &To, const std::string &Instance,
                       const std::string &Body, Record &Log);

/// Returns the present time as the milliseconds of a field `born`.
std::string bornNow();

} // namespace review
