// Work that would hold up the loop, such as salting passwords, on threads of its own. The threads start with
// the first piece of work, so that who has none pays nothing.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "engine/event.hpp"

namespace sablespur {

class WorkerPool {
 public:
  WorkerPool(event_base*, std::size_t threads);
  ~WorkerPool();  // what has not begun is dropped, what runs is waited for
  WorkerPool(const WorkerPool&) = delete;

  // Whoever holds this still wants the result; once it is gone `done` is not called.
  struct Interest {};
  using Ticket = std::shared_ptr<Interest>;
  // `work` runs on a thread and touches nothing but what it was given; `done` gets its result in the loop.
  // Null: there is too much waiting already.
  [[nodiscard]] Ticket run(std::function<std::string()> work, std::function<void(std::string)> done);

 private:
  struct Job {
    std::function<std::string()> work;
    std::function<void(std::string)> done;
    std::weak_ptr<Interest> interest;
    std::string result;
  };
  void runJobs();
  void deliverResults();

  const std::size_t maxThreads_;
  std::mutex mutex_;
  std::condition_variable workAvailable_;
  std::deque<Job> waitingJobs_, finishedJobs_;
  bool stopping_ = false;
  int wakeupFd_ = -1;  // eventfd
  Event wakeupEvent_;
  std::vector<std::thread> threads_;
};

}  // namespace sablespur
