#pragma once

#include "admissionrequest.h"
#include "resource.h"

#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"

/// Conversions between the messages about a call and the values that entry and
/// gate work with.

namespace coltsfoot {

class ConfigState;

namespace wire {
class Offer;
class Reply;
} // namespace wire

/// Returns the verdict in a reply. An unknown outcome number says nothing, so
/// the call may have run.
Verdict verdictOf(const wire::Reply &Reply);

/// Writes a verdict into a reply; verdictOf() reads it.
void setOutcome(wire::Reply &Reply, const Verdict &CallVerdict);

/// Returns the configured route of an offer. If this node has not yet applied
/// the configuration that adds the route, it is derived from the offer alone.
Route configuredRoute(const ConfigState &Config, const wire::Offer &Offered);

/// Returns the route of an offer under a call dialect, derived from the offer
/// alone. An offer without a ticket is for an idempotent call.
Route routeFromOffer(const wire::Offer &Offered);

/// Returns the request for admission of an offer that arrived at Now. Under a
/// call dialect, the offer alone gives the order of its rank. Figures of peers
/// are limited, so that arithmetic with them can't overflow.
AdmissionRequest admissionRequestOf(const ConfigState &Config,
                                    const Route &CallRoute,
                                    const wire::Offer &Offered, Millis Now,
                                    bool InDialect);

} // namespace coltsfoot
