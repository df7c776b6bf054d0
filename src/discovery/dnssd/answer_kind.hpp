// Whether a DNS message answers a question. Pure.
#pragma once

#include "protocol/dns/message.hpp"

namespace sablespur {

enum class AnswerKind {
  Records,   // it holds records of the name and type that were asked for
  Negative,  // it says with authority that there are none (RFC 2308)
  Unusable   // an error, or an empty answer of a server that does not know the zone: ask another one
};
AnswerKind classifyAnswer(const dns::Question&, const dns::Message&);

// The SOA record of the authority section, or null. Owned by the message.
const dns::Soa* soaOf(const dns::Message&);

}  // namespace sablespur
