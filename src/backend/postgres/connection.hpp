// One connection to a data server: its startup and login, the framing of what comes, queries written to it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "backend/postgres/answer_parser.hpp"
#include "backend/postgres/cancel_request.hpp"
#include "backend/postgres/login.hpp"
#include "backend/postgres/operation.hpp"
#include "backend/postgres/password_cache.hpp"
#include "engine/engine.hpp"
#include "engine/event.hpp"
#include "engine/resource_budget.hpp"
#include "protocol/postgres/startup.hpp"

namespace sablespur {

// What all connections share; outlives them.
struct ConnectionContext {
  event_base* base;
  const Engine& engine;  // the clock
  ResourceBudget& resources;
  const Config& config;
  SaltedPasswordCache& passwords;
};

// Hears what becomes of a connection. Each call but those marked may destroy it, which is not touched after.
class ConnectionListener {
 public:
  virtual ~ConnectionListener() = default;
  // Dialed, or done with an operation: free for the next one. False: it was destroyed.
  virtual bool connectionReady(Connection&) = 0;
  // The whole answer has come; the operation and the connection are apart. Destroys the operation alone.
  virtual void operationAnswered(Operation&, AnswerParser&) = 0;
  // Closed, reset or timed out; `result`: of an operation on it, or of what waits for the dial.
  virtual void connectionLost(Connection&, AttemptResult result) = 0;
  // Ended for want of something that this machine has none of (errno).
  virtual void resourceExhausted(Connection&, int error) = 0;
  // The data server sent what can't be an answer, or what nobody asked for.
  virtual void protocolError(Connection&, std::string_view what) = 0;
  virtual void answerTooLong(Connection&) = 0;
  // The data server doesn't speak the minor version that it was asked for.
  virtual void versionRejected(Connection&) = 0;
  // It speaks this minor version. Destroys nothing.
  virtual void versionNegotiated(EndpointId, int minorVersion) = 0;
  virtual void cancelRequestEnded(Connection&, bool taken) = 0;
  // Its answer was in order, and more has come behind it.
  virtual void connectionUnusable(Connection&) = 0;
};

// Owned by the ConnectionPool. Its operation is only pointed at.
class Connection {
 public:
  // `fd`: a socket with a connect under way, taken over; -1: the endpoint has refused it already.
  Connection(const ConnectionContext&, ConnectionListener&, EndpointId, const Address&, int minorVersion,
             evutil_socket_t fd);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  EndpointId endpoint() const { return endpoint_; }
  const Address& address() const { return address_; }
  bool dialing() const { return dialing_; }  // no ReadyForQuery has come yet
  Operation* operation() const { return operation_; }
  // Whether backslashes escape in its string literals, by standard_conforming_strings.
  bool backslashes() const { return backslashes_; }
  // Whether all that was written has gone to the kernel.
  bool flushed() const;
  // Whether nothing has come that nobody asked for, nor an end: what stands behind an answer (a second copy,
  // noise) must not be taken for the next one. Looks at what libevent has not read yet as well.
  bool quiet() const;
  // Whether its operation's statement was rejected as invalid.
  bool invalidStatement() const { return operation_ && answer_->invalidStatement(); }

  void dialCompleted() { dialing_ = false; }
  // Closes after `timeout` unless an operation is assigned before.
  void startIdleTimer(Time timeout) { startTimer(timer_.get(), timeout); }
  void assign(Operation&);
  // Takes the operation off it; null: it had none.
  Operation* release();
  void writeHealthCheck();
  // Writes as much of the query as the kernel takes now. What it does not take soon after `composed`, when
  // the time left that the query tells was right, never goes out: the connection ends.
  void writeQuery(Buffer query, Time composed);
  // Asks the data server to cancel what runs here. False: it has told no key, or one is on its way already.
  bool sendCancelRequest();
  // The key for a login challenge; if it is this connection's, its login goes on.
  void passwordDerived(const std::string& challenge, const std::string& result);

 private:
  enum class ReadResult { Taken, Incomplete, ConnectionEnded };

  evbuffer* output() const { return bufferevent_get_output(bev_.get()); }
  void sendStartup();
  void handleEvent(short what);
  void writeUnsent();
  void becameWritable();
  void outputDrained();
  void timedOut();
  void read();
  ReadResult readMessage(evbuffer* input);
  ReadResult reportProtocolError(std::string_view what);
  bool expects(char type) const;
  std::size_t longestBody(char type) const;
  // These are false where the connection has ended.
  bool handleMessage(char type, std::string_view body);
  bool accept(const MessageFault&);
  bool handleError(std::string_view body);
  bool handleParameter(std::string_view body);
  bool handleNegotiation(std::string_view body);
  bool handleReadyForQuery(std::string_view body);
  bool handleAuthentication(std::string_view body);
  bool continueLogin(std::uint32_t code, std::string_view data);
  bool failLogin(std::string_view reason);
  ReadResult becomeReady();

  const ConnectionContext& context_;
  ConnectionListener& listener_;
  const ResourceBudget::DescriptorPermit descriptor_;
  const EndpointId endpoint_;
  const Address address_;
  BufferEvent bev_;
  // Of the dial; then of idleness, of a query that is not taken, or of an answer that has begun.
  Event timer_;

  // Startup.
  bool connected_ = false;
  bool dialing_ = true;
  int minorVersion_;                    // of version 3, as asked for, then as agreed
  std::unique_ptr<ServerLogin> login_;  // until it is accepted
  std::optional<postgres::Key> key_;
  bool backslashes_ = false;

  // The operation under way.
  Operation* operation_ = nullptr;
  std::optional<AnswerParser> answer_;  // of the operation, or of the last one; none while dialing
  AttemptResult resultIfLost_ = AttemptResult::ConnectFailed;  // what its end means now
  bool flushing_ = false;  // the timer runs for what the kernel has not taken of the query
  Buffer unsent_;          // that part of the query; null: none
  Time composedAt_{};      // when the time left that it tells was right
  Event writable_;         // the kernel takes bytes again

  ResourceBudget::DescriptorPermit cancelDescriptor_;
  std::unique_ptr<CancelRequest> cancelRequest_;
};

}  // namespace sablespur
