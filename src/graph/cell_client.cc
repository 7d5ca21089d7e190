#include "banyan/graph/cell_client.h"

#include <algorithm>
#include <utility>

namespace banyan {
namespace {

// Interval between an entry's heartbeats to its replica.
constexpr Duration kStatusInterval = Millis(500);
// Delay before a call is retried that was rejected for lack of a leader.
constexpr Duration kNoLeaderRetryDelay = Millis(100);
// Delay before an unanswered call is retried.
constexpr Duration kNoAnswerRetryDelay = Millis(900);
// How long a call waits while no replica with a live leader is reachable. A
// successful election takes less.
constexpr Duration kUnreachableTimeout = Millis(500);
// How long a replica's confirmation that its leader is live stays valid.
constexpr Duration kFreshnessPeriod = Millis(1500);
// Time without a fresh replica after which new submissions are refused. A
// successful election takes less.
constexpr Duration kCellLossTimeout = Millis(500);
// When the caller of a refused submission may return.
constexpr std::int64_t kCellLossRetryAfterMs = 1000;

}  // namespace

void CellClient::Open(Time now,
                      std::uint64_t ticket,
                      CellCall call,
                      Time deadline) {
  Call& entry = calls_[ticket];
  entry.body = std::move(call);
  entry.deadline = deadline;
  entry.unreachable_at = now + kUnreachableTimeout;
  entry.retry_at = now;
  if (IsUnsentSubmission(entry) && HasLostCell()) {
    FailCall(ticket, entry);
    calls_.erase(ticket);
    return;
  }
  if (link_.connected() && now < std::min(deadline, end_)) {
    Send(now, ticket, entry);
  }
}

bool CellClient::HasLostCell() const noexcept {
  return stale_since_ && *stale_since_ + kCellLossTimeout <= heard_until_ &&
         !IsFresh(heard_until_);
}

bool CellClient::IsUnsentSubmission(const Call& call) {
  const auto* command = std::get_if<Command>(&call.body);
  return call.first_seq == 0 && command != nullptr &&
         std::holds_alternative<SubmitGraph>(*command);
}

void CellClient::Send(Time now, std::uint64_t ticket, Call& call) {
  const std::uint64_t seq = next_seq_++;
  if (call.first_seq == 0) {
    call.first_seq = seq;
  }
  sends_[seq] = ticket;
  call.pending.insert(seq);
  call.retry_at = now + kNoAnswerRetryDelay;
  if (const auto* command = std::get_if<Command>(&call.body)) {
    CommandRequest request;
    request.seq = seq;
    request.command.command = *command;
    out_.to_control.emplace_back(std::move(request));
  } else {
    CellQuery query = std::get<CellQuery>(call.body);
    query.seq = seq;
    out_.to_control.emplace_back(std::move(query));
  }
}

void CellClient::OnUp(Time now, const std::string& id) {
  link_.OnUp(now, id);
  if (id != link_.current()) {
    return;
  }
  // An offer of the replica before may have come after it was left.
  plans_.OnDisconnected();
  confirmed_replica_.clear();
  connection_seq_ = next_seq_;
  next_status_at_ = now;
  for (auto& [ticket, call] : calls_) {
    if (now < std::min(call.deadline, end_)) {
      Send(now, ticket, call);
    }
  }
}

void CellClient::OnDown(Time now, const std::string& id) {
  if (id == link_.current()) {
    connection_seq_ = next_seq_;
    plans_.OnDisconnected();
    confirmed_replica_.clear();
  }
  link_.OnDown(now, id);
}

void CellClient::Receive(Time now, const Message& message) {
  if (const auto* reply = std::get_if<CommandReply>(&message)) {
    OnCommandReply(now, *reply);
  } else if (const auto* ack = std::get_if<EntryStatusAck>(&message)) {
    // A replica that is cut off from its leader counts as not answering.
    if (ack->fresh) {
      link_.OnAnswer();
      fresh_until_ = now + kFreshnessPeriod;
      stale_since_.reset();
      if (link_.connected()) {
        confirmed_replica_ = link_.current();
      }
    } else {
      link_.OnStaleAnswer();
      confirmed_replica_.clear();
    }
  } else if (const auto* update = std::get_if<PlanUpdate>(&message)) {
    if (update->plan.version > plans_.held()) {
      plans_.OnWhole(update->plan.version);
      out_.plan = update->plan;
    }
  } else if (const auto* offer = std::get_if<PlanOffer>(&message)) {
    plans_.OnOffer(now, *offer);
  } else if (const auto* part = std::get_if<PlanPart>(&message)) {
    if (plans_.OnPart(now, *part)) {
      link_.OnProgress(now);
    }
  } else if (const auto* members = std::get_if<CellMembers>(&message)) {
    link_.SetMembers(members->addresses);
  } else if (const auto* referral = std::get_if<CellReferral>(&message)) {
    OnReferral(now, link_.current(), *referral);
  }
}

void CellClient::OnReferral(Time now,
                            const std::string& from,
                            const CellReferral& referral) {
  const std::string previous = link_.current();
  if (link_.IsRefusal(from)) {
    RetractRequests(now);
  }
  if (link_.OnReferral(now, from, referral)) {
    DropReplica(previous);
  }
}

void CellClient::OnSeeds(Time now, const std::vector<std::string>& seeds) {
  const std::string previous = link_.current();
  if (link_.AddSeeds(now, seeds)) {
    DropReplica(previous);
  }
}

void CellClient::DropReplica(const std::string& replica) {
  out_.drop = replica;
  connection_seq_ = next_seq_;
  plans_.OnDisconnected();
  confirmed_replica_.clear();
}

void CellClient::RetractRequests(Time now) {
  // Requests of this turn have not left the process yet.
  out_.to_control.clear();
  for (auto it = sends_.lower_bound(connection_seq_); it != sends_.end();) {
    const auto [seq, ticket] = *it;
    it = sends_.erase(it);
    const auto found = calls_.find(ticket);
    if (found == calls_.end()) {
      continue;
    }
    Call& call = found->second;
    call.pending.erase(seq);
    call.retry_at = now;
    if (call.first_seq >= connection_seq_) {
      call.first_seq = 0;
    }
  }
}

void CellClient::OnCommandReply(Time now, const CommandReply& reply) {
  const auto send = sends_.find(reply.seq);
  if (send == sends_.end()) {
    return;
  }
  const std::uint64_t ticket = send->second;
  sends_.erase(send);
  const auto found = calls_.find(ticket);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  call.pending.erase(reply.seq);
  const bool is_not_accepted =
      !reply.result.ok && reply.result.error == ErrorKind::kNotLeader;
  const bool is_outcome_unknown =
      !reply.result.ok && reply.result.error == ErrorKind::kNoQuorum;
  if (is_not_accepted || is_outcome_unknown) {
    call.is_uncertain = call.is_uncertain || is_outcome_unknown;
    call.last_error_text = reply.result.text;
    call.retry_at = now + kNoLeaderRetryDelay;
    return;
  }
  const bool is_refusal =
      !reply.result.ok && reply.result.error == ErrorKind::kOverloaded;
  if (is_refusal && (call.is_uncertain || !call.pending.empty())) {
    // An earlier request may still be accepted, so the refusal of this one does
    // not settle the call.
    call.is_uncertain = true;
    call.last_error_text = reply.result.text;
    return;
  }
  for (const std::uint64_t seq : call.pending) {
    sends_.erase(seq);
  }
  out_.answers.push_back({ticket, reply.result});
  calls_.erase(found);
}

void CellClient::FailCall(std::uint64_t ticket, const Call& call) {
  const bool is_query = std::holds_alternative<CellQuery>(call.body);
  CommandResult result;
  result.error = is_query || (call.pending.empty() && !call.is_uncertain)
                     ? ErrorKind::kNoQuorum
                     : ErrorKind::kUnknownOutcome;
  result.text = call.last_error_text.empty() ? "the control cell did not answer"
                                             : call.last_error_text;
  if (IsUnsentSubmission(call)) {
    result.retry_after_ms = kCellLossRetryAfterMs;
  }
  out_.answers.push_back({ticket, std::move(result)});
  for (const std::uint64_t seq : call.pending) {
    sends_.erase(seq);
  }
}

void CellClient::Tick(Time now, Time heard_until) {
  heard_until_ = std::max(heard_until_, heard_until);
  if (IsFresh(heard_until_)) {
    stale_since_.reset();
  } else if (!stale_since_) {
    stale_since_ = heard_until_;
  }
  const bool has_lost_cell = HasLostCell();
  for (auto it = calls_.begin(); it != calls_.end();) {
    // Without a replica that has a live leader the call can't be served. Fail
    // it early, so that the caller can retry before its own deadline.
    const bool is_unreachable =
        it->second.unreachable_at <= heard_until_ && !IsFresh(heard_until_);
    const Time deadline = std::min(it->second.deadline, end_);
    if (deadline <= now || is_unreachable ||
        (has_lost_cell && IsUnsentSubmission(it->second))) {
      FailCall(it->first, it->second);
      it = calls_.erase(it);
      continue;
    }
    // The answer to a request that is pending may be unread.
    const Time retried_by = it->second.pending.empty() ? now : heard_until_;
    if (it->second.retry_at <= retried_by && link_.connected()) {
      Send(now, it->first, it->second);
    }
    ++it;
  }
  if (link_.connected() && next_status_at_ <= now) {
    next_status_at_ = now + kStatusInterval;
    out_.to_control.emplace_back(
        EntryStatus{next_seq_++, plans_.held(), delivery_});
    link_.OnSent(now);
  }
  plans_.Tick(now, heard_until_);
  const std::string previous = link_.current();
  if (link_.Tick(now, heard_until_)) {
    DropReplica(previous);
  }
}

CellClientOutputs CellClient::TakeOutputs() {
  for (const PlanRequest& request : plans_.TakeRequests()) {
    out_.to_control.emplace_back(request);
  }
  if (auto plan = plans_.TakePlan()) {
    out_.plan = std::move(plan);
  }
  out_.events = plans_.TakeEvents();
  return std::exchange(out_, CellClientOutputs{});
}

}  // namespace banyan
