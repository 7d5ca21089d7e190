#include "banyan/graph/cell_link.h"

#include <algorithm>
#include <utility>

namespace banyan {
namespace {

// Time limit for a replica to answer or to accept a connection: several times
// the round trip including a disk write on a slow machine.
constexpr Duration kAnswerTimeout = Millis(800);

// Appends the addresses that the list does not contain.
void AddMissing(const std::vector<std::string>& addresses,
                std::vector<std::string>& list) {
  for (const std::string& address : addresses) {
    if (std::find(list.begin(), list.end(), address) == list.end()) {
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

void CellLink::AddSeeds(const std::vector<std::string>& seeds) {
  AddMissing(seeds, seeds_);
}

void CellLink::SetMembers(const std::vector<std::string>& members) {
  members_ = members;
}

void CellLink::OnUp(Time now, const std::string& id) {
  if (id == current_) {
    is_connected_ = true;
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
  // Seeds that are not members come after the members, in case all known
  // members are gone.
  std::vector<std::string> candidates = members_;
  AddMissing(seeds_, candidates);
  is_connected_ = false;
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
