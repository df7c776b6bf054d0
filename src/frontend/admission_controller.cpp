#include "frontend/admission_controller.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "admission/rejection_period.hpp"
#include "admission/settings.hpp"
#include "engine/event.hpp"
#include "frontend/client_admission.hpp"
#include "frontend/request_admission.hpp"
#include "logging/log.hpp"

namespace sablespur {
namespace {

using admission::RejectionPeriod;

// Interval at which overdue queued requests are rejected, idle connections beyond the limits are
// evicted and rejection periods are updated.
constexpr Time kSweepInterval = std::chrono::milliseconds(20);
constexpr double kMicrosecondsPerSecond = 1e6;

struct RejectionSummary {
  std::uint64_t total = 0;
  const char* mostFrequent = "none";  // reason with the highest count
};

RejectionSummary summarize(const admission::ConnectionAdmission::Counters& counters) {
  RejectionSummary summary;
  std::uint64_t most = 0;
  for (const auto& [reason, count] : counters.rejected) {
    summary.total += count;
    if (count <= most) continue;
    most = count;
    summary.mostFrequent = admission::rejectionReasonName(reason);
  }
  return summary;
}

RejectionSummary summarize(const admission::RequestLimiter::Counters& counters) {
  RejectionSummary summary;
  std::size_t most = 0;
  for (std::size_t k = 0; k < admission::kRequestRejectionCount; ++k) {
    summary.total += counters.rejected[k];
    if (counters.rejected[k] > counters.rejected[most]) most = k;
  }
  summary.mostFrequent = admission::requestRejectionName(static_cast<admission::RequestRejection>(most));
  return summary;
}

class DefaultAdmissionController final : public AdmissionController {
 public:
  DefaultAdmissionController(event_base* base, Engine& engine, RequestHandler& next, const Config& config)
      : engine_(engine),
        next_(next),
        settings_(config.admission),
        clients_(settings_),
        rejections_(settings_->connections.groups.size()),
        sweepTimer_(event_new(
            base, -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) {
              static_cast<DefaultAdmissionController*>(self)->sweep();
            },
            this)) {
    if (settings_->requests)
      requests_ = std::make_unique<RequestAdmission>(base, engine, next, config.settings.classes,
                                                     *settings_->requests);
    startTimer(sweepTimer_.get(), kSweepInterval);
  }

  bool expectsProxyHeader(const Address& from) const override {
    const admission::Networks& proxies = settings_->trustedProxies;
    return proxies.size() > 0 && proxies.find(admission::addressOf(from.data()), 1) == 0;
  }
  bool admitsByUser() const override { return !settings_->users.empty(); }
  std::size_t maxUnadmittedConnections() const override { return settings_->maxUnadmittedConnections; }

  AdmissionDecision connectionArrived(AdmittedConnection& connection, const Address& from) override {
    return clients_.admit(engine_.now(), connection, admission::addressOf(from.data()));
  }
  AdmissionDecision userAuthenticated(AdmittedConnection& connection, std::optional<PermitId> permit,
                                      const Address& from, const std::string& user) override {
    return clients_.onUserAuthenticated(engine_.now(), connection, permit, admission::addressOf(from.data()),
                                        user);
  }
  void connectionClosed(std::optional<PermitId> permit) override {
    if (permit) clients_.remove(*permit);
  }
  void connectionBusy(std::optional<PermitId> permit) override {
    if (permit) clients_.markBusy(*permit);
  }
  void connectionIdle(std::optional<PermitId> permit) override {
    if (permit) clients_.markIdle(engine_.now(), *permit);
  }
  void connectionServed(std::optional<PermitId> permit) override {
    if (permit) clients_.recordResponse(engine_.now(), *permit);
  }
  void onExhaustion() override { clients_.onExhaustion(engine_.now()); }

  RequestId request(ResponseHandler& client, balancer::Request request, RequestMessage message,
                    std::optional<PermitId> permit) override {
    if (!requests_) return next_.request(client, request, std::move(message));
    const admission::ConnectionAdmission& connections = clients_.connections();
    const std::size_t group = permit ? connections.groupOf(*permit) : connections.groupCount();
    return requests_->submit(client, request, std::move(message), group);
  }
  void requestCancelled(RequestId id) override {
    if (requests_)
      requests_->cancel(id);
    else
      next_.clientDisconnected(id);
  }

  void reload(const Config&) override;
  AdmissionView view() const override;

 private:
  // The rejection periods of one group.
  struct Rejections {
    RejectionPeriod connections;
    RejectionPeriod requests;
  };

  bool needsRestart(const std::shared_ptr<const admission::Settings>&) const;
  AdmissionView::Group groupView(std::size_t group) const;
  void sweep();
  void logRejections(std::size_t group, const char* what, RejectionPeriod&, const RejectionSummary&);

  Engine& engine_;
  RequestHandler& next_;
  std::shared_ptr<const admission::Settings> settings_;
  ClientAdmission clients_;
  std::unique_ptr<RequestAdmission> requests_;  // null if requests are not limited
  std::vector<Rejections> rejections_;          // indexed by group
  Event sweepTimer_;
};

// Returns whether the new settings change something that only takes effect after a restart:
// switching admission control off, switching request limiting on or off, or the kind of the request
// limit.
bool DefaultAdmissionController::needsRestart(
    const std::shared_ptr<const admission::Settings>& settings) const {
  if (!settings || settings->requests.has_value() != settings_->requests.has_value()) return true;
  return settings->requests && settings->requests->limit.kind != settings_->requests->limit.kind;
}

void DefaultAdmissionController::reload(const Config& config) {
  if (needsRestart(config.admission))
    logEvent(LogLevel::Warning, "config_restart_needed",
             {{"key", config.admission ? "[admission] requests" : "[admission] door"}});
  if (!config.admission) return;
  // Groups are matched by name, so that a group keeps its rejection periods across a reload.
  const admission::ConnectionAdmission& connections = clients_.connections();
  const std::vector<admission::GroupLimits>& groups = config.admission->connections.groups;
  std::vector<Rejections> rejections(groups.size());
  for (std::size_t k = 0; k < groups.size(); ++k)
    for (std::size_t old = 0; old < connections.groupCount(); ++old)
      if (connections.limits(old).name == groups[k].name) rejections[k] = rejections_[old];
  settings_ = config.admission;
  rejections_ = std::move(rejections);
  clients_.reload(settings_);
  if (requests_ && settings_->requests) requests_->reload(*settings_->requests);
}

AdmissionView DefaultAdmissionController::view() const {
  AdmissionView view;
  view.connections = clients_.connections().connectionCount();
  view.maxConnections = clients_.connections().maxConnections();
  view.maxUnadmittedConnections = settings_->maxUnadmittedConnections;
  view.recentClients = clients_.recentClientCount();
  view.limitsRequests = requests_ != nullptr;
  if (requests_) view.queues = requests_->queueViews();
  for (std::size_t k = 0; k < clients_.connections().groupCount(); ++k) view.groups.push_back(groupView(k));
  return view;
}

AdmissionView::Group DefaultAdmissionController::groupView(std::size_t group) const {
  const admission::GroupLimits& limits = clients_.connections().limits(group);
  const admission::ConnectionAdmission::Counters& connections = clients_.connections().counters(group);
  AdmissionView::Group view;
  view.name = limits.name;
  view.weight = limits.weight;
  view.connections = connections.connections;
  view.idleConnections = connections.idle;
  view.maxConnections = limits.maxConnections;
  view.reserve = limits.reserve;
  view.reserveRemaining = connections.reserveRemaining;
  view.connectionsAdmitted = connections.admitted;
  view.connectionsEvicted = connections.evicted;
  for (const auto& [reason, count] : connections.rejected)
    view.connectionsRejected[admission::rejectionReasonName(reason)] = count;
  view.rejecting = rejections_[group].connections.active() || rejections_[group].requests.active();
  if (!requests_ || group >= requests_->queues().groupCount()) return view;
  const admission::RequestLimiter::Counters requests = requests_->queues().counters(group);
  view.requestsInFlight = requests.inFlight;
  view.requestsQueued = requests.queued;
  view.requestsAdmitted = requests.admitted;
  view.requestsEnqueued = requests.enqueued;
  for (std::size_t k = 0; k < admission::kRequestRejectionCount; ++k) {
    const char* const reason = admission::requestRejectionName(static_cast<admission::RequestRejection>(k));
    if (requests.rejected[k] > 0) view.requestsRejected[reason] = requests.rejected[k];
  }
  return view;
}

void DefaultAdmissionController::sweep() {
  if (requests_) requests_->sweep();
  clients_.sweep(engine_.now());
  const admission::ConnectionAdmission& connections = clients_.connections();
  for (std::size_t k = 0; k < connections.groupCount(); ++k) {
    logRejections(k, "connections", rejections_[k].connections, summarize(connections.counters(k)));
    if (requests_ && k < requests_->queues().groupCount())
      logRejections(k, "requests", rejections_[k].requests, summarize(requests_->queues().counters(k)));
  }
}

void DefaultAdmissionController::logRejections(std::size_t group, const char* what, RejectionPeriod& period,
                                               const RejectionSummary& summary) {
  const RejectionPeriod::Transition transition = period.update(engine_.now(), summary.total);
  const admission::ConnectionAdmission& connections = clients_.connections();
  const std::string& name = connections.limits(group).name;
  if (transition == RejectionPeriod::Transition::Began)
    logEvent(LogLevel::Warning, "rejection_started",
             {{"group", name},
              {"what", what},
              {"mostly", summary.mostFrequent},
              {"held", connections.counters(group).connections}});
  if (transition == RejectionPeriod::Transition::Ended)
    logEvent(LogLevel::Info, "rejection_ended",
             {{"group", name},
              {"what", what},
              {"refused", period.rejections()},
              {"seconds", static_cast<double>(period.duration().count()) / kMicrosecondsPerSecond}});
}

}  // namespace

std::unique_ptr<AdmissionController> createAdmissionController(event_base* base, Engine& engine,
                                                               RequestHandler& next, const Config& config) {
  if (!config.admission) return nullptr;
  return std::make_unique<DefaultAdmissionController>(base, engine, next, config);
}

}  // namespace sablespur
