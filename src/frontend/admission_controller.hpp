// Between the fronts of all protocols and the decisions of admission: which connections are let in, which
// idle one makes way, which requests go on to the engine and when. The rules are admission's (src/admission);
// the Gate gives it the time, the addresses and the outcomes, and carries out what it says.
//
// A front without a Gate lets everyone in as far as the account goes, and passes every request on.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "engine/engine.hpp"

namespace sablespur {

// A client's connection, as the Gate sees it.
class AdmittedConnection {
 public:
  virtual ~AdmittedConnection() = default;
  // It is idle, and its place is another's from now on: it closes once what was written has gone out. Never
  // called from within a call of its own.
  virtual void evict() = 0;
};

using PermitId = std::uint64_t;  // 0: none

struct AdmissionDecision {
  PermitId place = 0;        // 0: it is not let in
  const char* why = "none";  // not let in: the bound that was met
  Time comeBack{};           // not let in: after so long, spread among those refused
};

// For `sablespur status`.
struct AdmissionView {
  std::size_t held = 0, most = 0, antechamber = 0;
  std::size_t known = 0;  // addresses that have been served before
  struct Group {
    std::string name;
    std::size_t held = 0, idle = 0, most = 0, reserve = 0, reserveLeft = 0, out = 0, waiting = 0;
    double weight = 1;
    std::uint64_t admitted = 0, askedBack = 0, went = 0, waited = 0;
    std::map<std::string, std::uint64_t> refused, turnedAway;  // connections, requests: by reason
    bool refusing = false;
  };
  std::vector<Group> groups;
  bool limits = false;  // requests are limited
  struct Lane {
    std::int64_t group = 0;  // of data servers; -1: of all beyond those that are kept apart
    bool primary = false;    // what needs the primary
    std::size_t limit = 0, out = 0, waiting = 0;
    Time usual{};  // latency of late
  };
  std::vector<Lane> lanes;
};

class AdmissionController {
 public:
  virtual ~AdmissionController() = default;

  // Whether connections from there begin with a PROXY header.
  virtual bool expectsProxyHeader(const Address&) const = 0;
  virtual AdmissionDecision connectionArrived(AdmittedConnection&, const Address& from) = 0;
  // It has proved this name. One that was not let in by its address may be by its name; one that was moves.
  // `place`: 0, or its place.
  virtual AdmissionDecision userAuthenticated(AdmittedConnection&, PermitId place, const Address& from,
                                              const std::string& user) = 0;
  virtual bool knowsNames() const = 0;
  virtual std::size_t maxUnadmittedConnections() const = 0;  // connections that may be held without a place
  virtual void connectionClosed(PermitId) = 0;
  virtual void busy(PermitId) = 0;    // it has asked
  virtual void idle(PermitId) = 0;    // it is answered, or greeted
  virtual void served(PermitId) = 0;  // by an answer of a data server
  // There is no descriptor: the idle connection that is asked back first makes way.
  virtual void onExhaustion() = 0;

  // As Entrance::request and Entrance::left; ids are the Gate's own. What is not let on is told by
  // Requester::refused, after this call has returned.
  virtual RequestId request(ResponseHandler&, balancer::Request, RequestMessage, PermitId) = 0;
  virtual void requestCancelled(RequestId) = 0;

  virtual void reload(const Config&) = 0;
  virtual AdmissionView view() const = 0;
};

// Null where the settings have no door.
// Requests that are let on go to the Entrance.
std::unique_ptr<AdmissionController> createAdmissionController(event_base*, Engine&, RequestHandler&,
                                                               const Config&);

}  // namespace sablespur
