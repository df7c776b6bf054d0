// One connection to a data server: startup and login, framing of incoming messages, writing of
// queries.
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

// Shared by all connections; outlives them.
struct ConnectionContext {
  event_base* base;
  const Engine& engine;  // the clock
  ResourceBudget& resources;
  const Config& config;
  SaltedPasswordCache& passwords;
};

// Receives the events of a connection. Each call may destroy the connection unless noted otherwise,
// so the connection must not access its members afterwards.
class ConnectionListener {
 public:
  virtual ~ConnectionListener() = default;
  // The dial or an operation has completed and the connection is free for the next operation.
  // Returns false if the connection was destroyed.
  virtual bool connectionReady(Connection&) = 0;
  // The answer is complete and the operation no longer assigned to the connection. Destroys only
  // the operation.
  virtual void operationAnswered(Operation&, AnswerParser&) = 0;
  // Closed, reset or timed out, or ended by an error of the data server. `result` applies to the
  // assigned operation or, during a dial, to the operation that waits for it.
  virtual void connectionLost(Connection&, AttemptResult result) = 0;
  // Failed because this machine lacks a resource; `error`: the errno value.
  virtual void resourceExhausted(Connection&, int error) = 0;
  // The data server sent an invalid or unsolicited message, or an answer that did not complete in
  // time.
  virtual void protocolError(Connection&, std::string_view what) = 0;
  virtual void answerTooLong(Connection&) = 0;
  // The data server does not support the requested minor version.
  virtual void versionRejected(Connection&) = 0;
  // The data server supports this minor version. Must not destroy the connection.
  virtual void versionNegotiated(EndpointId, int minorVersion) = 0;
  virtual void cancelRequestEnded(Connection&, bool delivered) = 0;
  // The answer was valid, but more input or the end of the connection followed it.
  virtual void connectionUnusable(Connection&) = 0;
};

// Owned by the ConnectionPool. Does not own its operation.
class Connection {
 public:
  // `fd`: a socket with a connect in progress, of which this object takes ownership; -1: the
  // endpoint has already refused the connection.
  Connection(const ConnectionContext&, ConnectionListener&, EndpointId, const Address&, int minorVersion,
             evutil_socket_t fd);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  EndpointId endpoint() const { return endpoint_; }
  const Address& address() const { return address_; }
  bool dialing() const { return dialing_; }  // until the first ReadyForQuery
  Operation* operation() const { return operation_; }
  // Whether the data server treats backslashes in string literals as escapes
  // (standard_conforming_strings=off).
  bool backslashes() const { return backslashes_; }
  // Whether all written bytes have been passed to the kernel.
  bool flushed() const;
  // Whether there is neither unread input nor an end of the connection. Bytes that follow an answer
  // (a second copy, noise) must not be read as the next answer. Also checks the socket for bytes
  // that libevent has not read yet.
  bool hasNoPendingInput() const;
  // Whether the data server rejected the operation's statement as invalid.
  bool invalidStatement() const { return operation_ && answer_->invalidStatement(); }

  void dialCompleted() { dialing_ = false; }
  // Closes the connection after `timeout` unless an operation is assigned before.
  void startIdleTimer(Time timeout) { startTimer(timer_.get(), timeout); }
  void assign(Operation&);
  // Detaches and returns the operation; null: there was none.
  Operation* release();
  void writeHealthCheck();
  // Writes as much of the query as the kernel accepts now and the rest later. `composed`: when the
  // remaining time in the query was computed. If the query isn't flushed shortly after that, the
  // rest is not sent and the connection ends.
  void writeQuery(Buffer query, Time composed);
  // Sends a CancelRequest for the running query. Returns false if the data server has sent no key
  // or a CancelRequest is already in progress.
  bool sendCancelRequest();
  // Passes on the key derived for a login challenge; continues the login if the challenge is that
  // of this connection.
  void passwordDerived(const std::string& challenge, const std::string& result);

 private:
  enum class ReadResult { Consumed, Incomplete, ConnectionEnded };

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
  std::size_t maxBodySize(char type) const;
  // These return false if the connection has ended.
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
  // Limits the dial, then the idle time, the flushing of a query or the rest of an answer that has
  // started.
  Event timer_;

  // Startup.
  bool connected_ = false;
  bool dialing_ = true;
  int minorVersion_;                    // of version 3, first as requested, then as negotiated
  std::unique_ptr<ServerLogin> login_;  // null: accepted, or no password is set
  std::optional<postgres::Key> key_;
  bool backslashes_ = false;

  // The current operation.
  Operation* operation_ = nullptr;
  std::optional<AnswerParser> answer_;  // of the current or last operation; not used while dialing
  AttemptResult resultIfLost_ = AttemptResult::ConnectFailed;  // if the connection ends now
  bool flushing_ = false;  // the timer limits the time to pass the query to the kernel
  Buffer unsent_;          // the part of the query that the kernel has not accepted; null: none
  Time composedAt_{};      // when the remaining time in the query was computed
  Event writable_;         // the socket accepts bytes again

  ResourceBudget::DescriptorPermit cancelDescriptor_;
  std::unique_ptr<CancelRequest> cancelRequest_;
};

}  // namespace sablespur
