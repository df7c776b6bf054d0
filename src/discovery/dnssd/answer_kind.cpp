#include "discovery/dnssd/answer_kind.hpp"

#include <variant>

namespace sablespur {

using dns::Message;
using dns::Question;
using dns::Record;
using dns::Type;

const dns::Soa* soaOf(const Message& m) {
  for (const Record& r : m.authorities)
    if (r.type == Type::Soa) return std::get_if<dns::Soa>(&r.data);
  return nullptr;
}

// RFC 2308 section 2: a negative answer bears the zone's SOA, or comes from the zone's own server. An empty
// answer without either is a referral, or from one that does not serve the zone.
AnswerKind classifyAnswer(const Question& q, const Message& m) {
  if (m.rcode != dns::Rcode::NoError && m.rcode != dns::Rcode::NxDomain) return AnswerKind::Unusable;
  for (const Record& r : m.answers)
    if (r.type == q.type && r.name == q.name) return AnswerKind::Records;
  if (m.rcode == dns::Rcode::NoError && !m.answers.empty()) return AnswerKind::Unusable;
  return m.authoritative || soaOf(m) ? AnswerKind::Negative : AnswerKind::Unusable;
}

}  // namespace sablespur
