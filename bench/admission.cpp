// Benchmarks of admission decisions, by the number of networks, connections and requests.
#include <benchmark/benchmark.h>

#include <pcg_random.hpp>
#include <random>
#include <string>

#include "admission/connection_admission.hpp"
#include "admission/recent_clients.hpp"
#include "admission/request_queues.hpp"

namespace {

using namespace sablespur::admission;
using namespace std::chrono_literals;

IpAddress address(std::uint32_t n) { return asio::ip::address_v4(n); }

// Returns `entries` random networks with prefix lengths from 20 to 32, as in a list that grew over
// years.
std::shared_ptr<const Networks> networks(std::size_t entries) {
  auto all = std::make_shared<Networks>();
  pcg64 random(7);
  std::string why;
  while (all->size() < entries) {
    const int bits = std::uniform_int_distribution<int>(20, 32)(random);
    const auto first = static_cast<std::uint32_t>(random()) & ~((1ull << (32 - bits)) - 1);
    all->add(address(static_cast<std::uint32_t>(first)).to_string() + "/" + std::to_string(bits), 0, why);
  }
  return all;
}

void findNetwork(benchmark::State& state) {
  const auto all = networks(static_cast<std::size_t>(state.range(0)));
  pcg64 random(1);
  for (auto _ : state) benchmark::DoNotOptimize(all->find(address(static_cast<std::uint32_t>(random())), 1));
}
BENCHMARK(findNetwork)->Arg(10)->Arg(1000)->Arg(100000)->Name("network_of_an_address/entries");

ConnectionAdmissionSettings settings() {
  ConnectionAdmissionSettings s;
  s.maxConnections = 20000;
  s.groups.resize(3);
  for (std::size_t k = 0; k < 3; ++k) s.groups[k].name = std::string(1, static_cast<char>('a' + k));
  s.groups[0].reserve = 100;
  s.groups[1].maxPerAddress = 8;
  s.groups[1].maxPerPrefix = 4000;
  return s;
}
// Admits and removes one connection per iteration while state.range(1) connections are open.
void admitAndRemove(benchmark::State& state) {
  const auto held = static_cast<ConnectionId>(state.range(1));
  ConnectionAdmission door(settings(), networks(static_cast<std::size_t>(state.range(0))));
  pcg64 random(1);
  ConnectionId id = 0;
  while (door.connectionCount() < held) {
    door.admit(1s, ++id, address(static_cast<std::uint32_t>(random())));
    door.markIdle(1s, id);
  }
  Time now = 10s;
  ConnectionId oldest = 0;
  for (auto _ : state) {
    now += 10us;
    benchmark::DoNotOptimize(door.admit(now, ++id, address(static_cast<std::uint32_t>(random()))));
    door.markIdle(now, id);
    door.remove(++oldest);
  }
}
BENCHMARK(admitAndRemove)
    ->Args({10, 10000})
    ->Args({1000, 10000})
    ->Args({100000, 10000})
    ->Args({1000, 100})
    ->Name("connection_comes_and_goes/entries/held");

// All connections are in use: an idle one is closed for the new one, or the new one is rejected.
void admitWhenFull(benchmark::State& state) {
  ConnectionAdmissionSettings s = settings();
  s.maxConnections = 10000;
  ConnectionAdmission door(s, networks(1000));
  pcg64 random(1);
  ConnectionId id = 0;
  while (door.connectionCount() < s.maxConnections - 100) {
    door.admit(1s, ++id, address(static_cast<std::uint32_t>(random())));
    if (state.range(0) != 0) door.markIdle(1s, id);
  }
  Time now = 10s;
  for (auto _ : state) {
    now += 10us;
    const ConnectionDecision w = door.admit(now, ++id, address(static_cast<std::uint32_t>(random())));
    if (w.admitted) door.markIdle(now, id);
    benchmark::DoNotOptimize(w);
  }
}
BENCHMARK(admitWhenFull)->Arg(1)->Arg(0)->Name("full_with_10000_held/idle_ones");

void recordResponse(benchmark::State& state) {
  RecentClients known{RecentClientsSettings{}};
  pcg64 random(1);
  Time now = 1s;
  for (auto _ : state) known.recordResponse(now += 10us, address(static_cast<std::uint32_t>(random())));
}
BENCHMARK(recordResponse)->Name("served_before_is_noted");

// Submits a request that is sent at once, and completes one, with state.range(0) requests in
// progress.
void submitAndComplete(benchmark::State& state) {
  RequestLimiterSettings s;
  s.limit.kind = LimitKind::Gradient;
  s.limit.initial = s.limit.min = 2000;
  s.limit.max = 4000;
  s.groups.resize(3);
  RequestQueues lanes(s);
  RequestKey key = 0, oldest = 0;
  Time now = 1s;
  for (; key < static_cast<RequestKey>(state.range(0));)
    lanes.submit(now, ++key, key % 20, key % 3, now + 1s);
  for (auto _ : state) {
    now += 10us;
    ++key;
    lanes.submit(now, key, key % 20, key % 3, now + 1s);
    benchmark::DoNotOptimize(lanes.complete(now, ++oldest, 60ms, false));
  }
}
BENCHMARK(submitAndComplete)->Arg(10)->Arg(1000)->Name("request_goes_and_ends/out");

}  // namespace

BENCHMARK_MAIN();
