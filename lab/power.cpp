#include "lab/power.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "lab/quantiles.hpp"

namespace sablespur::lab {
namespace {

constexpr Time kSampleInterval = std::chrono::milliseconds(50), kRateWindow = std::chrono::milliseconds(500),
               kBaselineWindow = std::chrono::seconds(2);
constexpr double kReturnedShare = 0.9, kTruncatedSnapshotShare = 0.2;

}  // namespace

PowerLossSimulator::PowerLossSimulator(Context& c, Fleet& fleet, const Audit& audit, Controls controls)
    : c_(c), fleet_(fleet), audit_(audit), controls_(std::move(controls)), sampleTimer_(c, [this] {
        sample();
      }) {
  sample();
}

void PowerLossSimulator::schedule(Time in, std::function<void()> then) {
  restarts_.push_back(std::make_unique<Timer>(c_, std::move(then)));
  restarts_.back()->in(in);
}

void PowerLossSimulator::lose(Time least, Time most) {
  restarts_.clear();  // a second loss cancels the pending restarts of the first
  LossRecord l;
  l.at = c_.now();
  l.servedAtLoss = audit_.count(Result::Served);
  const auto from = std::find_if(served_.begin(), served_.end(),
                                 [&](const auto& s) { return s.first >= l.at - kBaselineWindow; });
  if (from != served_.end() && l.at > from->first)
    l.before = static_cast<double>(l.servedAtLoss - from->second) * 1e6 /
               static_cast<double>((l.at - from->first).count());
  for (int k = 1; k <= controls_.proxies; ++k) controls_.proxy(k, false);
  cutFiles();
  for (const auto& s : fleet_.servers()) s->kill();
  for (const auto& s : fleet_.servers()) {
    const Time in = c_.uniform(least, most);
    l.serversBack = std::max(l.serversBack, l.at + in);
    schedule(in, [server = s.get()] { server->start(); });
  }
  for (int k = 1; k <= controls_.proxies; ++k)
    schedule(c_.uniform(least / 3, most), [this, k] { controls_.proxy(k, true); });
  losses_.push_back(l);
}

void PowerLossSimulator::cutFiles() {
  namespace fs = std::filesystem;
  std::vector<fs::path> files;
  std::error_code none;
  for (const auto& f : fs::directory_iterator(controls_.directory, none)) files.push_back(f.path());
  std::sort(files.begin(), files.end());
  for (const fs::path& p : files) {
    const bool fresh = p.extension() == ".new";
    const bool whole = p.extension() == ".snapshot";
    if (!fresh && !(whole && c_.uniform(0, 1) < kTruncatedSnapshotShare)) continue;
    const auto size = fs::file_size(p, none);
    if (none || size == 0) continue;
    fs::resize_file(p, static_cast<std::uintmax_t>(c_.uniform(0, 1) * static_cast<double>(size)), none);
  }
}

void PowerLossSimulator::sample() {
  const Time now = c_.now();
  const std::size_t served = audit_.count(Result::Served);
  served_.emplace_back(now, served);
  if (served_.size() > 4096) served_.erase(served_.begin(), served_.begin() + 2048);
  if (!losses_.empty()) {
    LossRecord& l = losses_.back();
    if (l.first == Time(0) && served > l.servedAtLoss) l.first = now;
    bool primaries = now >= l.serversBack;
    for (int g = 1; g <= fleet_.settings().groups; ++g) primaries = primaries && fleet_.primary(g);
    // The time to return counts from when all data servers are back and every group has a primary.
    if (!primaries && l.returned == Time(0)) l.serversBack = std::max(l.serversBack, now);
    const auto was = std::find_if(served_.begin(), served_.end(),
                                  [&](const auto& s) { return s.first >= now - kRateWindow; });
    const double rate = now > was->first ? static_cast<double>(served - was->second) * 1e6 /
                                               static_cast<double>((now - was->first).count())
                                         : 0;
    if (primaries && l.returned == Time(0) && l.before > 0 && rate >= kReturnedShare * l.before)
      l.returned = now;
  }
  sampleTimer_.in(kSampleInterval);
}

void PowerLossSimulator::figures(std::map<std::string, double>& f) const {
  if (losses_.empty()) return;
  Quantiles first, back;
  double never = 0;
  for (const LossRecord& l : losses_) {
    if (l.first > Time(0)) first.add(static_cast<double>((l.first - l.at).count()) / 1e3);
    if (l.returned > Time(0))
      back.add(static_cast<double>((l.returned - l.serversBack).count()) / 1e3);
    else
      ++never;
  }
  for (const auto& s : fleet_.servers())
    f["cold_dials_peak"] = std::max(f["cold_dials_peak"], static_cast<double>(s->peakColdConnections()));
  f["power_losses"] = static_cast<double>(losses_.size());
  f["power_first_answer_ms"] = first.at(0.5);
  f["power_first_answer_most_ms"] = first.most();
  f["power_return_ms"] = back.at(0.5);
  f["power_return_most_ms"] = back.most();
  f["power_unreturned"] = never;
}

}  // namespace sablespur::lab
