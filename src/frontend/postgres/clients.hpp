// Client connections: the startup, queries one at a time, answers in order.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "engine/acceptor.hpp"
#include "engine/engine.hpp"
#include "engine/event.hpp"
#include "engine/resource_budget.hpp"
#include "engine/workers.hpp"
#include "frontend/admission_controller.hpp"
#include "protocol/postgres/startup.hpp"

namespace sablespur {

class Session;

class Clients {
 public:
  // `gate` may be null. Throws std::runtime_error where it cannot listen.
  Clients(event_base*, Engine&, RequestHandler&, WorkerPool&, ResourceBudget&, ReservedDescriptor&,
          AdmissionController* gate, const Config&);
  ~Clients();
  // Serves on while new connections still come, then closes connections between requests and finishes what is
  // taken, all in time for the earliest SIGKILL (shutdown.hpp). `done` follows when no connection is left.
  void drain(std::function<void()> done);
  bool draining() const { return draining_; }
  int port() const;
  void shortage();                                 // there is no descriptor: an idle client makes way
  void users(std::shared_ptr<const auth::Users>);  // of logins from now on

 private:
  friend class Session;
  void accepted(evutil_socket_t, const sockaddr*);
  void turnAway(evutil_socket_t,
                Time comeBack);  // without reading who it is; the descriptor stays the caller's
  void closed(Session&);
  bool room();
  bool makeRoom();
  Session* mostSpare(int least, const Session* but = nullptr);  // null: none
  void round();
  void firstAsked(const Session& by);
  void logRejection(const char* code, std::string_view why, const Address& from);
  void watchEnd(Session&, bool on);  // of one that is not read for now
  void lookForEnds();
  postgres::Key newKey(Session&, std::size_t length);  // the session takes it out of keys_ at its end
  void cancel(const postgres::Key&);                   // by a CancelRequest; a wrong key changes nothing
  void stopListening();
  void finishAnswers();
  // The shutdown's time for final answers is over: nothing more is read.
  bool answersOver() const { return answersOver_; }

  event_base* const base_;
  Engine& engine_;
  RequestHandler& entrance_;
  WorkerPool& workers_;
  // Requests go by the Gate where there is one, else straight to the Entrance.
  RequestId request(ResponseHandler&, const balancer::Request&, RequestMessage, PermitId);
  void left(RequestId);

  ResourceBudget& account_;
  AdmissionController* const gate_;
  const Config& config_;
  std::shared_ptr<const auth::Users> users_;
  std::size_t asking_ = 0;   // sessions that have asked something
  std::size_t outside_ = 0;  // sessions that the Gate has not let in
  std::unique_ptr<Acceptor> acceptor_;
  Event lastCall_, answersDue_, exit_, round_, ends_;
  std::uint64_t rejected_ = 0;  // since the last line that told of one
  Time rejectionLogged_{};
  bool draining_ = false, answersOver_ = false;
  Time answerBy_ = Time::max();  // while it drains: no request is given a later deadline
  std::function<void()> done_;
  std::unordered_set<std::string> openIds_;           // of the requests that are out
  std::unordered_map<std::uint32_t, Session*> keys_;  // by the process number that a session was told
  std::unordered_set<Session*> unread_;               // not read for now; none that has ended
  std::unordered_map<Session*, std::unique_ptr<Session>> sessions_;
};

}  // namespace sablespur
