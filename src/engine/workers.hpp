// A thread pool for work that would block the event loop, such as salting passwords. Threads are started on
// demand.
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
#include "engine/file_descriptor.hpp"

namespace sablespur {

class WorkerPool {
 public:
  WorkerPool(event_base*, std::size_t threads);
  // Drops jobs that have not begun and waits for those that run.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Cancels a job when it is destroyed: `done` is not called then.
  struct Interest {};
  using Ticket = std::shared_ptr<Interest>;
  // `work` runs on a worker thread and may use only what it captures; `done` receives its result in the
  // loop's thread. Null: the queue is full.
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
  std::deque<Job> waitingJobs_;   // guarded by mutex_
  std::deque<Job> finishedJobs_;  // guarded by mutex_
  bool stopping_ = false;         // guarded by mutex_
  FileDescriptor wakeup_;         // eventfd, written when a job has finished
  Event wakeupEvent_;
  std::vector<std::thread> threads_;
};

}  // namespace sablespur
