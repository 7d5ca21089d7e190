#include "banyan/graph/reservation.h"

#include <set>

namespace banyan {
namespace {

// Percentage from which on the progress of a run says when it ends. Progress is
// reported in whole per cent each half second.
constexpr std::int64_t kMinTellingPercent = 10;
constexpr double kWhole = 100;

Duration RoundedMillis(double ms) {
  return Millis(static_cast<std::int64_t>(ms));
}

}  // namespace

Time ExpectedEndOfRun(const RunView& run,
                      const RunTimeEstimate& estimate,
                      bool has_checkpoint,
                      Time now) {
  if (run.share_percent <= 0) {
    return Time::max();
  }
  const auto percent = static_cast<double>(run.row.percent);
  const double share = static_cast<double>(run.share_percent) / kWhole;
  if (run.row.percent >= kMinTellingPercent && !has_checkpoint) {
    const auto reported_after =
        static_cast<double>(ToMillis(run.progressed_at - run.listed_at));
    const double total_ms = reported_after * kWhole / percent;
    return std::max(now, run.listed_at + RoundedMillis(total_ms));
  }
  // The work that is left, after what was done since the run was listed.
  const double cautious_ms = CautiousRunTimeMs(estimate);
  const double done_ms =
      std::max(cautious_ms * percent / kWhole,
               share * static_cast<double>(ToMillis(now - run.listed_at)));
  return now + RoundedMillis(std::max(0.0, cautious_ms - done_ms) / share);
}

void RemoveEnded(CandidateWorker& projected,
                 const StepSpec& step,
                 const InterferenceModel& model) {
  projected.free += ReservedResources(step);
  projected.idle_cpu_millis += step.needs.cpu_millis;
  if (!step.best_effort) {
    return;
  }
  const auto neighbour =
      std::find_if(projected.best_effort.begin(), projected.best_effort.end(),
                   [&](const BestEffortNeighbour& other) {
                     return other.image == step.image;
                   });
  if (neighbour != projected.best_effort.end()) {
    projected.best_effort.erase(neighbour);
    projected.exploring_tasks -=
        IsUncertain(projected, step.image, model) ? 1 : 0;
  }
}

void Reservations::DropLapsed(Time now, const GraphTable& table) {
  now_ = now;
  searches_ = 0;
  std::erase_if(holds_, [&](const auto& item) {
    const auto& [worker, hold] = item;
    if (!table.ready_graphs().contains(hold.graph)) {
      LogBroken(worker, hold, "nothing-waits");
      return true;
    }
    if (hold.due + kReservationGrace <= now) {
      LogBroken(worker, hold, "late");
      paused_until_.insert_or_assign(hold.graph, now + kReservationPause);
      return true;
    }
    return false;
  });
  std::erase_if(paused_until_, [&](const auto& item) {
    return item.second <= now || !table.ready_graphs().contains(item.first);
  });
}

void Reservations::Mark(std::map<std::string, CandidateWorker>& candidates) {
  std::erase_if(holds_, [&](const auto& item) {
    if (candidates.contains(item.first)) {
      return false;
    }
    LogBroken(item.first, item.second, "worker-gone");
    return true;
  });
  for (const auto& [worker, hold] : holds_) {
    candidates.at(worker).hold = &hold;
  }
}

bool Reservations::MayReserve(const std::string& graph, Time since) const {
  if (since + kReserveAfter > now_ || searches_ >= kMaxReservationSearches ||
      paused_until_.contains(graph)) {
    return false;
  }
  std::set<std::string_view> graphs;
  for (const auto& [worker, hold] : holds_) {
    graphs.insert(hold.graph);
  }
  return !graphs.contains(graph) && graphs.size() < kMaxReservingGraphs;
}

std::size_t Reservations::Quota(
    std::string_view service,
    const std::map<std::string, CandidateWorker>& candidates) {
  std::size_t workers = 0;
  std::size_t reserved = 0;
  for (const auto& [id, candidate] : candidates) {
    if (candidate.worker->info.service == service) {
      ++workers;
      reserved += candidate.hold != nullptr ? 1 : 0;
    }
  }
  const std::size_t quota = workers / kReservedPoolDivisor;
  return quota - std::min(quota, reserved);
}

void Reservations::Make(const std::string& graph,
                        const Standing& standing,
                        std::size_t limit,
                        std::vector<DueWorker> found) {
  std::sort(found.begin(), found.end(),
            [](const DueWorker& a, const DueWorker& b) {
              return std::tie(a.due, a.candidate->worker->info.life.id) <
                     std::tie(b.due, b.candidate->worker->info.life.id);
            });
  found.resize(std::min(found.size(), limit));
  if (found.empty()) {
    paused_until_.insert_or_assign(graph, now_ + kSearchPause);
    return;
  }
  std::string workers;
  for (const DueWorker& worker : found) {
    const std::string& id = worker.candidate->worker->info.life.id;
    worker.candidate->hold =
        &holds_.insert_or_assign(id, WorkerHold{graph, standing, worker.due})
             .first->second;
    workers += (workers.empty() ? "" : ",") + id;
  }
  events_.push_back(
      Event(EventId::kReservationMade)
          .With("request", graph)
          .With("workers", workers)
          .With("due_ms", ToMillis(found.front().due - now_))
          .With("last_due_ms", ToMillis(found.back().due - now_)));
}

void Reservations::OnPlaced(
    std::span<const RunPlacement> placed,
    std::map<std::string, CandidateWorker>& candidates) {
  for (const RunPlacement& placement : placed) {
    const auto held = holds_.find(placement.worker.id);
    if (held == holds_.end() ||
        held->second.graph != placement.run.task.graph) {
      continue;
    }
    events_.push_back(
        Event(EventId::kReservationUsed)
            .With("request", held->second.graph)
            .With("worker", held->first)
            .With("past_due_ms", ToMillis(now_ - held->second.due)));
    candidates.at(held->first).hold = nullptr;
    holds_.erase(held);
  }
}

void Reservations::LogBroken(const std::string& worker,
                             const WorkerHold& hold,
                             std::string_view reason) {
  events_.push_back(Event(EventId::kReservationBroken)
                        .With("request", hold.graph)
                        .With("worker", worker)
                        .With("past_due_ms", ToMillis(now_ - hold.due))
                        .With("reason", reason));
}

}  // namespace banyan
