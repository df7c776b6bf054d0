#include "discovery/dnssd/exchange.hpp"

namespace sablespur {

bool SentQuery::isAnsweredBy(const dns::Message& message) const {
  if (!message.response || message.id != id) return false;
  if (message.question) return *message.question == question;
  // A server that cannot parse a query need not echo its question.
  return message.rcode == dns::Rcode::FormErr;
}

}  // namespace sablespur
