// One client connection: handles the startup in the client's protocol version, then processes one
// request at a time and answers them in order.
//
// The implementation is split into
//  - session.cpp: the connection (draining, closing, idle timeouts);
//  - session_input.cpp: its input (reading, processing, memory);
//  - session_handshake.cpp: from the PROXY header to the end of the login;
//  - session_messages.cpp: message framing and the extended protocol;
//  - session_requests.cpp: from a statement to its answer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "engine/engine.hpp"
#include "engine/event.hpp"
#include "engine/resource_budget.hpp"
#include "engine/workers.hpp"
#include "frontend/admission_controller.hpp"
#include "frontend/postgres/input_scheduler.hpp"
#include "frontend/postgres/input_timestamps.hpp"
#include "frontend/postgres/login.hpp"
#include "frontend/postgres/pipelined_requests.hpp"
#include "frontend/postgres/prepared_statements.hpp"
#include "frontend/postgres/session_owner.hpp"
#include "protocol/postgres/startup.hpp"
#include "translation/settings.hpp"
#include "translation/terms.hpp"

namespace sablespur::postgres {
struct Comment;
}

namespace sablespur {

// Order in which clients are disconnected to make room for new ones; the highest value is evicted
// first.
enum class EvictionPriority {
  Never,      // has pending input, a request or unsent output, or has only just connected
  Idle,       // between two requests
  NeverUsed,  // had enough time to send its first request, but has not sent one
  Closing     // lingering, with all output sent
};

// Requests pipelined behind the current one wait in the input buffer, which is bounded.
class Session final : public ResponseHandler, public AdmittedConnection, public InputSource {
 public:
  // Takes ownership of the descriptor. `awaitProxyHeader` means that the connection comes from a
  // trusted proxy and starts with a PROXY header that contains the client's address.
  Session(SessionOwner& owner, evutil_socket_t fd, const Address& from, bool awaitProxyHeader);
  ~Session() override;

  // Requests a permit from the AdmissionController. A rejected client gets its error once its
  // startup message shows the protocol version in which to write it.
  void requestAdmission();
  // Retry-After for the error of a rejected client.
  Time retryAfter() const { return client_.retryAfter; }
  void evict() override;

  void served(Answer) override;
  void rejected(Time retryAfter) override;
  void failed() override;
  // Handles a CancelRequest with this session's key: cancels the current request and answers it
  // with an error.
  void onCancelRequest();

  const postgres::Key& key() const { return protocol_.cancelKey; }
  bool hasSentRequest() const { return firstRequestReceived_; }
  evutil_socket_t socket() const;
  EvictionPriority evictionPriority(Time now);
  Time lastActive() const { return lastActive_; }
  bool closing() const { return closeState_ >= CloseState::Closing; }
  // For a session without a permit: returns whether it may be closed. For at least kNewClientGrace
  // it must have lingered after its error was sent, or sent no startup message; and there must be
  // no unread input.
  bool canEvictUnadmitted(Time now);

  // Closes gracefully: processes no further input, shuts the connection down for sending once the
  // output has been sent, and discards input until the client closes its end or a timeout passes.
  void beginClose();
  // Closes gracefully once all requests that have been received are answered. Used by the shutdown
  // and by evict().
  void beginDrain();
  // Called when the answer deadline of the shutdown has passed: the current request fails, further
  // requests that were already read are answered, and nothing more is read.
  void failOutstanding();

  // Processes up to kMessagesPerSlice messages of the input buffer.
  void processInput() override;
  void onInputDelayed() override { reservePipelinedIds(); }
  // Returns whether there is unprocessed input in the input buffer or the socket.
  bool hasUnreadInput();
  // Returns whether the input buffer holds nothing but an incomplete message. Input that is still to
  // be looked at does not count as such.
  bool hasPartialMessage();
  // Returns whether the input buffer or the socket may hold a request that has not been parsed yet.
  bool mayHoldRequest();
  // Returns whether the client has closed its end, even if there is still unread input.
  bool clientDisconnected() const;
  // Returns false if the client has been silent for too long and the caller has to call
  // onIdleTimeout(). Silent clients have to be disconnected within 3 s.
  bool checkIdleTimeout(Time now);
  // Closes the session, with an error if its input holds an incomplete message. May destroy the
  // session.
  void onIdleTimeout();

 private:
  // Unknown: before the startup message.
  enum class ProtocolVersion { Unknown, Version2, Version3 };
  enum class CloseState {
    Open,
    Draining,  // closes once all received requests have been answered
    Closing,   // shuts down for sending once the output has been sent
    Lingering  // discards input until the client closes its end
  };
  // The client's address and its admission.
  struct Client {
    Address address;  // of the socket, or from the PROXY header
    std::optional<PermitId> permit;
    Time retryAfter{};  // if rejected
  };
  // State that is used until the login has succeeded.
  struct Startup {
    bool awaitingProxyHeader = false;
    std::string user;
    std::unique_ptr<Login> login;     // null if no login is in progress
    WorkerPool::Ticket passwordWork;  // set while a key is being derived
  };
  // Protocol version and settings, as negotiated during the startup.
  struct Protocol {
    ProtocolVersion version = ProtocolVersion::Unknown;
    const translation::ClientCodec* codec = nullptr;
    postgres::Key cancelKey;
    translation::SessionSettings settings;
    // Copy of `settings` if they differ from what data servers assume, otherwise null.
    std::shared_ptr<const translation::SessionSettings> sharedSettings;
  };
  struct ExtendedProtocol {
    std::unique_ptr<PreparedStatements> prepared;  // null until the first extended message
    std::size_t reservation = 0;                   // bytes of the budget reserved for `prepared`
    bool skippingUntilSync = false;                // after an error
    bool awaitingSync = false;
  };
  struct InputState {
    bool reading = true;                 // if false, the owner polls for disconnects
    bool processing = false;             // within processInput()
    bool paused = false;                 // after a client's error, until the next idle sweep
    std::size_t messageReservation = 0;  // bytes of the budget reserved for the current message
    std::size_t extraReadAhead = 0;      // bytes of the budget reserved for pipelined requests
    std::size_t discarded = 0;           // bytes discarded while lingering
    InputTimestamps timestamps;
    Time messageReceivedAt{};                 // time of the last byte of the current message
    std::optional<Time> partialMessageSince;  // set while the input holds an incomplete message
  };
  // The request in progress and the form of its answer.
  struct CurrentRequest {
    std::optional<RequestId> id;                    // of the engine or the AdmissionController
    std::optional<PipelinedRequests::Claim> claim;  // of its client-assigned id
    bool extended = false;                          // sent by an Execute message
    bool sendRowDescription = true;
    std::size_t maxRows = 0;  // 0: no limit
    translation::ResultFormat format;
    Time deadline{};  // if `id` is set
  };

  // ---- session.cpp
  evbuffer* input() { return bufferevent_get_input(bev_.get()); }
  evbuffer* output() { return bufferevent_get_output(bev_.get()); }
  bool hasSocketInput() const;
  std::string_view peekInput(std::size_t length);  // the first bytes of the input, made contiguous
  bool idle();
  bool draining() const { return closeState_ == CloseState::Draining; }
  void startDraining();
  bool pastAnswerDeadline() const { return owner_.shutdownPhase() == ShutdownPhase::AnswerDeadlinePast; }

  void onEvent(short what);
  void onFlushed();
  void setReading(bool);

  void reject(const char* code, std::string_view text, bool fatal);
  void startLingeringClose();
  void discardInput();
  void shutdownSending();

  // ---- session_input.cpp
  static void onInputChanged(evbuffer*, const evbuffer_cb_info*, void* session);
  void onReadable();
  bool readMessage();
  Time partialMessageStart() const;
  void rejectRemainder(std::size_t length);
  bool mayProcessMessage();
  bool processMessages();
  std::size_t inputLimit() const;
  bool inputIsFull();
  void scheduleInput();
  void reservePipelinedIds();
  void resumeOrDrain();

  // Memory for messages longer than kReadAhead and for prepared statements is reserved in the
  // resource budget. The reserve functions return false if the budget is exhausted.
  bool reserveMessage(std::size_t length);
  void releaseMessage();
  void extendReadAhead();
  void releaseReadAhead();
  bool reservePrepared(std::size_t bytes);

  // ---- session_handshake.cpp
  // The read functions return false if more input is needed or the session is closing.
  bool readProxyHeader();
  bool rejectTls();
  bool readStartup();
  bool dispatchStartup(std::uint32_t code, std::string_view packet);
  bool startVersion3(std::string_view packet);
  bool applyStartupSettings(const postgres::Startup&);
  bool startVersion2(std::string_view packet);
  void authenticate(const std::string& user);
  // Returns whether the client has a permit, granted by its address or by its user name. Otherwise
  // sends the error and closes.
  bool ensureAdmitted();
  bool readLogin();
  std::optional<std::string> readPasswordV2();
  std::optional<std::string> readPasswordV3();
  void applyLoginStep(const Login::StepResult&);
  void completeStartup();
  void onSettingsChanged();

  // ---- session_messages.cpp
  bool readMessageV3();
  bool readMessageV2();
  void readSimpleQuery(std::size_t length);
  void markFirstRequest();
  void rejectMessageType(char type);
  void handleExtended(char type, std::string_view body);
  std::optional<PreparedStatements::Execution> applyExtended(char type, std::string_view body);
  void execute(const PreparedStatements::Execution&);
  void writeReply(const PreparedStatements::Reply&);

  // ---- session_requests.cpp
  void submitStatement(Buffer statement);  // including its terminating NUL
  void answerEmptyStatement();
  bool handleSet(std::string_view statement);  // answers a SET locally; false if it is no SET
  void submitRequest(const postgres::Comment&, std::size_t tailOffset, Buffer statement);
  balancer::Request makeRequest(const postgres::Comment&, std::size_t classIndex, evbuffer* statement) const;
  RequestMessage makeMessage(const postgres::Comment&, std::size_t tailOffset, Buffer statement) const;
  void writeAnswer(Answer);
  void translateAnswer(const Answer&, std::string_view messages, const std::string& columns);
  void finishRequest();  // called once its answer or error has been written
  void writeError(const translation::ErrorReport&);
  bool reserveRequestId(std::string_view clientId);  // false if another client's request has it
  void releaseRequestId();
  void retainRequestId();

  SessionOwner& owner_;
  const SessionServices& services_;
  ResourceBudget::DescriptorPermit descriptor_;
  BufferEvent bev_;
  Client client_;
  Startup startup_;
  Protocol protocol_;
  ExtendedProtocol extended_;
  CurrentRequest request_;
  InputState inputState_;
  PipelinedRequests pipelined_;
  bool firstRequestReceived_ = false;
  CloseState closeState_ = CloseState::Open;
  // When the session was opened, completed its startup, finished its last request or began to
  // linger.
  Time lastActive_{};
};

}  // namespace sablespur
