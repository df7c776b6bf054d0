// Handles requests during recovery: forwards each to the engine or rejects it, as RecoveryAdmission
// decides, and reports the results of forwarded requests to RecoveryAdmission.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "engine/engine.hpp"
#include "recovery/recovery_admission.hpp"

namespace sablespur::recovery {

// Used on the event loop's thread only. Response handlers passed to request() have to outlive their
// request.
class RecoveryRequestHandler final : public RequestHandler {
 public:
  RecoveryRequestHandler(event_base*, Engine&, const Config&, Time now);
  ~RecoveryRequestHandler() override;

  RequestId request(ResponseHandler&, balancer::Request, RequestMessage) override;
  void clientDisconnected(RequestId) override;

  // Ends recovery: all further requests are forwarded to the engine without an admission decision.
  void finish() { finished_ = true; }
  bool finished() const { return finished_; }
  // The admission state. Report endpoint responses to it only until finished().
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
  std::map<RequestId, RejectedRequest> rejected_;  // rejections that are not delivered yet
  Event deliverRejections_;
};

}  // namespace sablespur::recovery
