// Queues, forwards or rejects requests in front of the engine, as decided by RequestQueues.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/request_queues.hpp"
#include "engine/engine.hpp"
#include "engine/event.hpp"
#include "frontend/admission_view.hpp"

namespace sablespur {

class RequestAdmission {
 public:
  // Forwards admitted requests to `next`.
  RequestAdmission(event_base*, Engine&, RequestHandler& next, std::vector<balancer::ClassSettings>,
                   const admission::RequestLimiterSettings&);
  ~RequestAdmission();

  // `group` is the admission group of the client. A rejection is delivered after this call returns.
  RequestId submit(ResponseHandler&, balancer::Request, RequestMessage, std::size_t group);
  void cancel(RequestId);  // the client has disconnected or cancelled the request
  // Rejects the requests that have been queued for too long.
  void sweep();
  void reload(const admission::RequestLimiterSettings& settings) { queues_.reload(settings); }

  const admission::RequestQueues& queues() const { return queues_; }
  std::vector<AdmissionView::Queue> queueViews() const;

 private:
  class PendingRequest;
  enum class Outcome { Served, Rejected, Failed };

  const balancer::ClassSettings& classOf(const balancer::Request&) const;
  Time queueDeadline(const balancer::Request&) const;
  admission::QueueKey queueOf(const balancer::Request&) const;
  void forward(PendingRequest&);
  void reject(RequestId, Time retryAfter);
  void apply(const std::vector<admission::ResolvedRequest>&);
  void finish(const PendingRequest&, Outcome);  // destroys the request
  void deliverRejections();

  Engine& engine_;
  RequestHandler& next_;
  const std::vector<balancer::ClassSettings> classes_;
  admission::RequestQueues queues_;
  std::unordered_map<RequestId, std::unique_ptr<PendingRequest>> requests_;
  std::vector<std::pair<RequestId, Time>> rejections_;  // undelivered, with their Retry-After
  RequestId lastId_ = 0;
  Event deliverRejections_;
};

}  // namespace sablespur
