#include "discovery/list_validity.hpp"

#include <algorithm>

namespace sablespur {
namespace {

// The rest of the grace covers the time from a decision until its request arrives.
constexpr int kUsablePercentOfGrace = 70;
constexpr int kPercent = 100;

}  // namespace

const char* toString(ListLimit limit) {
  switch (limit) {
    case ListLimit::None:
      return "none";
    case ListLimit::Unconfirmed:
      return "unconfirmed";
    case ListLimit::Start:
      return "start";
    case ListLimit::StartWherePushed:
      return "start, pushed lists";
    case ListLimit::Upgrade:
      return "upgrade";
    case ListLimit::Reload:
      return "reload";
  }
  return "";
}

void ListValidity::started(Time now, StartKind kind) {
  switch (kind) {
    case StartKind::Alone:
      pending_ = Pending{now + kToldAfterChange, ListLimit::Start};
      break;
    case StartKind::BesideAnotherProcess:
      pending_ = Pending{now + kToldAfterUpgrade, ListLimit::Upgrade};
      break;
    case StartKind::WithPushedLists:
      // What the agent has counts as told from the first moment, also while the agent is silent.
      pending_ = Pending{now, ListLimit::StartWherePushed};
      limitTo(*pending_);
      break;
  }
}

void ListValidity::reloaded(Time now) {
  const Pending reload{now + kToldAfterReload, ListLimit::Reload};
  if (!pending_ || reload.toldAt < pending_->toldAt) pending_ = reload;
}

void ListValidity::confirmed(Time now) {
  pending_ = Pending{now + kToldAfterChange, ListLimit::Unconfirmed};
  toldAt_.reset();
  limit_ = ListLimit::None;
}

void ListValidity::reached(Time) {
  if (pending_) limitTo(*pending_);
}

// Changes that discovery made known before it became unreachable have arrived, as the watch was
// followed until then; later ones count from when it can be reached again.
void ListValidity::unreachable(Time now) {
  if (pending_ && !toldAt_) pending_ = Pending{now + kToldAfterChange, pending_->limit};
}

std::optional<ListValidity::Time> ListValidity::usableUntil() const {
  if (!toldAt_) return std::nullopt;
  return *toldAt_ + drainGrace_ * kUsablePercentOfGrace / kPercent;
}

// An earlier limit stays: it ends only when the list is confirmed.
void ListValidity::limitTo(const Pending& pending) {
  if (toldAt_ && *toldAt_ <= pending.toldAt) return;
  toldAt_ = pending.toldAt;
  limit_ = pending.limit;
}

}  // namespace sablespur
