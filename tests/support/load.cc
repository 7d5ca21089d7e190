#include "tests/support/load.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace banyan {
namespace {

using nlohmann::json;

// What a caller pauses between two requests, so that the callers are a stated
// load rather than as fast as they can be.
constexpr Duration kPause = Millis(10);
constexpr int kMaxSends = 60;
constexpr Duration kResendPause = Millis(100);
constexpr const char* kTimeoutMs = "1500";

}  // namespace

Duration LoadCounts::Quantile(double share) const {
  if (latencies.empty()) {
    return Duration(0);
  }
  std::vector<Duration> sorted = latencies;
  std::sort(sorted.begin(), sorted.end());
  const auto rank =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[rank];
}

void Load::Start(int booking_callers, int draft_callers) {
  for (int i = 0; i < booking_callers; ++i) {
    threads_.emplace_back([this, i] { RunBookings(i); });
  }
  for (int i = 0; i < draft_callers; ++i) {
    threads_.emplace_back([this, i] { RunDrafts(i); });
  }
}

void Load::Stop() {
  must_end_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

void Load::Note(LoadCounts& counts,
                const HttpReply& reply,
                const std::string& body,
                Duration latency) {
  const std::lock_guard lock(mutex_);
  ++counts.sent;
  const std::string_view outcome = reply.Field("Banyan-Outcome");
  if (reply.status == 0) {
    ++counts.no_answer;
  } else if (outcome == "ran") {
    ++counts.ran;
    counts.latencies.push_back(latency);
    const json answer = json::parse(reply.body, nullptr, false);
    const bool is_own = answer.is_object() && answer.value("echo", "") == body;
    counts.wrong += is_own ? 0 : 1;
  } else if (outcome == "not-run") {
    ++counts.not_run;
  } else {
    ++counts.unknown;
  }
}

void Load::BookOne(const std::string& key, int entry) {
  for (int send = 0; send < kMaxSends; ++send) {
    std::vector<HttpField> fields = {{"Idempotency-Key", key},
                                     {"Banyan-Timeout-Ms", kTimeoutMs}};
    if (send > 0) {
      fields.push_back({"Banyan-Resend", "true"});
    }
    const Time start = MonotonicClock::now();
    const HttpReply reply =
        Cluster::Call(cluster_.EntryAddress((entry + send) % 2), "POST",
                      "/booking/reservations", key, fields);
    Note(bookings_, reply, key, MonotonicClock::now() - start);
    {
      const std::lock_guard lock(mutex_);
      told_[key] = reply.status == 0
                       ? "unknown"
                       : std::string(reply.Field("Banyan-Outcome"));
      if (told_[key] == "ran") {
        return;
      }
    }
    // An unknown outcome that stays so is settled at the front desk.
    const bool is_settled = reply.status == 504 && send > 3;
    if (is_settled || must_end_) {
      return;
    }
    std::this_thread::sleep_for(kResendPause);
  }
}

void Load::RunBookings(int caller) {
  for (int i = 0; !must_end_; ++i) {
    const std::string key =
        "booking-" + std::to_string(caller) + "-" + std::to_string(i);
    BookOne(key, caller % 2);
    std::this_thread::sleep_for(kPause);
  }
}

void Load::RunDrafts(int caller) {
  for (int i = 0; !must_end_; ++i) {
    const std::string body =
        "draft-" + std::to_string(caller) + "-" + std::to_string(i);
    const Time start = MonotonicClock::now();
    const HttpReply reply = Cluster::Call(
        cluster_.EntryAddress((caller + i) % 2), "POST",
        "/minutes/draft-checks", body, {{"Banyan-Timeout-Ms", kTimeoutMs}});
    Note(drafts_, reply, body, MonotonicClock::now() - start);
    std::this_thread::sleep_for(kPause);
  }
}

int Load::SubmitJobs(const std::string& prefix,
                     int count,
                     std::int64_t run_ms) {
  int accepted = 0;
  for (int i = 0; i < count; ++i) {
    const std::string key = prefix + "-" + std::to_string(i);
    const json job = {{"key", key},
                      {"team", "minutes"},
                      {"kind", "packet"},
                      {"needs", {{"cpu_millis", 1000}, {"memory_mib", 1024}}},
                      {"declared_run_ms", run_ms}};
    const bool is_accepted = Cluster::WaitUntil(std::chrono::seconds(15), [&] {
      // The key makes a resend harmless.
      return Cluster::Call(cluster_.EntryAddress(i % 2), "POST", "/v1/jobs",
                           job.dump())
                 .status == 200;
    });
    if (is_accepted) {
      ++accepted;
      jobs_.push_back(key);
    }
  }
  return accepted;
}

bool Load::WaitForJobs(Duration bound) {
  return Cluster::WaitUntil(bound, [&] {
    const HttpReply reply = cluster_.Operate("GET", "/v1/status", "");
    if (reply.status != 200) {
      return false;
    }
    const json jobs = json::parse(reply.body).at("jobs");
    return jobs.value("finished", std::size_t{0}) == jobs_.size();
  });
}

void Load::VerifyBookings(LoadVerdict& verdict) {
  std::map<std::string, int> ran;
  for (const std::string& address : cluster_.endpoint_addresses()) {
    const HttpReply reply = Cluster::Call(address, "GET", "/ran", "");
    const json record = json::parse(reply.body);
    for (const auto& [body, times] : record.at("ran").items()) {
      ran[body] += times.get<int>();
    }
  }
  for (const auto& [key, outcome] : told_) {
    const auto found = ran.find(key);
    const int times = found == ran.end() ? 0 : found->second;
    verdict.doubled += times > 1 ? 1 : 0;
    verdict.lost += outcome == "ran" && times == 0 ? 1 : 0;
    verdict.ran_after_not_run += outcome == "not-run" && times > 0 ? 1 : 0;
  }
}

void Load::VerifyJobs(LoadVerdict& verdict) {
  std::map<std::string, std::vector<json>> runs;
  for (const std::string& address : cluster_.worker_addresses()) {
    const json history =
        json::parse(Cluster::Call(address, "GET", "/history", "").body);
    for (const json& run : history.at("runs")) {
      runs[run.at("job")].push_back(run);
    }
  }
  for (const std::string& key : jobs_) {
    std::vector<json>& job_runs = runs[key];
    std::sort(job_runs.begin(), job_runs.end(),
              [](const json& a, const json& b) {
                return a.at("started_us") < b.at("started_us");
              });
    int finished = 0;
    for (std::size_t i = 0; i < job_runs.size(); ++i) {
      finished += job_runs[i].at("finished") == true ? 1 : 0;
      if (i == 0) {
        continue;
      }
      ++verdict.evictions;
      const json& before = job_runs[i - 1];
      const bool is_overlap =
          before.at("ended_us") == 0 ||
          before.at("ended_us") > job_runs[i].at("started_us");
      verdict.overlaps += is_overlap ? 1 : 0;
      verdict.repeated_ms += std::max<std::int64_t>(
          0, before.at("to_ms").get<std::int64_t>() -
                 job_runs[i].at("from_ms").get<std::int64_t>());
    }
    verdict.jobs_finished += finished > 0 ? 1 : 0;
    verdict.jobs_unfinished += finished == 0 ? 1 : 0;
    verdict.doubled += finished > 1 ? 1 : 0;
  }
}

LoadVerdict Load::Verify() {
  LoadVerdict verdict;
  VerifyBookings(verdict);
  VerifyJobs(verdict);
  return verdict;
}

}  // namespace banyan
