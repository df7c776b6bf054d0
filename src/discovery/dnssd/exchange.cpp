#include "discovery/dnssd/exchange.hpp"

namespace sablespur {

bool SentQuery::isAnsweredBy(const dns::Message& message) const {
  if (!message.response || message.id != id) return false;
  if (message.question) return *message.question == question;
  return message.rcode == dns::Rcode::FormErr;  // a server that cannot read the question need not repeat it
}

}  // namespace sablespur
