#include "frontend/request_admission.hpp"

#include <algorithm>

namespace sablespur {
namespace {

using admission::RequestDecision;
using admission::ResolvedRequest;

// A request that fails within this time before its deadline counts as timed out.
constexpr Time kDeadlineTolerance = std::chrono::milliseconds(20);
constexpr float kMicrosecondsPerMillisecond = 1e3f;

}  // namespace

// A request that was submitted by a frontend and has no outcome yet. The outcome is reported to the
// queues before it is passed on to the frontend.
class RequestAdmission::PendingRequest final : public ResponseHandler {
 public:
  PendingRequest(RequestAdmission& owner, RequestId id, ResponseHandler& client,
                 const balancer::Request& request, RequestMessage&& message)
      : owner_(owner),
        id_(id),
        client_(client),
        request_(request),
        message_(std::move(message)),
        arrivedAt_(owner.engine_.now()) {}

  // finish() destroys this object, so the reference to the client is copied first.
  void served(Answer answer) override {
    ResponseHandler& client = client_;
    owner_.finish(*this, Outcome::Served);
    client.served(std::move(answer));
  }
  void rejected(Time retryAfter) override {
    ResponseHandler& client = client_;
    owner_.finish(*this, Outcome::Rejected);
    client.rejected(retryAfter);
  }
  void failed() override {
    ResponseHandler& client = client_;
    owner_.finish(*this, Outcome::Failed);
    client.failed();
  }

  void forward(RequestHandler& next) {
    forwardedAt_ = owner_.engine_.now();
    // The engine takes the session token's age as of the time of forwarding, so the time spent in
    // the queue is added.
    if (request_.sessionTokenAgeMs > 0)
      request_.sessionTokenAgeMs +=
          static_cast<float>((forwardedAt_ - arrivedAt_).count()) / kMicrosecondsPerMillisecond;
    engineId_ = next.request(*this, request_, std::move(message_));
  }

  RequestId id() const { return id_; }
  ResponseHandler& client() const { return client_; }
  Time deadline() const { return request_.deadline; }
  Time forwardedAt() const { return forwardedAt_; }
  std::optional<RequestId> engineId() const { return engineId_; }  // set once forwarded

 private:
  RequestAdmission& owner_;
  const RequestId id_;
  ResponseHandler& client_;
  balancer::Request request_;
  RequestMessage message_;
  Time arrivedAt_;
  Time forwardedAt_{};
  std::optional<RequestId> engineId_;
};

RequestAdmission::RequestAdmission(event_base* base, Engine& engine, RequestHandler& next,
                                   std::vector<balancer::ClassSettings> classes,
                                   const admission::RequestLimiterSettings& settings)
    : engine_(engine),
      next_(next),
      classes_(std::move(classes)),
      queues_(settings),
      deliverRejections_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) {
            static_cast<RequestAdmission*>(self)->deliverRejections();
          },
          this)) {}
RequestAdmission::~RequestAdmission() = default;

RequestId RequestAdmission::submit(ResponseHandler& client, balancer::Request request, RequestMessage message,
                                   std::size_t group) {
  const RequestId id = ++lastId_;
  auto owned = std::make_unique<PendingRequest>(*this, id, client, request, std::move(message));
  PendingRequest& pending = *requests_.emplace(id, std::move(owned)).first->second;
  const admission::RequestLimiter::SubmitResult result =
      queues_.submit(engine_.now(), id, queueOf(request), group, queueDeadline(request));
  if (result.decision == RequestDecision::Admit) forward(pending);
  if (result.decision == RequestDecision::Reject) reject(id, result.retryAfter);
  apply(result.resolved);
  return id;
}

void RequestAdmission::cancel(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  if (const auto engineId = it->second->engineId()) next_.clientDisconnected(*engineId);
  requests_.erase(it);
  apply(queues_.cancel(engine_.now(), id));
}

void RequestAdmission::sweep() { apply(queues_.rejectOverdue(engine_.now())); }

const balancer::ClassSettings& RequestAdmission::classOf(const balancer::Request& request) const {
  return classes_[static_cast<std::size_t>(request.classIndex)];
}

// Returns until when a request may wait in its queue: for its latency objective, but not beyond its
// deadline. An answer after the latency objective may still have some value, but the request would
// take a slot that another request could have used on time.
Time RequestAdmission::queueDeadline(const balancer::Request& request) const {
  const Time now = engine_.now();
  return now + std::min(classOf(request).latencyObjective, request.deadline - now);
}

// Each replication group has two queues: one for requests that any of its data servers can serve,
// and one for requests that need the primary.
admission::QueueKey RequestAdmission::queueOf(const balancer::Request& request) const {
  const balancer::Requirement requirement = classOf(request).requirement;
  const bool primary =
      requirement == balancer::Requirement::Write || requirement == balancer::Requirement::Strong;
  return static_cast<admission::QueueKey>(request.group) << 1 | (primary ? 1 : 0);
}

std::vector<AdmissionView::Queue> RequestAdmission::queueViews() const {
  std::vector<AdmissionView::Queue> views;
  for (const admission::RequestQueues::QueueView& queue : queues_.view()) {
    const bool shared = queue.key == admission::RequestQueues::kSharedQueue;
    const std::int64_t group = shared ? -1 : static_cast<std::int64_t>(queue.key >> 1);
    const bool primary = (queue.key & 1) != 0;
    views.push_back({group, primary, queue.limit, queue.inFlight, queue.queued, queue.typicalLatency});
  }
  return views;
}

void RequestAdmission::forward(PendingRequest& request) { request.forward(next_); }

void RequestAdmission::reject(RequestId id, Time retryAfter) {
  rejections_.emplace_back(id, retryAfter);
  event_active(deliverRejections_.get(), EV_TIMEOUT, 0);
}

void RequestAdmission::apply(const std::vector<ResolvedRequest>& resolved) {
  for (const ResolvedRequest& request : resolved) {
    const auto it = requests_.find(request.key);
    if (it == requests_.end()) continue;
    if (request.decision == RequestDecision::Admit)
      forward(*it->second);
    else
      reject(request.key, request.retryAfter);
  }
}

void RequestAdmission::finish(const PendingRequest& request, Outcome outcome) {
  const Time now = engine_.now();
  const Time latency = now - request.forwardedAt();
  // Only served and timed-out requests update the concurrency limit. Rejections by the balancer and
  // failures before the deadline concern one data server or role; lowering the limit for them would
  // reject requests that other data servers can serve.
  const bool timedOut = outcome == Outcome::Failed && now + kDeadlineTolerance >= request.deadline();
  const RequestId id = request.id();
  requests_.erase(id);
  const bool measured = outcome == Outcome::Served || timedOut;
  apply(measured ? queues_.complete(now, id, latency, timedOut) : queues_.cancel(now, id));
}

void RequestAdmission::deliverRejections() {
  std::vector<std::pair<RequestId, Time>> rejections;
  rejections.swap(rejections_);
  for (const auto& [id, retryAfter] : rejections) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) continue;  // cancelled since
    ResponseHandler& client = it->second->client();
    requests_.erase(it);
    client.rejected(retryAfter);
  }
}

}  // namespace sablespur
