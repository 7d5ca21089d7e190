#include "banyan/consensus/raft_core.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include "banyan/consensus/raft_events.h"
#include "banyan/wire/codec.h"

namespace banyan {
namespace {

// Maximum number of entries in one AppendRequest.
constexpr std::size_t kMaxAppendEntries = 512;
// An AppendRequest gets no further entry once its data reaches this size.
constexpr std::size_t kMaxAppendBytes = 1U << 20U;
// Maximum number of unacknowledged entries in flight to one member.
constexpr std::uint64_t kMaxInFlightEntries = 4096;
// Entries retained before a snapshot, so that members that lag slightly need no
// snapshot.
constexpr std::uint64_t kRetainedEntries = 1000;
// Maximum size of their data, unless the snapshot is larger. Beyond both, a
// snapshot is sent faster than the entries.
constexpr std::size_t kRetainedBytes = 4U << 20U;
// TakeOutputs() returns no further committed entry once their data reaches this
// size, or their number this one. A replica hears no message meanwhile.
constexpr std::size_t kMaxCommittedBytes = 64U << 10U;
constexpr std::size_t kMaxCommittedEntries = 128;
// Interval between join requests of a replica outside a cell.
constexpr Duration kJoinInterval = Millis(300);
// Maximum number of heartbeat rounds whose send times are stored.
constexpr std::size_t kMaxTrackedRounds = 128;

}  // namespace

RaftCore::RaftCore(RaftOptions options, RestoredLog restored, Time now)
    : options_(std::move(options)),
      log_(std::move(restored.snapshot), std::move(restored.entries)),
      hard_state_(std::move(restored.hard_state)),
      random_(options_.seed ^ options_.self.incarnation),
      health_(options_.self, options_.timings, now),
      heard_until_(now),
      contacts_(options_.configured_ids),
      next_join_request_(now) {
  commit_index_ = log_.snapshot().last_index;
  emitted_index_ = commit_index_;
  persisted_index_ = log_.last_index();
  // Before its restart this replica may have received a message from a leader
  // that still holds its lease, so it grants no vote for one election timeout.
  vote_allowed_at_ = now + options_.timings.election_timeout;
  ResetElectionDeadline(now);
  if (log_.snapshot().last_index > 0) {
    out_.installed_snapshot = log_.snapshot();
  }
}

bool RaftCore::IsSelfVoter() const noexcept {
  return IsVoter(log_.membership(), options_.self);
}

bool RaftCore::HasCommittedInCurrentTerm() const noexcept {
  return role_ == RaftRole::kLeader && commit_index_ >= term_start_index_;
}

std::vector<MemberId> RaftCore::OtherMembers() const {
  std::vector<MemberId> others;
  const Membership& membership = log_.membership();
  for (const auto* group : {&membership.voters, &membership.learners}) {
    for (const MemberId& member : *group) {
      if (member != options_.self) {
        others.push_back(member);
      }
    }
  }
  return others;
}

template <std::invocable<const RaftCore::Progress&> TimeOf>
Time RaftCore::MajorityTime(Time own_time, const TimeOf& time_of) const {
  std::vector<Time> times;
  for (const MemberId& voter : log_.membership().voters) {
    if (voter == options_.self) {
      times.push_back(own_time);
      continue;
    }
    const auto found = progress_.find(voter);
    times.push_back(found == progress_.end() ? Time{} : time_of(found->second));
  }
  if (times.empty()) {
    return Time{};
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[times.size() / 2];
}

bool RaftCore::HoldsLease(Time now) const {
  if (!HasCommittedInCurrentTerm() || is_transferring_) {
    return false;
  }
  const Duration lease =
      options_.timings.election_timeout - options_.timings.max_clock_drift;
  return MajorityTime(now, std::mem_fn(&Progress::acked_round_sent_at)) +
             lease >
         now;
}

bool RaftCore::IsFresh(Time now) const {
  if (role_ == RaftRole::kLeader) {
    return HoldsLease(now);
  }
  return !leader_.empty() && vote_allowed_at_ > now;
}

void RaftCore::ResetElectionDeadline(Time now) {
  const auto jitter_range =
      static_cast<std::uint64_t>(options_.timings.election_timeout.count());
  election_deadline_ = now + options_.timings.election_timeout +
                       Duration(random_.NextBelow(jitter_range));
}

void RaftCore::SetHardState(std::uint64_t term, const MemberId& voted_for) {
  const HardState next{term, voted_for};
  if (next == hard_state_) {
    return;
  }
  hard_state_ = next;
  pending_.hard_state = hard_state_;
}

bool RaftCore::IsTermOnDisk() const noexcept {
  return !pending_.hard_state && hard_state_seq_ <= persisted_seq_;
}

void RaftCore::Send(const MemberId& to, Message message) {
  out_.messages.push_back({to.id, std::move(message)});
}

void RaftCore::SendWhenPersisted(const MemberId& to, Message message) {
  // Anything that this step adds to the pending batch gets the next sequence
  // number.
  const std::uint64_t seq = pending_.empty() ? last_seq_ : last_seq_ + 1;
  if (seq <= persisted_seq_) {
    Send(to, std::move(message));
    return;
  }
  deferred_.push_back({seq, {to.id, std::move(message)}});
}

void RaftCore::OnPersisted(Time now, std::uint64_t seq) {
  const bool was_term_on_disk = IsTermOnDisk();
  persisted_seq_ = std::max(persisted_seq_, seq);
  while (!unpersisted_.empty() && unpersisted_.front().seq <= persisted_seq_) {
    persisted_index_ = unpersisted_.front().last_index;
    unpersisted_.pop_front();
  }
  while (!deferred_.empty() && deferred_.front().seq <= persisted_seq_) {
    out_.messages.push_back(std::move(deferred_.front().outbound));
    deferred_.pop_front();
  }
  if (!was_term_on_disk && IsTermOnDisk()) {
    OnTermPersisted(now);
  }
  if (role_ == RaftRole::kLeader) {
    CommitByMajority(now);
  }
}

void RaftCore::OnTermPersisted(Time now) {
  out_.events.push_back(
      TermPersistedEvent(hard_state_, now - hard_state_handed_out_at_));
  if (role_ == RaftRole::kLeader) {
    return;
  }
  // From now on the other votes of the term can arrive.
  ResetElectionDeadline(now);
  if (is_campaigning_) {
    votes_[options_.self] = true;
    CountVotes(now);
  }
}

void RaftCore::BecomeFollower(Time now,
                              std::uint64_t term,
                              const std::string& leader) {
  if (role_ == RaftRole::kLeader) {
    out_.events.push_back(Event(EventId::kLeaderStepped)
                              .With("term", hard_state_.term)
                              .With("newer_term", term)
                              .With("reason", "newer-term"));
  }
  if (term > hard_state_.term) {
    SetHardState(term, MemberId{});
  }
  role_ = RaftRole::kFollower;
  leader_ = leader;
  is_transferring_ = false;
  is_campaigning_ = false;
  votes_.clear();
  pre_votes_.clear();
  progress_.clear();
  ResetElectionDeadline(now);
}

void RaftCore::StepDown(Time now, std::string_view reason) {
  out_.events.push_back(Event(EventId::kLeaderStepped)
                            .With("term", hard_state_.term)
                            .With("reason", reason));
  role_ = RaftRole::kFollower;
  BecomeFollower(now, hard_state_.term, "");
}

void RaftCore::DateRequests() {
  if (!requested_at_ || heard_until_ < *requested_at_) {
    return;
  }
  for (auto& [member, progress] : progress_) {
    progress.contact.OnAsked(*requested_at_, heard_until_);
  }
  health_.OnMembersAsked(*requested_at_, heard_until_);
  requested_at_.reset();
}

void RaftCore::Tick(Time now, Time heard_until) {
  heard_until_ = std::max(heard_until_, heard_until);
  DateRequests();
  health_.Observe(
      heard_until_,
      {log_.membership(), role_ == RaftRole::kLeader, !leader_.empty()},
      out_.events);
  if (!HasMembership()) {
    TickNonMember(now);
    return;
  }
  if (role_ == RaftRole::kLeader) {
    TickLeader(now);
    return;
  }
  if (leader_.empty() || heard_until_ >= election_deadline_) {
    RequestAdmission(now);
    if (!IsSelfVoter()) {
      leader_.clear();
    }
  }
  if (IsSelfVoter()) {
    TickFollower(now);
  }
}

void RaftCore::TickFollower(Time now) {
  if (heard_until_ < election_deadline_) {
    return;
  }
  leader_.clear();
  // Without its vote on disk this replica can win no later term either.
  if (!IsTermOnDisk()) {
    return;
  }
  if (role_ == RaftRole::kCandidate) {
    out_.events.push_back(
        ElectionLapsedEvent({hard_state_.term, now - votes_requested_at_,
                             votes_, log_.membership(), IsTermOnDisk()}));
  }
  StartElection(now, true, false);
}

void RaftCore::TickNonMember(Time now) {
  if (heard_until_ >= election_deadline_) {
    leader_.clear();
  }
  RequestAdmission(now);
  BootstrapIfAllEmpty(now);
}

void RaftCore::RequestAdmission(Time now) {
  if (now < next_join_request_ || is_leaving_) {
    return;
  }
  next_join_request_ = now + kJoinInterval;
  JoinRequest request;
  request.empty = !HasMembership();
  for (const auto& [id, peer] : join_requests_) {
    request.seen.push_back(peer.first);
  }
  const std::set<std::string> contacts =
      contacts_.All(log_.membership(), options_.self.id);
  for (const std::string& id : contacts) {
    out_.messages.push_back({id, request});
  }
  if (!IsSelfVoter()) {
    health_.OnJoinRequested(now, {contacts.begin(), contacts.end()},
                            !request.empty, out_.events);
  }
}

void RaftCore::BootstrapIfAllEmpty(Time now) {
  const bool is_configured =
      std::find(options_.configured_ids.begin(), options_.configured_ids.end(),
                options_.self.id) != options_.configured_ids.end();
  if (HasMembership() || log_.last_index() > 0 || !options_.may_bootstrap ||
      !is_configured) {
    return;
  }
  Membership membership;
  for (const std::string& id : options_.configured_ids) {
    if (id == options_.self.id) {
      membership.voters.push_back(options_.self);
      continue;
    }
    const auto found = join_requests_.find(id);
    if (found == join_requests_.end() || !found->second.second.empty) {
      return;
    }
    const std::vector<MemberId>& seen = found->second.second.seen;
    if (std::find(seen.begin(), seen.end(), options_.self) == seen.end()) {
      return;
    }
    membership.voters.push_back(found->second.first);
  }
  std::sort(membership.voters.begin(), membership.voters.end());
  // All members write the same first entry, so their logs are identical.
  SetHardState(1, MemberId{});
  AppendEntry({1, 1, EntryKind::kMembership, Encode(membership)});
  ResetElectionDeadline(now);
  out_.events.push_back(
      Event(EventId::kClusterFormed).With("voters", membership.voters.size()));
}

void RaftCore::Handle(Time now,
                      const MemberId& from,
                      const JoinRequest& request) {
  const bool is_forwarded = !request.requester.id.empty();
  if (!HasMembership()) {
    if (is_forwarded) {
      return;
    }
    if (request.empty) {
      join_requests_[from.id] = {from, request};
    } else {
      join_requests_.erase(from.id);
    }
    BootstrapIfAllEmpty(now);
    return;
  }
  const MemberId& requester = is_forwarded ? request.requester : from;
  if (role_ == RaftRole::kLeader) {
    const bool is_member = IsVoter(log_.membership(), requester) ||
                           IsLearner(log_.membership(), requester);
    if (!is_member) {
      join_requests_[requester.id] = {requester, request};
      ReconcileMembership(now);
    }
    return;
  }
  if (is_forwarded) {
    return;
  }
  if (!leader_.empty() && leader_ != from.id) {
    // The requester may know neither the leader nor any replica that will lead.
    JoinRequest forwarded = request;
    forwarded.requester = from;
    out_.messages.push_back({leader_, std::move(forwarded)});
  }
  if (!request.empty) {
    return;
  }
  // The sender may be a member of the newly bootstrapped cell that has not
  // bootstrapped itself yet. It does so only once all members report an empty
  // log and have seen the sender, so this replica reports the state that it had
  // when it bootstrapped.
  const bool is_newly_bootstrapped =
      log_.last_index() == 1 && IsVoter(log_.membership(), from);
  JoinRequest reply;
  reply.empty = is_newly_bootstrapped;
  if (is_newly_bootstrapped) {
    reply.seen = log_.membership().voters;
  }
  Send(from, std::move(reply));
}

void RaftCore::StartElection(Time now, bool pre_vote, bool transfer) {
  ResetElectionDeadline(now);
  pre_votes_.clear();
  if (pre_vote) {
    role_ = RaftRole::kPreCandidate;
    pre_votes_[options_.self] = true;
  } else {
    role_ = RaftRole::kCandidate;
    is_campaigning_ = true;
    votes_.clear();
    SetHardState(hard_state_.term + 1, options_.self);
    votes_requested_at_ = now;
    out_.events.push_back(
        Event(EventId::kElectionStarted).With("term", hard_state_.term));
  }
  VoteRequest request;
  request.term = pre_vote ? hard_state_.term + 1 : hard_state_.term;
  request.pre_vote = pre_vote;
  request.transfer = transfer;
  request.last_index = log_.last_index();
  request.last_term = log_.last_term();
  // The votes of a term count only for the log with which they were asked for,
  // also after a restart.
  const bool is_log_on_disk = persisted_index_ == log_.last_index();
  silent_ = std::exchange(asked_, {});
  for (const MemberId& voter : log_.membership().voters) {
    if (voter == options_.self) {
      continue;
    }
    asked_.insert(voter);
    request.target = voter.incarnation;
    if (pre_vote || is_log_on_disk) {
      Send(voter, request);
    } else {
      SendWhenPersisted(voter, request);
    }
  }
  if (pre_vote) {
    CountPreVotes(now);
  }
}

void RaftCore::ForgetSilentVoters() {
  asked_.clear();
  silent_.clear();
}

bool RaftCore::IsUpToDate(const VoteRequest& request) const noexcept {
  if (request.last_term != log_.last_term()) {
    return request.last_term > log_.last_term();
  }
  return request.last_index >= log_.last_index();
}

void RaftCore::StandAside(Time now,
                          const MemberId& candidate,
                          const VoteRequest& request) {
  if (silent_.contains(candidate)) {
    return;
  }
  // No longer than the request for the vote should take.
  election_deadline_ =
      std::max(election_deadline_, now + options_.timings.election_timeout / 2);
  const bool has_newer_log = request.last_term != log_.last_term() ||
                             request.last_index != log_.last_index();
  if (role_ == RaftRole::kPreCandidate &&
      (has_newer_log || candidate < options_.self)) {
    role_ = RaftRole::kFollower;
    pre_votes_.clear();
  }
}

void RaftCore::Handle(Time now,
                      const MemberId& from,
                      const VoteRequest& request) {
  // The candidate's membership determines the voters, since it may be newer
  // than the one in this replica's log. Request.target makes sure that the
  // request is meant for this incarnation.
  if (!HasMembership()) {
    return;
  }
  const bool has_active_leader =
      now < vote_allowed_at_ || role_ == RaftRole::kLeader;
  if (has_active_leader && !request.transfer) {
    return;
  }
  if (request.pre_vote) {
    // The vote that is being written may still decide the present term.
    const bool granted = request.term > hard_state_.term && IsTermOnDisk() &&
                         IsUpToDate(request);
    if (granted) {
      StandAside(now, from, request);
    }
    Send(from,
         VoteReply{granted ? request.term : hard_state_.term, true, granted});
    return;
  }
  if (request.term > hard_state_.term) {
    BecomeFollower(now, request.term, "");
  }
  const bool can_vote_for_candidate =
      hard_state_.voted_for.id.empty() || hard_state_.voted_for == from;
  const bool granted = request.term == hard_state_.term &&
                       can_vote_for_candidate && role_ == RaftRole::kFollower &&
                       IsUpToDate(request);
  if (granted) {
    SetHardState(hard_state_.term, from);
    ResetElectionDeadline(now);
  }
  SendWhenPersisted(from, VoteReply{hard_state_.term, false, granted});
}

void RaftCore::Handle(Time now, const MemberId& from, const VoteReply& reply) {
  asked_.erase(from);
  silent_.erase(from);
  if (reply.term > hard_state_.term && !(reply.pre_vote && reply.granted)) {
    BecomeFollower(now, reply.term, "");
    return;
  }
  if (reply.pre_vote) {
    if (role_ == RaftRole::kPreCandidate &&
        reply.term == hard_state_.term + 1) {
      pre_votes_[from] = reply.granted;
      CountPreVotes(now);
    }
    return;
  }
  if (is_campaigning_ && reply.term == hard_state_.term) {
    votes_[from] = reply.granted;
    CountVotes(now);
  }
}

bool RaftCore::IsMajority(const std::map<MemberId, bool>& votes) const {
  const std::vector<MemberId>& voters = log_.membership().voters;
  const auto granted =
      std::count_if(voters.begin(), voters.end(), [&](const MemberId& voter) {
        const auto found = votes.find(voter);
        return found != votes.end() && found->second;
      });
  return static_cast<std::size_t>(granted) * 2 > voters.size();
}

void RaftCore::CountPreVotes(Time now) {
  if (role_ == RaftRole::kPreCandidate && IsMajority(pre_votes_)) {
    StartElection(now, false, false);
  }
}

void RaftCore::CountVotes(Time now) {
  // A candidate that restarts must not have led in a term in which it may still
  // vote for another one.
  if (is_campaigning_ && IsTermOnDisk() && IsMajority(votes_)) {
    BecomeLeader(now);
  }
}

void RaftCore::BecomeLeader(Time now) {
  ForgetSilentVoters();
  role_ = RaftRole::kLeader;
  leader_ = options_.self.id;
  is_transferring_ = false;
  is_campaigning_ = false;
  votes_.clear();
  pre_votes_.clear();
  removed_voter_ = MemberId{};
  progress_.clear();
  rounds_.clear();
  join_requests_.clear();
  for (const MemberId& other : OtherMembers()) {
    StartProgress(now, other);
  }
  watch_.Reset();
  term_start_index_ = log_.last_index() + 1;
  AppendEntry({hard_state_.term, term_start_index_, EntryKind::kCommand,
               Encode(LoggedCommand{})});
  next_heartbeat_ = now;
  out_.events.push_back(
      Event(EventId::kLeaderElected)
          .With("term", hard_state_.term)
          .With("election_ms", ToMillis(now - votes_requested_at_)));
  TickLeader(now);
}

void RaftCore::TickLeader(Time now) {
  const Duration check_quorum_timeout = options_.timings.election_timeout * 2;
  const auto silent_since = [this](const Progress& progress) {
    return SilentSince(progress);
  };
  if (MajorityTime(heard_until_, silent_since) + check_quorum_timeout <
      heard_until_) {
    StepDown(now, "quorum-silent");
    return;
  }
  if (is_transferring_ && now >= transfer_deadline_) {
    // The successor may still start its election, so this leader must not hold
    // a lease again in this term.
    StepDown(now, "transfer-expired");
    return;
  }
  if (is_leaving_ && !is_transferring_) {
    TransferLeadership(now);
  }
  if (now < next_heartbeat_) {
    return;
  }
  next_heartbeat_ = now + options_.timings.heartbeat_interval;
  ++heartbeat_round_;
  rounds_.push_back({heartbeat_round_, now});
  if (rounds_.size() > kMaxTrackedRounds) {
    rounds_.pop_front();
  }
  for (const MemberId& other : OtherMembers()) {
    SendAppend(other, progress_[other]);
  }
  if (!requested_at_) {
    requested_at_ = now;
  }
  ReconcileMembership(now);
  const std::vector<MemberStatus> others = StatusOfOthers(now);
  watch_.Observe(heard_until_,
                 {log_.membership(), others, membership_options(),
                  LossesBorne(heard_until_), options_.losses_required,
                  options_.timings.catch_up},
                 out_.events);
}

void RaftCore::AppendEntry(LogEntry entry) {
  pending_.entries.push_back(entry);
  log_.Append(std::move(entry));
  must_replicate_ = true;
}

std::optional<std::uint64_t> RaftCore::Propose(Time now, std::string data) {
  if (role_ != RaftRole::kLeader || is_transferring_ || IsHandingOver(now)) {
    return std::nullopt;
  }
  const std::uint64_t index = log_.last_index() + 1;
  AppendEntry({hard_state_.term, index, EntryKind::kCommand, std::move(data)});
  return index;
}

void RaftCore::ProposeMembership(Time now, const MembershipChange& change) {
  Membership next = change.next;
  std::sort(next.voters.begin(), next.voters.end());
  out_.events.push_back(MemberChangedEvent(next, change));
  const bool is_removal = change.kind == MembershipChangeKind::kRemoveVoter;
  if (is_removal) {
    std::move(out_.events.back())
        .With("silent_ms",
              ToMillis(health_.Silence(heard_until_, change.member)));
  } else if (change.kind == MembershipChangeKind::kPromoteLearner) {
    const Progress& progress = progress_[change.member];
    std::move(out_.events.back())
        .With("learner_ms", ToMillis(now - progress.added_at))
        .With("lag", LagOf(progress));
  }
  AppendEntry({hard_state_.term, log_.last_index() + 1, EntryKind::kMembership,
               Encode(next)});
  removed_voter_ = is_removal ? change.member : MemberId{};
}

void RaftCore::NotifyRemovedVoter() {
  const auto removed = progress_.find(removed_voter_);
  if (removed != progress_.end()) {
    SendAppend(removed_voter_, removed->second);
  }
  removed_voter_ = MemberId{};
}

void RaftCore::StartProgress(Time now, const MemberId& member) {
  Progress& progress = progress_[member];
  progress = Progress{};
  progress.next = log_.last_index() + 1;
  progress.contact = Contact(now);
  progress.added_at = now;
  progress.advanced_at = now;
  progress.rounds =
      CatchUpRounds(now, log_.last_index(), options_.timings.election_timeout);
}

bool RaftCore::IsCaughtUp(Time now, const Progress& progress) const {
  const RaftTimings& timings = options_.timings;
  const bool is_overdue = progress.added_at + timings.member_patience() <= now;
  const bool advances = progress.advanced_at + timings.voter_silence() > now;
  return progress.rounds.KeepsUp(now) || (is_overdue && advances);
}

std::vector<MemberStatus> RaftCore::StatusOfOthers(Time now) {
  std::vector<MemberStatus> statuses;
  for (const MemberId& other : OtherMembers()) {
    const Progress& progress = progress_[other];
    MemberStatus status;
    status.member = other;
    status.silent_since = SilentSince(progress);
    status.has_replied = progress.has_replied;
    status.is_caught_up = IsCaughtUp(now, progress);
    status.is_leaving = progress.is_leaving;
    status.added_at = progress.added_at;
    status.lag = LagOf(progress);
    statuses.push_back(std::move(status));
  }
  return statuses;
}

void RaftCore::ReconcileMembership(Time now) {
  const bool can_change_membership =
      HasCommittedInCurrentTerm() && log_.membership_index() <= commit_index_;
  if (!can_change_membership) {
    return;
  }
  std::vector<MemberId> joining;
  for (const auto& [id, peer] : join_requests_) {
    joining.push_back(peer.first);
  }
  const auto change =
      PlanMembershipChange(log_.membership(), StatusOfOthers(now), joining,
                           membership_options(), heard_until_);
  if (!change) {
    return;
  }
  if (change->kind == MembershipChangeKind::kAddLearner) {
    join_requests_.erase(change->member.id);
    StartProgress(now, change->member);
  }
  ProposeMembership(now, *change);
}

MembershipOptions RaftCore::membership_options() const {
  const Duration silence = options_.timings.voter_silence();
  return {options_.timings.election_timeout / 2, silence,
          std::max(options_.timings.catch_up, silence * 2),
          options_.odd_voters};
}

std::uint64_t RaftCore::LearnerLag() const {
  std::uint64_t lag = 0;
  for (const MemberId& learner : log_.membership().learners) {
    const auto found = progress_.find(learner);
    if (found != progress_.end()) {
      lag = std::max(lag, LagOf(found->second));
    }
  }
  return lag;
}

void RaftCore::Replicate(Time now) {
  if (!must_replicate_ || role_ != RaftRole::kLeader) {
    must_replicate_ = false;
    return;
  }
  must_replicate_ = false;
  for (const MemberId& other : OtherMembers()) {
    Progress& progress = progress_[other];
    if (!progress.is_probing && progress.next <= log_.last_index()) {
      SendAppend(other, progress);
    }
  }
  CommitByMajority(now);
}

void RaftCore::SendAppend(const MemberId& to, Progress& progress) {
  const std::uint64_t from =
      progress.probe ? progress.probe->end : progress.next;
  const auto prev_term = log_.TermAt(from - 1);
  if (!prev_term) {
    SendInstall(to, progress);
    return;
  }
  AppendRequest request;
  request.target = to.incarnation;
  request.term = hard_state_.term;
  request.prev_index = from - 1;
  request.prev_term = *prev_term;
  request.commit = commit_index_;
  request.round = heartbeat_round_;
  if (!progress.probe &&
      progress.next <= progress.match + kMaxInFlightEntries) {
    request.entries =
        log_.Slice(progress.next, kMaxAppendEntries, kMaxAppendBytes);
  }
  if (!progress.is_probing) {
    progress.next += request.entries.size();
  } else if (!request.entries.empty()) {
    progress.probe = Probe{heartbeat_round_, from + request.entries.size()};
  }
  Send(to, std::move(request));
}

void RaftCore::SendInstall(const MemberId& to, Progress& progress) {
  const Snapshot& snapshot = log_.snapshot();
  InstallSnapshot request;
  request.target = to.incarnation;
  request.term = hard_state_.term;
  request.last_index = snapshot.last_index;
  request.last_term = snapshot.last_term;
  request.round = heartbeat_round_;
  request.membership = snapshot.membership;
  request.state = snapshot.state;
  progress.next = snapshot.last_index + 1;
  progress.is_probing = true;
  progress.probe = Probe{heartbeat_round_, progress.next};
  Send(to, std::move(request));
}

void RaftCore::FollowLeader(Time now,
                            const MemberId& from,
                            std::uint64_t term) {
  if (term > hard_state_.term || role_ != RaftRole::kFollower ||
      leader_ != from.id) {
    BecomeFollower(now, term, from.id);
  }
  ForgetSilentVoters();
  ResetElectionDeadline(now);
  vote_allowed_at_ = now + options_.timings.election_timeout;
}

void RaftCore::Handle(Time now,
                      const MemberId& from,
                      const AppendRequest& request) {
  if (request.term < hard_state_.term) {
    SendWhenPersisted(from, AppendReply{hard_state_.term, false,
                                        log_.last_index(), 0, 0, false});
    return;
  }
  FollowLeader(now, from, request.term);
  AppendReply reply;
  reply.term = hard_state_.term;
  reply.round = request.round;
  reply.prev_index = request.prev_index;
  reply.leaving = is_leaving_;
  const auto term = log_.TermAt(request.prev_index);
  const bool is_compacted = request.prev_index < log_.base_index();
  if (!is_compacted && (!term || *term != request.prev_term)) {
    reply.match_index = LastIndexToTry(request);
    SendWhenPersisted(from, reply);
    return;
  }
  AcceptEntries(request.entries);
  reply.success = true;
  reply.match_index = request.prev_index + request.entries.size();
  AdvanceCommit(std::min(request.commit, reply.match_index));
  // Acknowledges at once what is already on disk, so that a slow disk write
  // does not cost the leader its lease.
  if (IsTermOnDisk()) {
    AppendReply confirmation = reply;
    confirmation.match_index = std::min(reply.match_index, persisted_index_);
    Send(from, confirmation);
  }
  if (!IsTermOnDisk() || reply.match_index > persisted_index_) {
    SendWhenPersisted(from, reply);
  }
}

std::uint64_t RaftCore::LastIndexToTry(const AppendRequest& request) const {
  std::uint64_t index = std::min(log_.last_index(), request.prev_index - 1);
  const auto conflicting = log_.TermAt(request.prev_index);
  while (conflicting && index > commit_index_ &&
         log_.TermAt(index) == conflicting) {
    --index;
  }
  return index;
}

void RaftCore::AcceptEntries(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (entry.index <= log_.base_index()) {
      continue;
    }
    const auto term = log_.TermAt(entry.index);
    if (term && *term == entry.term) {
      continue;
    }
    if (term) {
      TruncateLogFrom(entry.index);
    }
    pending_.entries.push_back(entry);
    log_.Append(entry);
  }
}

void RaftCore::TruncateLogFrom(std::uint64_t index) {
  log_.TruncateFrom(index);
  std::erase_if(pending_.entries,
                [&](const LogEntry& old) { return old.index >= index; });
  pending_.truncate_from = pending_.truncate_from == 0
                               ? index
                               : std::min(pending_.truncate_from, index);
  ClampPersistedIndexBelow(index);
}

void RaftCore::ClampPersistedIndexBelow(std::uint64_t index) {
  persisted_index_ = std::min(persisted_index_, index - 1);
  for (UnpersistedBatch& batch : unpersisted_) {
    batch.last_index = std::min(batch.last_index, index - 1);
  }
}

void RaftCore::Handle(Time now,
                      const MemberId& from,
                      const AppendReply& reply) {
  if (reply.term > hard_state_.term) {
    BecomeFollower(now, reply.term, "");
    return;
  }
  const auto found = progress_.find(from);
  if (role_ != RaftRole::kLeader || reply.term != hard_state_.term ||
      found == progress_.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.contact.OnAnswered(now);
  progress.has_replied = true;
  progress.is_leaving = reply.leaving;
  for (const HeartbeatRound& round : rounds_) {
    if (round.number == reply.round) {
      progress.acked_round_sent_at =
          std::max(progress.acked_round_sent_at, round.sent);
    }
  }
  if (!reply.success) {
    HandleAppendRejection(from, progress, reply);
    return;
  }
  const bool has_advanced = reply.match_index > progress.match;
  if (has_advanced) {
    progress.advanced_at = now;
  }
  progress.match = std::max(progress.match, reply.match_index);
  progress.next = std::max(progress.next, progress.match + 1);
  if (const auto probe = std::exchange(progress.probe, std::nullopt)) {
    progress.next = std::max(progress.next, probe->end);
  }
  progress.is_probing = false;
  progress.rounds.OnMatch(now, progress.match, log_.last_index(),
                          options_.timings.election_timeout);
  CommitByMajority(now);
  // What was committed may have removed the member.
  const auto member = progress_.find(from);
  if (member != progress_.end() && has_advanced &&
      member->second.next <= log_.last_index()) {
    SendAppend(from, member->second);
  }
}

bool RaftCore::IsStaleRejection(const Progress& progress,
                                const AppendReply& reply) {
  if (reply.prev_index <= progress.match) {
    return true;
  }
  if (!progress.is_probing) {
    return false;
  }
  const bool is_of_next = reply.prev_index + 1 == progress.next;
  if (!progress.probe) {
    return !is_of_next;
  }
  const Probe& probe = *progress.probe;
  if (reply.round > probe.round) {
    return reply.prev_index + 1 != probe.end;
  }
  // A snapshot is not rejected, so this answers a request before it.
  const bool is_snapshot = probe.end == progress.next;
  return reply.round < probe.round || is_snapshot || !is_of_next;
}

void RaftCore::HandleAppendRejection(const MemberId& from,
                                     Progress& progress,
                                     const AppendReply& reply) {
  if (IsStaleRejection(progress, reply)) {
    return;
  }
  progress.is_probing = true;
  progress.probe.reset();
  progress.next = std::max(reply.match_index, progress.match) + 1;
  SendAppend(from, progress);
}

void RaftCore::CommitByMajority(Time now) {
  std::vector<std::uint64_t> matches;
  for (const MemberId& voter : log_.membership().voters) {
    if (voter == options_.self) {
      matches.push_back(persisted_index_);
      continue;
    }
    const auto found = progress_.find(voter);
    matches.push_back(found == progress_.end() ? 0 : found->second.match);
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const std::uint64_t index = matches[matches.size() / 2];
  if (index <= commit_index_ || log_.TermAt(index) != hard_state_.term) {
    return;
  }
  const bool was_changing = log_.membership_index() > commit_index_;
  AdvanceCommit(index);
  if (was_changing && log_.membership_index() <= commit_index_) {
    NotifyRemovedVoter();
    // A former member that was sent the log any longer would take itself for a
    // member and not ask for its admission.
    std::erase_if(progress_, [&](const auto& entry) {
      return !IsVoter(log_.membership(), entry.first) &&
             !IsLearner(log_.membership(), entry.first);
    });
    // A removal and the promotion that follows it should be close together.
    ReconcileMembership(now);
  }
}

void RaftCore::AdvanceCommit(std::uint64_t to) {
  commit_index_ = std::max(commit_index_, std::min(to, log_.last_index()));
}

void RaftCore::Handle(Time now,
                      const MemberId& from,
                      const InstallSnapshot& request) {
  if (request.term < hard_state_.term) {
    SendWhenPersisted(from, AppendReply{hard_state_.term, false,
                                        log_.last_index(), 0, 0, false});
    return;
  }
  FollowLeader(now, from, request.term);
  if (request.last_index > commit_index_) {
    Snapshot snapshot{request.last_index, request.last_term, request.membership,
                      request.state};
    pending_.entries.clear();
    pending_.truncate_from = 1;
    pending_.snapshot = snapshot;
    log_.Reset(snapshot);
    ClampPersistedIndexBelow(1);
    commit_index_ = request.last_index;
    emitted_index_ = request.last_index;
    out_.committed.clear();
    out_.installed_snapshot = std::move(snapshot);
    out_.events.push_back(
        Event(EventId::kSnapshotInstalled).With("index", commit_index_));
  }
  AppendReply reply;
  reply.term = hard_state_.term;
  reply.success = true;
  reply.match_index = request.last_index;
  reply.round = request.round;
  reply.leaving = is_leaving_;
  SendWhenPersisted(from, reply);
}

void RaftCore::Handle(Time now,
                      const MemberId& from,
                      const TimeoutNow& request) {
  if (request.term == hard_state_.term && leader_ == from.id && IsSelfVoter()) {
    StartElection(now, false, true);
  }
}

void RaftCore::TransferLeadership(Time now) {
  if (role_ != RaftRole::kLeader) {
    return;
  }
  const MemberId* successor = nullptr;
  for (const auto& [member, progress] : progress_) {
    const bool is_candidate = IsVoter(log_.membership(), member) &&
                              !progress.is_leaving &&
                              progress.match == log_.last_index();
    if (is_candidate && (successor == nullptr ||
                         progress.contact.answered_at() >
                             progress_[*successor].contact.answered_at())) {
      successor = &member;
    }
  }
  if (successor == nullptr) {
    return;
  }
  is_transferring_ = true;
  transfer_deadline_ = now + options_.timings.election_timeout;
  Send(*successor, TimeoutNow{hard_state_.term});
}

void RaftCore::Leave(Time now) {
  if (!is_leaving_) {
    is_leaving_ = true;
    leave_deadline_ = now + options_.timings.election_timeout * 2;
  }
  TransferLeadership(now);
}

bool RaftCore::IsHandingOver(Time now) const {
  return now < leave_deadline_ && log_.membership().voters.size() > 1;
}

bool RaftCore::MustStay(Time now) const {
  const Membership& membership = log_.membership();
  const std::size_t voters = membership.voters.size();
  if (role_ == RaftRole::kLeader) {
    return voters > 1;
  }
  // A cell of two with a learner is about to become one of three.
  const bool is_replacing = voters == 2 && !membership.learners.empty();
  return now < leave_deadline_ && IsSelfVoter() &&
         (ShrinksMajority(voters) || is_replacing);
}

std::optional<Snapshot> RaftCore::SnapshotMetadataAt(
    std::uint64_t applied_index) const {
  const auto term = log_.TermAt(applied_index);
  if (!term || applied_index > commit_index_ ||
      log_.membership_index() > applied_index) {
    return std::nullopt;
  }
  return Snapshot{applied_index, *term, log_.membership(), ""};
}

void RaftCore::Compact(Snapshot snapshot) {
  if (snapshot.last_index <= log_.snapshot().last_index) {
    return;
  }
  const std::uint64_t keep_after =
      log_.StartOfLast(snapshot.last_index, kRetainedEntries,
                       std::max(kRetainedBytes, snapshot.state.size()));
  out_.events.push_back(
      Event(EventId::kSnapshotTaken).With("index", snapshot.last_index));
  log_.Compact(std::move(snapshot), keep_after);
}

void RaftCore::Receive(Time now, const Sender& from, const Message& message) {
  const MemberId member{from.id, from.incarnation};
  std::visit(
      [&](const auto& body) {
        using T = std::decay_t<decltype(body)>;
        constexpr bool kIsRaftMessage =
            std::is_same_v<T, VoteRequest> || std::is_same_v<T, VoteReply> ||
            std::is_same_v<T, AppendRequest> ||
            std::is_same_v<T, AppendReply> ||
            std::is_same_v<T, InstallSnapshot> ||
            std::is_same_v<T, TimeoutNow> || std::is_same_v<T, JoinRequest>;
        if constexpr (kIsRaftMessage) {
          // A message for an earlier incarnation of this replica shows as well
          // that its sender runs.
          health_.OnHeard(now, member, log_.membership());
        }
        if constexpr (requires { body.target; }) {
          if (body.target != options_.self.incarnation) {
            // The sender still has this replica's lost data folder as a member.
            contacts_.OnMisaddressed(from.id);
            return;
          }
        }
        if constexpr (std::is_same_v<T, CellReferral>) {
          contacts_.OnReferral(from.id, body);
        }
        if constexpr (kIsRaftMessage) {
          Handle(now, member, body);
        }
      },
      message);
}

RaftOutputs RaftCore::TakeOutputs(Time now) {
  Replicate(now);
  if (!pending_.empty()) {
    pending_.seq = ++last_seq_;
    if (pending_.hard_state) {
      hard_state_seq_ = last_seq_;
      hard_state_handed_out_at_ = now;
    }
    unpersisted_.push_back({last_seq_, log_.last_index()});
    out_.persists.push_back(std::move(pending_));
    pending_ = PersistBatch{};
  }
  std::size_t bytes = 0;
  while (HasMoreCommitted() && bytes < kMaxCommittedBytes &&
         out_.committed.size() < kMaxCommittedEntries) {
    ++emitted_index_;
    out_.committed.push_back(log_.At(emitted_index_));
    bytes += out_.committed.back().data.size();
  }
  return std::exchange(out_, RaftOutputs{});
}

}  // namespace banyan
