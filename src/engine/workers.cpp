#include "engine/workers.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>
#include <utility>

namespace sablespur {
namespace {

// Bounds memory and waiting time: when the queue is full, new jobs are rejected at once.
constexpr std::size_t kMaxWaitingJobs = 1024;

}  // namespace

WorkerPool::WorkerPool(event_base* base, std::size_t threads)
    : maxThreads_(threads), wakeup_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (!wakeup_) throw std::system_error(errno, std::generic_category(), "eventfd");
  wakeupEvent_.reset(event_new(
      base, wakeup_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<WorkerPool*>(self)->deliverResults(); }, this));
  event_add(wakeupEvent_.get(), nullptr);
}

WorkerPool::~WorkerPool() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    waitingJobs_.clear();
  }
  workAvailable_.notify_all();
  for (std::thread& thread : threads_) thread.join();
}

WorkerPool::Ticket WorkerPool::run(std::function<std::string()> work, std::function<void(std::string)> done) {
  auto ticket = std::make_shared<JobToken>();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (waitingJobs_.size() >= kMaxWaitingJobs) return nullptr;
    waitingJobs_.push_back({std::move(work), std::move(done), ticket, {}});
  }
  if (threads_.size() < maxThreads_) threads_.emplace_back([this] { runJobs(); });
  workAvailable_.notify_one();
  return ticket;
}

void WorkerPool::runJobs() {
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    workAvailable_.wait(lock, [this] { return stopping_ || !waitingJobs_.empty(); });
    if (stopping_) return;
    Job job = std::move(waitingJobs_.front());
    waitingJobs_.pop_front();
    lock.unlock();
    if (!job.token.expired()) job.result = job.work();
    lock.lock();
    finishedJobs_.push_back(std::move(job));
    const std::uint64_t one = 1;
    // Fails only if a wakeup is already pending.
    [[maybe_unused]] const ssize_t written = write(wakeup_.get(), &one, sizeof one);
  }
}

void WorkerPool::deliverResults() {
  std::uint64_t count = 0;
  // Fails only if no wakeup is pending, because an earlier call has consumed several at once.
  [[maybe_unused]] const ssize_t received = read(wakeup_.get(), &count, sizeof count);
  std::deque<Job> finished;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    finished.swap(finishedJobs_);
  }
  // Each token is checked just before its call, because delivering a result may cancel later jobs.
  for (Job& job : finished)
    if (!job.token.expired()) job.done(std::move(job.result));
}

}  // namespace sablespur
