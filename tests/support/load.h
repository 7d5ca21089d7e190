#ifndef BANYAN_TESTS_SUPPORT_LOAD_H_
#define BANYAN_TESTS_SUPPORT_LOAD_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "banyan/base/time.h"
#include "tests/support/cluster.h"

namespace banyan {

// What callers saw of one kind of request.
struct LoadCounts {
  std::uint64_t sent = 0;
  std::uint64_t ran = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  // Connections that broke without an answer.
  std::uint64_t no_answer = 0;
  // Answers that were not the answer to their own request.
  std::uint64_t wrong = 0;
  std::vector<Duration> latencies;

  // Returns the latency at a share of all answers.
  [[nodiscard]] Duration Quantile(double share) const;
};

// What checking the fakes' records against the callers' answers found.
struct LoadVerdict {
  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;
  // Requests that were told "not run" but ran.
  std::uint64_t ran_after_not_run = 0;
  std::uint64_t jobs_finished = 0;
  std::uint64_t jobs_unfinished = 0;
  std::uint64_t evictions = 0;
  // Two runs of one job at the same time.
  std::uint64_t overlaps = 0;
  // Work that was done again although a checkpoint covered it, milliseconds.
  std::int64_t repeated_ms = 0;

  // Returns whether anything was lost or done twice.
  [[nodiscard]] bool clean() const noexcept {
    return lost == 0 && doubled == 0 && ran_after_not_run == 0 &&
           jobs_unfinished == 0 && overlaps == 0;
  }
};

// Callers that send bookings and draft checks through the entries, in a closed
// loop each, and submit packet builds. A booking that has no final answer is
// sent again under its key, through the other entry.
class Load {
 public:
  explicit Load(Cluster& cluster) : cluster_(cluster) {}
  ~Load() { Stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // Starts so many callers of each kind.
  void Start(int booking_callers, int draft_callers);
  void Stop();

  // Submits packet builds; returns how many were accepted.
  int SubmitJobs(const std::string& prefix, int count, std::int64_t run_ms);

  // Waits until every submitted job finished; false after the bound.
  [[nodiscard]] bool WaitForJobs(Duration bound);

  // Checks everything against what the fakes remember.
  [[nodiscard]] LoadVerdict Verify();

  [[nodiscard]] const LoadCounts& bookings() const { return bookings_; }
  [[nodiscard]] const LoadCounts& drafts() const { return drafts_; }

 private:
  void RunBookings(int caller);
  void RunDrafts(int caller);
  void BookOne(const std::string& key, int entry);
  void Note(LoadCounts& counts,
            const HttpReply& reply,
            const std::string& body,
            Duration latency);
  void VerifyBookings(LoadVerdict& verdict);
  void VerifyJobs(LoadVerdict& verdict);

  Cluster& cluster_;
  std::mutex mutex_;
  LoadCounts bookings_;
  LoadCounts drafts_;
  // The last outcome that each booking was told.
  std::map<std::string, std::string> told_;
  std::vector<std::string> jobs_;
  std::vector<std::thread> threads_;
  std::atomic<bool> must_end_{false};
};

}  // namespace banyan

#endif  // BANYAN_TESTS_SUPPORT_LOAD_H_
