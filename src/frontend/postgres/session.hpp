// One client connection: its startup in the protocol version it speaks, its requests one at a time, and their
// answers in order.
//
// session.cpp has the connection: reading, draining, closing, idle timeouts. The rest is in
// session_handshake.cpp (from the PROXY header to the end of the login), session_messages.cpp (framing) and
// session_requests.cpp (from a statement to its answer).
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
#include "frontend/postgres/input_timestamps.hpp"
#include "frontend/postgres/login.hpp"
#include "frontend/postgres/prepared_statements.hpp"
#include "frontend/postgres/session_owner.hpp"
#include "protocol/postgres/startup.hpp"
#include "translation/settings.hpp"
#include "translation/terms.hpp"

namespace sablespur::postgres {
struct Comment;
}

namespace sablespur {

// How readily a client is disconnected to make room for a new one; higher goes first.
enum class EvictionPriority {
  Never,      // it has a request, or output to read
  Idle,       // between two requests
  NeverUsed,  // it has had time for its first request and has not sent one
  Closing     // its output has been sent
};

// Requests pipelined behind the current one wait in the input buffer, which is bounded.
class Session final : public ResponseHandler, public AdmittedConnection {
 public:
  // Takes over the descriptor. `awaitProxyHeader`: the connection comes from a trusted proxy, whose PROXY
  // header names the client.
  Session(SessionOwner& owner, evutil_socket_t fd, const Address& from, bool awaitProxyHeader);
  ~Session() override;

  // Asks the AdmissionController for a permit. A rejected client gets an error once its startup shows which
  // version it speaks.
  void requestAdmission();
  // Told to a rejected client.
  Time retryAfter() const { return client_.retryAfter; }
  void evict() override;

  void served(Answer) override;
  void rejected(Time retryAfter) override;
  void failed() override;
  // A CancelRequest bore this session's key: the current request is cancelled, with an error as its answer.
  void onCancelRequest();

  const postgres::Key& key() const { return protocol_.cancelKey; }
  bool hasSentRequest() const { return firstRequestReceived_; }
  evutil_socket_t socket() const;
  EvictionPriority evictionPriority(Time now);
  Time lastActive() const { return lastActive_; }
  bool closing() const { return closeState_ >= CloseState::Closing; }
  // Without a permit: whether it has had its error for a while, or has said nothing for as long.
  bool mayLeaveUnadmitted(Time now);

  // Closes gracefully: takes nothing more, shuts the connection down for sending once the output has been
  // sent, and discards input until the client closes too or a timeout passes.
  void beginClose();
  // The same between two requests, for the shutdown: what has been received until then is answered first.
  void beginDrain();
  // The shutdown's time for answers is over: the current request fails, what else was read is answered, and
  // nothing more is read.
  void failOutstanding();

  // Whether there is input that has not been processed, here or in the socket.
  bool hasUnreadInput();
  // Whether the input is the beginning of a message and no more.
  bool hasPartialMessage();
  // Whether there may be a request that has not been looked at yet, here or in the socket.
  bool mayHoldRequest();
  // Whether the client has closed its end, whatever it sent before.
  bool clientDisconnected() const;
  // False: the client is silent for too long and is to be closed by onIdleTimeout(). Silent clients are owed
  // an end within 3 s.
  bool checkIdleTimeout(Time now);
  // Closes; with an error first, if a message was begun and not finished. May destroy the session.
  void onIdleTimeout();

 private:
  enum class ProtocolVersion { Unknown, Version2, Version3 };  // Unknown: before the startup message
  enum class CloseState {
    Open,
    Draining,  // closes once it has answered what has been received
    Closing,   // the output is still to be sent
    Lingering  // input is discarded until the client closes
  };
  // Who the client is, and whether it is admitted.
  struct Client {
    Address address;  // as the connection or a PROXY header tells it
    std::optional<PermitId> permit;
    Time retryAfter{};  // of a rejection
  };
  // Until the login has succeeded.
  struct Startup {
    bool awaitingProxyHeader = false;
    std::string user;
    std::unique_ptr<Login> login;  // null: none is going on
    WorkerPool::Ticket passwordWork;
  };
  // What the startup has settled.
  struct Protocol {
    ProtocolVersion version = ProtocolVersion::Unknown;
    const translation::ClientCodec* codec = nullptr;
    postgres::Key cancelKey;
    translation::SessionSettings settings;
    // `settings`, where they differ from what data servers assume; else null.
    std::shared_ptr<const translation::SessionSettings> sharedSettings;
  };
  struct ExtendedProtocol {
    std::unique_ptr<PreparedStatements> prepared;  // from the first message of the extended protocol on
    std::size_t reservation = 0;                   // bytes in the budget, for `prepared`
    bool skippingUntilSync = false;                // after an error
    bool awaitingSync = false;
  };
  struct InputState {
    bool reading = true;                 // EV_READ is enabled; else the owner polls for the client's end
    bool paused = false;                 // until the next idle sweep, after an error of the client
    std::size_t messageReservation = 0;  // bytes in the budget, for the message at the input's front
    std::size_t discarded = 0;           // bytes, while lingering
    InputTimestamps timestamps;
    Time messageReceivedAt{};  // the last byte of the message that is processed
    std::optional<Time> partialMessageSince;
  };
  // The request that the client waits for, and how its answer has to look.
  struct CurrentRequest {
    std::optional<RequestId> id;  // of the engine or the AdmissionController
    std::string name;             // the client's own id of it, reserved with the owner
    bool extended = false;        // it comes from an Execute
    bool sendRowDescription = true;
    std::size_t maxRows = 0;  // 0: all
    translation::ResultFormat format;
  };

  // ---- session.cpp
  evbuffer* input() { return bufferevent_get_input(bev_.get()); }
  evbuffer* output() { return bufferevent_get_output(bev_.get()); }
  bool hasSocketInput() const;
  std::string_view pull(std::size_t length);  // the first bytes of the input, made contiguous
  bool idle();
  bool draining() const { return closeState_ == CloseState::Draining; }
  void startDraining();
  bool pastAnswerDeadline() const { return owner_.shutdownPhase() == ShutdownPhase::AnswerDeadlinePast; }

  static void onInputChanged(evbuffer*, const evbuffer_cb_info*, void* session);
  void onEvent(short what);
  void onFlushed();
  void onReadable();
  bool readMessage();
  Time partialMessageStart() const;
  void rejectRemainder(std::size_t length);
  void scheduleRead();
  void resumeOrDrain();
  void setReading(bool);

  void reject(const char* code, std::string_view text, bool fatal);
  void startLingeringClose();
  void discardInput();
  void shutdownSending();

  // Memory: a message longer than what is read ahead, and the prepared statements, are reserved in the
  // resource budget. False: there is no room.
  bool reserveMessage(std::size_t length);
  void releaseMessage();
  bool reservePrepared(std::size_t bytes);

  // ---- session_handshake.cpp; the read functions return false to wait for more input or because the session
  // closes
  bool readProxyHeader();
  bool rejectTls();
  bool readStartup();
  bool dispatchStartup(std::uint32_t code, std::string_view packet);
  bool startVersion3(std::string_view packet);
  bool applyStartupSettings(const postgres::Startup&);
  bool startVersion2(std::string_view packet);
  void authenticate(const std::string& user);
  // Whether the client holds a permit, by its address or by its name; else it gets its error.
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
  void submitStatement(Buffer statement);  // with its NUL
  void answerEmptyStatement();
  bool handleSet(std::string_view statement);  // a SET is answered here; false: it is none
  void submitRequest(const postgres::Comment&, std::size_t tailOffset, Buffer statement);
  balancer::Request makeRequest(const postgres::Comment&, std::size_t classIndex, evbuffer* statement) const;
  RequestMessage makeMessage(const postgres::Comment&, std::size_t tailOffset, Buffer statement) const;
  void writeAnswer(Answer);
  void translateAnswer(const Answer&, std::string_view messages, const std::string& columns);
  void finishRequest();  // its answer or error is written
  void writeError(const translation::ErrorReport&);
  void releaseRequestName();

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
  bool firstRequestReceived_ = false;
  CloseState closeState_ = CloseState::Open;
  Time lastActive_{};  // connected, greeted, or given its last answer
};

}  // namespace sablespur
