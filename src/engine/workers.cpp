#include "engine/workers.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>
#include <utility>

namespace sablespur {
namespace {

// Guards the memory and the patience of those that wait: a burst longer than this is turned down at once.
constexpr std::size_t kMostWaiting = 1024;

}  // namespace

WorkerPool::WorkerPool(event_base* base, std::size_t threads)
    : most_(threads), wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (wake_ < 0) throw std::system_error(errno, std::generic_category(), "eventfd");
  woken_.reset(event_new(
      base, wake_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<WorkerPool*>(self)->finished(); }, this));
  event_add(woken_.get(), nullptr);
}
WorkerPool::~WorkerPool() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stop_ = true;
    waiting_.clear();
  }
  more_.notify_all();
  for (std::thread& t : threads_) t.join();
  woken_.reset();
  close(wake_);
}

WorkerPool::Ticket WorkerPool::run(std::function<std::string()> work, std::function<void(std::string)> done) {
  auto ticket = std::make_shared<Wanted>();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (waiting_.size() >= kMostWaiting) return nullptr;
    waiting_.push_back({std::move(work), std::move(done), ticket, {}});
  }
  if (threads_.size() < most_) threads_.emplace_back([this] { serve(); });
  more_.notify_one();
  return ticket;
}

void WorkerPool::serve() {
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    more_.wait(lock, [this] { return stop_ || !waiting_.empty(); });
    if (stop_) return;
    Piece piece = std::move(waiting_.front());
    waiting_.pop_front();
    lock.unlock();
    if (!piece.wanted.expired()) piece.result = piece.work();
    lock.lock();
    done_.push_back(std::move(piece));
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t n = write(wake_, &one, sizeof one);  // full only when it is awake anyway
  }
}

void WorkerPool::finished() {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t n = read(wake_, &count, sizeof count);
  std::deque<Piece> done;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    done.swap(done_);
  }
  // Each is looked at when its turn comes: one result may end what waits for the next.
  for (Piece& p : done)
    if (!p.wanted.expired()) p.done(std::move(p.result));
}

}  // namespace sablespur
