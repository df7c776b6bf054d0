// Classifies DNS responses: usable records, an authoritative absence, or neither. Pure.
#pragma once

#include "protocol/dns/message.hpp"

namespace sablespur {

enum class AnswerKind {
  Records,   // contains records of the queried name and type
  Negative,  // authoritative denial that such records exist (RFC 2308)
  Unusable   // an error, or an empty answer from a server without the zone; try another server
};
AnswerKind classifyAnswer(const dns::Question&, const dns::Message&);

// Returns the SOA record of the authority section, or nullptr. Owned by the message.
const dns::Soa* soaOf(const dns::Message&);

}  // namespace sablespur
