#include "discovery/dnssd/lookup.hpp"

#include <cstring>
#include <utility>

#include "discovery/dnssd/answer_kind.hpp"

namespace sablespur {
namespace {

const char* describeRcode(dns::Rcode rcode) {
  switch (rcode) {
    case dns::Rcode::NoError:
      return "NOERROR without usable records";
    case dns::Rcode::FormErr:
      return "FORMERR";
    case dns::Rcode::ServFail:
      return "SERVFAIL";
    case dns::Rcode::NxDomain:
      return "NXDOMAIN without the zone's SOA";
    case dns::Rcode::NotImp:
      return "NOTIMP";
    case dns::Rcode::Refused:
      return "REFUSED";
  }
  return "an unknown response code";
}

}  // namespace

Resolver::Lookup::Lookup(Resolver& resolver, dns::Question question, bool startsWithTcp)
    : resolver_(resolver),
      question_(std::move(question)),
      startsWithTcp_(startsWithTcp),
      tried_(resolver.settings_.servers.size()),
      timer_(event_new(
          resolver.base_, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<Lookup*>(self)->timerFired(); }, this)) {
  startTimer(timer_.get(), Time(0));
}

void Resolver::Lookup::timerFired() {
  if (!started_) return queryNextServer();
  if (deferredFailure_) return socketFailed(*std::exchange(deferredFailure_, std::nullopt));
  serverFailed("no answer before the timeout");
}

void Resolver::Lookup::queryNextServer() {
  const auto next = resolver_.servers_.select(resolver_.clock_.now(), tried_);
  if (!next) {
    ++resolver_.counts_.failed;
    return resolver_.finish(*this, Failure{lastError_});
  }
  if (started_) ++resolver_.counts_.failovers;
  started_ = true;
  serverIndex_ = *next;
  tried_[serverIndex_] = true;
  startsWithTcp_ ? sendOverTcp() : sendOverUdp();
}

SentQuery Resolver::Lookup::newQuery() const {
  return {static_cast<std::uint16_t>(resolver_.random_()), question_};
}

std::string Resolver::Lookup::encode(const SentQuery& query) const {
  const int payload = resolver_.withoutEdns_[serverIndex_] ? 0 : resolver_.settings_.udpPayload;
  return dns::encodeQuery(query.id, query.question, static_cast<std::uint16_t>(payload));
}

void Resolver::Lookup::sendOverUdp() {
  ++resolver_.counts_.udp;
  const SentQuery query = newQuery();
  udp_.emplace(resolver_.base_, query, *this);
  if (const auto failure = udp_->start(server(), encode(query))) return deferFailure(*failure);
  startTimer(timer_.get(), resolver_.settings_.attemptTimeout);
}

void Resolver::Lookup::sendOverTcp() {
  ++resolver_.counts_.tcp;
  const SentQuery query = newQuery();
  tcp_.emplace(resolver_.base_, query, *this);
  if (const auto failure = tcp_->start(server(), encode(query))) return deferFailure(*failure);
  startTimer(timer_.get(), resolver_.settings_.attemptTimeout);
}

// Handles the failure from the event loop. Handled within the call, failures of several servers
// would recurse.
void Resolver::Lookup::deferFailure(const SocketFailure& failure) {
  deferredFailure_ = failure;
  startTimer(timer_.get(), Time(0));
}

// Not counted against the server if this machine had no socket or no route to it.
void Resolver::Lookup::socketFailed(const SocketFailure& failure) {
  if (failure.fault == SocketFault::Peer) return serverFailed(std::strerror(failure.error));
  failOver(std::strerror(failure.error));
}

void Resolver::Lookup::serverFailed(const std::string& reason) {
  resolver_.servers_.recordFailure(serverIndex_, resolver_.clock_.now());
  failOver(reason);
}

void Resolver::Lookup::failOver(const std::string& reason) {
  closeExchange();
  lastError_ = server().text() + ": " + reason;
  queryNextServer();
}

void Resolver::Lookup::closeExchange() {
  udp_.reset();
  tcp_.reset();
  event_del(timer_.get());
}

void Resolver::Lookup::answered(dns::Message message) {
  const bool overTcp = tcp_.has_value();
  closeExchange();
  if (message.rcode == dns::Rcode::FormErr && !resolver_.withoutEdns_[serverIndex_]) {  // RFC 6891 section 7
    resolver_.withoutEdns_[serverIndex_] = true;
    return overTcp ? sendOverTcp() : sendOverUdp();
  }
  if (message.truncated && !overTcp) return sendOverTcp();
  if (classifyAnswer(question_, message) == AnswerKind::Unusable)
    return serverFailed(std::string("the server answered ") + describeRcode(message.rcode));
  resolver_.servers_.recordAnswer(serverIndex_);
  resolver_.finish(*this, Answer{std::move(message), overTcp});
}

void Resolver::Lookup::messageDiscarded() { ++resolver_.counts_.discarded; }

}  // namespace sablespur
