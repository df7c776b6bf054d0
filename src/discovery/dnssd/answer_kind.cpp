#include "discovery/dnssd/answer_kind.hpp"

#include <variant>

namespace sablespur {

using dns::Message;
using dns::Question;
using dns::Record;
using dns::Type;

const dns::Soa* soaOf(const Message& message) {
  for (const Record& record : message.authorities)
    if (record.type == Type::Soa) return std::get_if<dns::Soa>(&record.data);
  return nullptr;
}

// RFC 2308 section 2: a negative answer carries the zone's SOA record or has the AA flag set. An
// empty answer with neither is a referral, or comes from a server that does not serve the zone.
AnswerKind classifyAnswer(const Question& question, const Message& message) {
  const bool success = message.rcode == dns::Rcode::NoError;
  if (!success && message.rcode != dns::Rcode::NxDomain) return AnswerKind::Unusable;
  for (const Record& record : message.answers)
    if (record.type == question.type && record.name == question.name) return AnswerKind::Records;
  if (success && !message.answers.empty()) return AnswerKind::Unusable;
  return message.authoritative || soaOf(message) ? AnswerKind::Negative : AnswerKind::Unusable;
}

}  // namespace sablespur
