// A stand-in name server, authoritative for one domain. Serves the DNS-SD records of data servers
// over UDP and TCP, with the additional records of RFC 6763 section 12, and simulates faults on
// request. Written from the RFCs; shares only the message codec with the proxy. Listens on loopback
// addresses only.
#pragma once

#include <event2/event.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "protocol/dns/message.hpp"

namespace sablespur::lab {

struct ServiceInstance {
  std::string label;                   // "s-1"
  std::vector<std::string> addresses;  // "127.0.0.1"; one A or AAAA record each; empty: none yet
  std::uint16_t port = 0;
  std::vector<std::string> txt;  // "group=3"
  std::uint32_t ttl = 2;
  bool hasSrv = true, hasTxt = true;
};

class NameServer {
 public:
  enum class ResponseMode {
    Good,
    Silent,  // receives queries, never answers
    ServFail,
    Refused,
    Lame,           // NOERROR, no records, not authoritative, no SOA
    Noise,          // bytes that are not a DNS message
    Loop,           // a name with a compression pointer to itself
    Counts,         // a header that counts more records than follow
    WrongId,        // the correct answer under another id
    WrongQuestion,  // an answer from an empty zone, to another question
    WrongPort,      // an answer from an empty zone, sent from another port
    Truncated,      // TC bit over UDP
    TruncatedOnly,  // TC bit over UDP, and no TCP listener
    NoEdns          // FORMERR for queries with an OPT record
  };

  NameServer(event_base*, const std::string& domain, const std::string& service, int port = 0);
  ~NameServer();
  NameServer(const NameServer&) = delete;
  NameServer& operator=(const NameServer&) = delete;

  int port() const { return port_; }
  void publish(const ServiceInstance&);  // adds or replaces the instance
  void withdraw(const std::string& label);
  void clear() { instances_.clear(); }
  void responseMode(ResponseMode m);
  void additionals(bool on) { additionals_ = on; }
  void negativeTtl(std::uint32_t s) { negativeTtl_ = s; }

  // Called when an answer that names all instances is sent: maps each label to whether the instance
  // accepts new work (false for state=leaving).
  std::function<void(const std::map<std::string, bool>&)> onListSent;

  struct Counts {
    std::uint64_t udp = 0, tcp = 0;
    std::map<dns::Type, std::uint64_t> types;
  };
  const Counts& counts() const { return counts_; }
  // Parses "silent", "wrong-id", ...; returns false for an unknown name.
  static bool parseResponseMode(const std::string& name, ResponseMode&);

 private:
  class Tcp;
  std::string answer(const std::string& query, bool tcp);
  dns::Message records(const dns::Question&) const;
  void readUdp();
  void listenTcp();

  event_base* const base_;
  const dns::Name domain_, service_;
  int port_ = 0, udp_ = -1, other_ = -1, listener_ = -1;
  event* readable_ = nullptr;
  event* acceptable_ = nullptr;
  std::map<std::string, ServiceInstance> instances_;
  std::list<std::unique_ptr<Tcp>> connections_;
  ResponseMode responseMode_ = ResponseMode::Good;
  bool additionals_ = true;
  std::uint32_t negativeTtl_ = 1, serial_ = 1;
  Counts counts_;
};

}  // namespace sablespur::lab
