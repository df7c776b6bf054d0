// A thread pool for work that would block the event loop, such as password hashing. Threads are
// started on demand.
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
  // Drops queued jobs and waits for running ones.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Destroying the ticket cancels the job: `done` is then not called.
  struct JobToken {};
  using Ticket = std::shared_ptr<JobToken>;
  // `work` runs on a worker thread and may access only its captures; `done` receives its result on
  // the event loop's thread. Returns null if the queue is full.
  [[nodiscard]] Ticket run(std::function<std::string()> work, std::function<void(std::string)> done);

 private:
  struct Job {
    std::function<std::string()> work;
    std::function<void(std::string)> done;
    std::weak_ptr<JobToken> token;
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
  FileDescriptor wakeup_;         // eventfd, written when a job finishes
  Event wakeupEvent_;
  std::vector<std::thread> threads_;
};

}  // namespace sablespur
