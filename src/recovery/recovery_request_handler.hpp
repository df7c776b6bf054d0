// Requests during recovery: each is forwarded to the engine or rejected at once, as RecoveryAdmission
// decides, and how the forwarded ones end is reported back to it.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "engine/engine.hpp"
#include "recovery/recovery_admission.hpp"

namespace sablespur::recovery {

// Belongs to the event loop's thread; the response handlers given to request() have to outlive their request.
class RecoveryRequestHandler final : public RequestHandler {
 public:
  RecoveryRequestHandler(event_base*, Engine&, const Config&, Time now);
  ~RecoveryRequestHandler() override;

  RequestId request(ResponseHandler&, balancer::Request, RequestMessage) override;
  void clientDisconnected(RequestId) override;

  // From now on every request is forwarded without a decision.
  void finish() { finished_ = true; }
  bool finished() const { return finished_; }
  // Evidence and state of the decisions. Pass evidence only until finished().
  RecoveryAdmission& admission() { return admission_; }
  std::uint64_t requestsRejected() const { return requestsRejected_; }

 private:
  struct AdmittedRequest;
  struct RejectedRequest {
    ResponseHandler* responseHandler;
    Time retryAfter;
  };
  RequestId reject(ResponseHandler&, Time retryAfter);
  void deliverRejections();
  void requestEnded(const AdmittedRequest&, RequestEnd);  // destroys the request

  Engine& engine_;
  const std::vector<balancer::ClassSettings> classes_;
  const bool retryAfterAllowed_;
  RecoveryAdmission admission_;
  bool finished_ = false;
  std::uint64_t requestsRejected_ = 0;
  std::unordered_map<RequestId, std::unique_ptr<AdmittedRequest>> admitted_;
  std::map<RequestId, RejectedRequest> rejected_;  // not answered yet
  Event deliverRejections_;
};

}  // namespace sablespur::recovery
