// The worker agent and the incarnation that follows the current one.

#include <algorithm>
#include <utility>

#include "banyan/graph/unknown_leases.h"
#include "banyan/graph/worker_agent.h"

namespace banyan {
namespace {

// Delay before a worker is asked again which incarnation it is.
constexpr Duration kIdentityRetryDelay = Millis(200);
// Maximum number of earlier incarnations that are remembered and whose ends are
// kept; more restarts than this without an answer of the leader mean an outage
// of many seconds.
constexpr std::size_t kMaxEarlierIncarnations = 8;

}  // namespace

void WorkerAgent::HoldSuccessor(Time now, const WorkerReport& report) {
  const WorkerIncarnation& life = report.info.life;
  if (successor_ && successor_->report.info.life == life) {
    if (successor_->report.sequence < report.sequence) {
      successor_->report = report;
    }
    return;
  }
  const bool is_asking = successor_ && successor_->is_asking;
  successor_ = Successor{report, now, now, is_asking};
  out_.events.push_back(Event(EventId::kSuccessorReported)
                            .With("worker", life.id)
                            .With("born", life.started_at_ms)
                            .With("sequence", report.sequence)
                            .With("current", info_->life.id)
                            .With("current_born", info_->life.started_at_ms)
                            .With("reachable", is_reachable_ ? 1 : 0));
}

void WorkerAgent::AskWorker(Time now) {
  if (!successor_ || successor_->is_asking || successor_->ask_at > now) {
    return;
  }
  successor_->is_asking = true;
  RunCall call = MakeCall(RunCallOp::kIdentify, RunRef{});
  call.lease_until_ms.reset();
  SendOrder(std::move(call));
}

std::optional<std::string_view> WorkerAgent::EvidenceOfEnd(
    Time now,
    const WorkerIncarnation& successor) const {
  if (is_denied_ &&
      denied_by_.value_or(successor.started_at_ms) == successor.started_at_ms) {
    return "the worker answers as another incarnation";
  }
  if (has_left_) {
    return "it has left";
  }
  if (!is_reachable_ && LeaseEnd() <= now) {
    return "its lease has run out";
  }
  return std::nullopt;
}

Time WorkerAgent::LeaseEnd() const noexcept {
  return std::max(lease_deadline_ + MaxClockLag(max_lease_),
                  unknown_lease_end_);
}

bool WorkerAgent::AwaitsCommit() const noexcept {
  return inherited_end_ > last_committed_end_ && !must_fence_ &&
         !must_settle_stops_;
}

void WorkerAgent::AddInheritedEnds(WorkerSync& final_sync) const {
  if (final_sync.info.life.id != info_->life.id) {
    return;
  }
  std::vector<EndedRun> ended;
  for (const auto& [number, row] : ended_) {
    if (row.reason == RunEndReason::kDone) {
      ended.push_back({0, row.run, row.reason, row.checkpoint});
    }
  }
  // The first end of a run counts, and one as done has to.
  final_sync.ended.insert(final_sync.ended.begin(), ended.begin(), ended.end());
}

bool WorkerAgent::TryReplace(Time now) {
  if (!successor_) {
    return false;
  }
  const WorkerReport report = successor_->report;
  const WorkerIncarnation& incarnation = report.info.life;
  const auto evidence = EvidenceOfEnd(now, incarnation);
  const bool is_unconfirmed = list_count_ == 0 && !is_denied_;
  if (!evidence && !is_unconfirmed) {
    return false;
  }
  out_.events.push_back(
      Event(EventId::kWorkerReplaced)
          .With("worker", incarnation.id)
          .With("born", incarnation.started_at_ms)
          .With("earlier", info_->life.id)
          .With("earlier_born", info_->life.started_at_ms)
          .With("running", running_.size())
          .With("ended", ended_.size())
          .With("committed", last_committed_end_)
          .With("reason", evidence.value_or("it never answered")));
  *this = WorkerAgent(
      std::move(*this).NextIncarnation(incarnation, evidence.has_value()));
  Follow(now, report);
  return true;
}

void WorkerAgent::CheckIdentity(Time now, const RunCallReply& reply) {
  const bool is_denial =
      reply.answered && reply.refusal == RunRefusal::kOtherIncarnation;
  if (is_denial) {
    is_denied_ = true;
    denied_by_ = reply.answering_start_ms;
  }
  if (!successor_) {
    return;
  }
  if (reply.op == RunCallOp::kIdentify) {
    successor_->is_asking = false;
    successor_->ask_at = now + kIdentityRetryDelay;
  }
  if (is_denial && TryReplace(now)) {
    return;
  }
  // Other calls may be refused before the incarnation is compared.
  const bool is_confirmation =
      reply.answered && reply.refusal == RunRefusal::kNone &&
      (reply.op == RunCallOp::kIdentify || reply.op == RunCallOp::kListRuns);
  if ((is_denial || is_confirmation) &&
      reply.sent_at >= successor_->reported_at) {
    const WorkerIncarnation& life = successor_->report.info.life;
    out_.events.push_back(
        Event(EventId::kSuccessorRefuted)
            .With("worker", life.id)
            .With("born", life.started_at_ms)
            .With("current", info_->life.id)
            .With("current_born", info_->life.started_at_ms)
            .With("answering_born", reply.answering_start_ms.value_or(0))
            .With("age_ms", ToMillis(now - successor_->reported_at)));
    successor_.reset();
  }
}

WorkerAgent WorkerAgent::NextIncarnation(const WorkerIncarnation& successor,
                                         bool has_ended) && {
  // A wall clock that stepped back between the two makes the successor's start
  // the earlier one.
  const bool has_earlier_start =
      successor.started_at_ms < info_->life.started_at_ms;
  // The worker never was an incarnation that it has not answered as.
  const bool is_unfounded = has_earlier_start && list_count_ == 0;
  // A worker that announced its end has not crashed.
  std::vector<RunCrash> crashed;
  if (has_ended && !departure_ && !info_->draining && !is_unfounded) {
    crashed = crash_observer_.Evidence();
  }
  for (const RunCrash& crash : crashed) {
    LogCrash(crash);
  }
  WorkerAgent next(max_lease_);
  if (successor.id == info_->life.id) {
    // Calls name the worker by its id alone, so a start that was sent to this
    // incarnation may be carried out by the next one.
    for (const auto& [run, pending_start] : pending_starts_) {
      if (pending_start.is_in_flight) {
        next.pending_stops_.try_emplace(run);
      }
    }
    for (const auto& [run, at] : confirmed_starts_) {
      next.pending_stops_.try_emplace(run);
    }
    for (const auto& [run, until] : unanswered_starts_) {
      next.pending_stops_.try_emplace(run);
    }
    next.unanswered_starts_ = std::move(unanswered_starts_);
    next.must_settle_stops_ = !next.pending_stops_.empty();
    next.is_unfenced_ = true;
  }
  // An earlier incarnation is admitted only after the removal of this one.
  if (has_ended && (!ended_.empty() || !crashed.empty() || has_earlier_start)) {
    is_reachable_ = false;
    final_syncs_.push_back(MakeSync());
    final_syncs_.back().crashed = std::move(crashed);
    if (final_syncs_.size() > kMaxEarlierIncarnations) {
      out_.events.push_back(
          Event(EventId::kWorkerEndsDiscarded)
              .With("worker", final_syncs_.front().info.life.id)
              .With("born", final_syncs_.front().info.life.started_at_ms)
              .With("ended", final_syncs_.front().ended.size()));
      final_syncs_.pop_front();
    }
  }
  next.denied_incarnations_ = std::move(denied_incarnations_);
  if (is_denied_) {
    next.denied_incarnations_.push_back(info_->life);
    if (next.denied_incarnations_.size() > kMaxEarlierIncarnations) {
      next.denied_incarnations_.pop_front();
    }
  }
  next.final_syncs_ = std::move(final_syncs_);
  next.fence_ = fence_;
  next.fence_.BeginIncarnation();
  next.orders_in_flight_ = orders_in_flight_;
  next.next_seq_ = next_seq_;
  next.out_ = std::move(out_);
  return next;
}

}  // namespace banyan
