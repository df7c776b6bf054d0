// One client connection: its startup in whichever version it speaks, its requests one at a time, answers in
// order. Part of front/pg; Clients owns it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "engine/engine.hpp"
#include "engine/event.hpp"
#include "engine/resource_budget.hpp"
#include "engine/workers.hpp"
#include "frontend/admission_controller.hpp"
#include "frontend/postgres/input_timestamps.hpp"
#include "frontend/postgres/login.hpp"
#include "frontend/postgres/prepared_statements.hpp"
#include "protocol/postgres/startup.hpp"
#include "translation/settings.hpp"
#include "translation/terms.hpp"

namespace sablespur {

class Clients;

// What is pipelined behind a request waits in the input, which is bounded.
class Session final : public ResponseHandler, public AdmittedConnection {
 public:
  // `hidden`: it comes from a front, and a PROXY header tells whom it stands for.
  Session(Clients& owner, evutil_socket_t fd, const Address& from, bool hidden);
  ~Session() override;

  // Asks the Gate for a place. Without one the client is told so once it has said what it speaks.
  void enterDoor();
  Time comeBack() const { return comeBack_; }
  void evict() override;

  void served(Answer) override;
  void rejected(Time retryAfter) override;
  void failed() override;
  // By a CancelRequest that bore this session's key: the request that is out is given up, with its one final
  // answer.
  void cancelled();

  const postgres::Key& key() const { return key_; }
  evutil_socket_t socket() const;
  bool idle() { return request_ == 0 && !ending_ && !batch_ && evbuffer_get_length(input()) == 0; }
  // How readily this client gives up its place to a new one; 0: not at all.
  int spare(Time now);
  Time lastActive() const { return lastActive_; }
  // Graceful: once all that was written has gone out the connection is ended for sending; what still comes is
  // thrown away until the client closes too, or for half a second. Nothing more is taken.
  void end();
  // The same between two requests, for the drain: what has come by then is answered first.
  void retire();
  // The shutdown's time for answers is over: the request that is out is failed, what else was read is
  // answered, and nothing more is read.
  void finish();
  // Something has come that was not taken yet, in the system or here.
  bool unread();
  bool clientGone() const;  // it has closed its end, whatever it wrote before that
  // Guards against clients that hold a place and do not ask: they are owed an end within 3 s. False: this one
  // is to be ended by timedOut().
  bool looksAlive(Time now);
  // With an error first, if it has left a message half sent. May destroy the session.
  void timedOut();

 private:
  enum class Speaks { Nothing, Version2, Version3 };  // Nothing: its startup has not come

  evbuffer* input() { return bufferevent_get_input(bev_.get()); }
  evbuffer* output() { return bufferevent_get_output(bev_.get()); }
  std::string_view pull(std::size_t n);  // the first bytes of the input, in one piece

  static void inputChanged(evbuffer*, const evbuffer_cb_info*, void* of);
  void event(short what);
  void flushed();
  void read();
  Time halfMessageSince() const;
  void readLast(std::size_t left);
  void readSoon();
  void settle();
  void discard();
  bool reserve(std::size_t whole);
  void release();
  bool hold(std::size_t bytes);  // for what is prepared; false: there is no room

  // An answer or an error is written; what waits behind comes next.
  void answered();
  void tell(const translation::ErrorReport&);
  void reject(const char* code, std::string_view text, bool fatal);
  void take(const PreparedStatements::Said&);

  // Each takes one message, or leaves it (false) for when the rest has come.
  bool takeHeader();  // of the PROXY protocol
  bool takeStartup();
  bool takeVersion3(std::string_view packet);
  bool takeVersion2(std::string_view packet);
  void enter(const std::string& user);  // by a login, or at once
  bool admitted();                      // by the name that it has proved, or before; else it is told no
  void outside(bool);                   // whether it is without a place
  void lingers();
  void endSending();
  void watchReading(bool on);
  bool takeLogin();
  void said(const Login::Said&);
  void welcome();
  void sideTold();

  bool takeMessage();   // of version 3
  bool takeMessage2();  // of version 2

  void takeExtended(char type, std::string_view body);
  void asked();                             // for the first time
  bool takeSetting(std::string_view text);  // a SET, which is answered here
  // The statement is moved on whole, NUL included; only its ends are looked at.
  void takeStatement(Buffer statement);
  void forget();
  void write(Answer);

  Clients& owner_;
  ResourceBudget::DescriptorPermit descriptor_;
  BufferEvent bev_;
  Address from_;          // its own, or that which a front told
  PermitId place_ = 0;    // with the Gate; 0: none
  bool hidden_ = false;   // its PROXY header is still to come
  bool outside_ = false;  // the Gate has not let it in
  Time comeBack_{};       // what it is told then
  Speaks speaks_ = Speaks::Nothing;
  const translation::ClientCodec* codec_;
  postgres::Key key_;
  std::string user_;
  std::unique_ptr<Login> login_;  // until it is let in
  WorkerPool::Ticket salting_;
  translation::SessionSettings side_;
  std::shared_ptr<const translation::SessionSettings>
      told_;                                      // side_, where it is not what data servers take for granted
  std::unique_ptr<PreparedStatements> prepared_;  // once it sends something of the extended sub-protocol
  bool extended_ = false;                         // the request that is out comes from an Execute
  bool skipping_ = false;                         // until Sync, after an error
  bool batch_ = false;                            // a Sync is still to come
  translation::ResultFormat wanted_;              // of the request that is out
  bool described_ = true;                         // its columns are told
  std::size_t mostRows_ = 0;
  bool asked_ = false, ending_ = false, retiring_ = false;
  bool lingering_ = false;    // its last word is said; what still comes is thrown away
  bool paused_ = false;       // until the next round
  bool reading_ = true;       // EV_READ is enabled; else Clients looks for the client's end
  std::string id_;            // of the request that is out
  RequestId request_ = 0;     // that is out; 0: none
  std::size_t reserved_ = 0;  // of the account's bytes, for the message at hand
  std::size_t held_ = 0;      // the same, for what is prepared
  std::size_t discarded_ = 0;
  InputTimestamps arrivals_;  // of what stands in the input
  Time lastByte_{};           // when that of the message at hand came
  Time lastActive_{};         // when it came, or had its last answer
  Time halfSince_{};          // since when there is input that makes no whole message; 0: there is none
};

}  // namespace sablespur
