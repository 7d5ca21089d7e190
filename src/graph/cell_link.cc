#include "banyan/graph/cell_link.h"

#include <algorithm>
#include <utility>

namespace banyan {
namespace {

// Time limit for a replica to answer or to accept a connection: several times
// the round trip including a disk write on a slow machine.
constexpr Duration kAnswerTimeout = Millis(800);

// Most seeds, and most replicas that other processes have named, that are
// known.
constexpr std::size_t kMaxKnown = 16;

bool Contains(const std::vector<std::string>& list,
              const std::string& address) {
  return std::find(list.begin(), list.end(), address) != list.end();
}

// Appends the addresses that the list does not contain.
void AddMissing(const std::vector<std::string>& addresses,
                std::vector<std::string>& list) {
  for (const std::string& address : addresses) {
    if (!Contains(list, address)) {
      list.push_back(address);
    }
  }
}

}  // namespace

CellLink::CellLink(std::vector<std::string> seeds, std::uint64_t seed)
    : seeds_(std::move(seeds)), position_(seed), wait_(kAnswerTimeout) {
  if (!seeds_.empty()) {
    current_ = seeds_[position_ % seeds_.size()];
  }
}

bool CellLink::AddSeeds(Time now, const std::vector<std::string>& seeds) {
  const std::vector<std::string> unknown = Note(seeds, seeds_);
  if (has_answered_ || unknown.empty()) {
    return false;
  }
  Select(now, "new seeds", unknown.front());
  return true;
}

void CellLink::SetMembers(const std::vector<std::string>& members) {
  members_ = members;
}

std::vector<std::string> CellLink::Candidates() const {
  // Each group in turn, in case all addresses of another one are gone.
  std::vector<std::string> candidates;
  const std::size_t most =
      std::max({members_.size(), referred_.size(), seeds_.size()});
  for (std::size_t i = 0; i < most; ++i) {
    for (const auto* group : {&members_, &referred_, &seeds_}) {
      if (i < group->size()) {
        AddMissing({(*group)[i]}, candidates);
      }
    }
  }
  return candidates;
}

std::vector<std::string> CellLink::Note(
    const std::vector<std::string>& addresses,
    std::vector<std::string>& list) {
  std::vector<std::string> added;
  for (const std::string& address : addresses) {
    if (added.size() < kMaxKnown && !Contains(list, address) &&
        !Contains(added, address)) {
      added.push_back(address);
    }
  }
  // Processes that are told the same addresses begin with different ones.
  if (!added.empty()) {
    std::rotate(
        added.begin(),
        added.begin() + static_cast<std::ptrdiff_t>(position_ % added.size()),
        added.end());
  }
  const std::vector<std::string> known = Candidates();
  // Listed addresses keep their places, so that each gets its turn.
  list.insert(list.begin(), added.begin(), added.end());
  list.resize(std::min(list.size(), kMaxKnown));
  std::erase_if(added, [&](const std::string& address) {
    return address == current_ || Contains(known, address);
  });
  return added;
}

bool CellLink::OnReferral(Time now,
                          const std::string& from,
                          const CellReferral& referral) {
  const bool is_refusal = IsRefusal(from);
  if (referral.addresses.empty()) {
    is_connected_ = is_connected_ && !is_refusal;
    return false;
  }
  const std::vector<std::string> choice = Note(referral.addresses, referred_);
  if (is_refusal && choice.empty()) {
    // All that it names is known, so that the next one is due: to go back to
    // what it names would leave out the others.
    const std::vector<std::string> candidates = Candidates();
    if (candidates == std::vector<std::string>{current_}) {
      return false;
    }
    Switch(now, "referred");
    return true;
  }
  if (!is_refusal &&
      (has_answered_ || Contains(referral.addresses, current_))) {
    return false;
  }
  if (choice.empty()) {
    ++position_;
    Select(now, "referred",
           referral.addresses[position_ % referral.addresses.size()]);
    return true;
  }
  Select(now, "referred", choice.front());
  return true;
}

void CellLink::Select(Time now,
                      std::string_view reason,
                      const std::string& next) {
  Switch(now, reason);
  current_ = next;
  switch_->to = current_;
}

void CellLink::OnUp(Time now, const std::string& id) {
  if (id == current_) {
    is_connected_ = true;
    has_answered_ = false;
    is_awaiting_answer_ = false;
    is_stale_ = false;
    waiting_since_ = now;
    wait_.Begin(now);
  }
}

void CellLink::OnDown(Time now, const std::string& id) {
  if (id == current_ && is_connected_) {
    Switch(now, "the connection was lost");
  }
}

void CellLink::OnSent(Time now) {
  if (!is_awaiting_answer_) {
    is_awaiting_answer_ = true;
    waiting_since_ = now;
    wait_.Begin(now);
  }
}

void CellLink::OnAnswer() {
  has_answered_ = true;
  is_awaiting_answer_ = false;
  is_stale_ = false;
}

void CellLink::OnStaleAnswer() {
  is_stale_ = true;
}

void CellLink::OnProgress(Time now) {
  if (is_awaiting_answer_ && !is_stale_) {
    wait_.Begin(now);
  }
}

bool CellLink::Tick(Time now, Time heard_until) {
  if (!wait_.has_begun()) {
    waiting_since_ = now;
    wait_.Begin(now);
  }
  const bool is_timed_out =
      (!is_connected_ || is_awaiting_answer_) && wait_.IsOver(now, heard_until);
  if (is_timed_out) {
    Switch(now, is_connected_ ? "no answer" : "no connection");
  }
  return is_timed_out;
}

void CellLink::Switch(Time now, std::string_view reason) {
  const std::vector<std::string> candidates = Candidates();
  is_connected_ = false;
  has_answered_ = false;
  is_awaiting_answer_ = false;
  is_stale_ = false;
  switch_ = ReplicaSwitch{current_, "", reason, now - waiting_since_};
  waiting_since_ = now;
  wait_.Begin(now);
  if (candidates.empty()) {
    return;
  }
  const auto current_entry =
      std::find(candidates.begin(), candidates.end(), current_);
  if (current_entry != candidates.end()) {
    current_ = current_entry + 1 == candidates.end() ? candidates.front()
                                                     : *(current_entry + 1);
  } else {
    current_ = candidates[position_ % candidates.size()];
  }
  switch_->to = current_;
}

}  // namespace banyan
