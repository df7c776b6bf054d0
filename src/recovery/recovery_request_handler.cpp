#include "recovery/recovery_request_handler.hpp"

#include <utility>

namespace sablespur::recovery {
namespace {

// First id of requests that are rejected without reaching the engine. The engine's ids count up
// from 1.
constexpr RequestId kFirstRejectedId = RequestId{1} << 62;
// Combined with the configured seed, so that admission draws other random numbers than other users
// of it.
constexpr std::uint64_t kAdmissionSeed = 0x5ab1e;

RecoveryAdmissionPolicy admissionPolicy(const Config& config) {
  RecoveryAdmissionPolicy policy;
  policy.proxies = config.settings.proxyCount;
  policy.timeout = config.recovery.maxDuration;
  return policy;
}

}  // namespace

// A request that was forwarded during recovery. Reports its result to the admission.
struct RecoveryRequestHandler::AdmittedRequest final : ResponseHandler {
  AdmittedRequest(RecoveryRequestHandler& o, ResponseHandler& h, std::uint32_t g, bool w)
      : owner(o), responseHandler(h), group(g), write(w) {}
  // requestEnded() destroys this object, so each member copies the handler reference first.
  void served(Answer answer) override {
    ResponseHandler& handler = responseHandler;
    owner.requestEnded(*this, answer.problem ? RequestEnd::ClientDisconnected : RequestEnd::Served);
    handler.served(std::move(answer));
  }
  void rejected(Time retryAfter) override {
    ResponseHandler& handler = responseHandler;
    owner.requestEnded(*this, RequestEnd::Rejected);
    handler.rejected(retryAfter);
  }
  void failed() override {
    ResponseHandler& handler = responseHandler;
    owner.requestEnded(*this, RequestEnd::Failed);
    handler.failed();
  }

  RecoveryRequestHandler& owner;
  ResponseHandler& responseHandler;
  const std::uint32_t group;
  const bool write;
  RequestId id = 0;
};

RecoveryRequestHandler::RecoveryRequestHandler(event_base* base, Engine& engine, const Config& config,
                                               Time now)
    : engine_(engine),
      classes_(config.settings.classes),
      retryAfterAllowed_(config.settings.retryAfterAllowed),
      admission_(admissionPolicy(config), config.seed ^ kAdmissionSeed, now),
      deliverRejections_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) {
            static_cast<RecoveryRequestHandler*>(self)->deliverRejections();
          },
          this)) {}

RecoveryRequestHandler::~RecoveryRequestHandler() = default;

RequestId RecoveryRequestHandler::request(ResponseHandler& handler, balancer::Request request,
                                          RequestMessage message) {
  if (finished_) return engine_.request(handler, request, std::move(message));
  const balancer::ClassSettings& settings = classes_[static_cast<std::size_t>(request.classIndex)];
  const bool write = settings.requirement == balancer::Requirement::Write;
  const std::uint32_t group = request.group;
  const RecoveryAdmission::Decision decision = admission_.admit(engine_.now(), group, write);
  if (!decision.admitted) return reject(handler, decision.retryAfter);
  auto admitted = std::make_unique<AdmittedRequest>(*this, handler, group, write);
  const RequestId id = engine_.request(*admitted, request, std::move(message));
  admitted->id = id;
  admitted_.emplace(id, std::move(admitted));
  return id;
}

// The event loop delivers the rejection, because a handler must not be called from within
// request().
RequestId RecoveryRequestHandler::reject(ResponseHandler& handler, Time retryAfter) {
  const RequestId id = kFirstRejectedId + ++requestsRejected_;
  rejected_.emplace(id, RejectedRequest{&handler, retryAfterAllowed_ ? retryAfter : Time(0)});
  startTimer(deliverRejections_.get(), Time(0));
  return id;
}

void RecoveryRequestHandler::deliverRejections() {
  std::map<RequestId, RejectedRequest> all;
  all.swap(rejected_);
  for (const auto& [id, rejection] : all) rejection.responseHandler->rejected(rejection.retryAfter);
}

void RecoveryRequestHandler::clientDisconnected(RequestId id) {
  if (id >= kFirstRejectedId) {
    rejected_.erase(id);
    return;
  }
  engine_.clientDisconnected(id);
  const auto it = admitted_.find(id);
  if (it == admitted_.end()) return;
  const AdmittedRequest& request = *it->second;
  admission_.requestEnded(engine_.now(), request.group, request.write, RequestEnd::ClientDisconnected);
  admitted_.erase(it);
}

void RecoveryRequestHandler::requestEnded(const AdmittedRequest& request, RequestEnd end) {
  const RequestId id = request.id;
  const Time now = engine_.now();
  if (end == RequestEnd::Served) {
    // Endpoints that report no positions never reach statusObserved(); their responses advance the
    // phase here.
    if (request.write) admission_.primaryResponded(now, request.group);
    admission_.endpointResponded(now, request.group);
  }
  admission_.requestEnded(now, request.group, request.write, end);
  admitted_.erase(id);
}

}  // namespace sablespur::recovery
