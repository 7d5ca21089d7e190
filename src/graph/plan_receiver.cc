#include "banyan/graph/plan_receiver.h"

#include <algorithm>

#include "banyan/wire/plan_codec.h"

namespace banyan {
namespace {

// Most bytes on their way: what a link of 2 Mbit/s carries in 66 ms, several
// times a round trip, so that the link stays busy and other messages wait
// little.
constexpr std::uint64_t kWindowBytes = std::uint64_t{16} << 10U;
// Time without a part after which the request is repeated. Connections deliver
// what was sent on them, so only a replica that has dropped it needs this. Also
// the time until a plan that can't be read is fetched again.
constexpr Duration kAnswerTimeout = Millis(1000);

}  // namespace

void PlanReceiver::OnDisconnected() {
  if (requested_until_ && transfer_->size) {
    events_.push_back(Event(EventId::kPlanInterrupted)
                          .With("version", transfer_->version)
                          .With("received", transfer_->bytes.size())
                          .With("bytes", *transfer_->size));
  }
  offered_ = 0;
  requests_.clear();
  StopWaiting();
}

void PlanReceiver::StopWaiting() {
  requested_until_.reset();
  answer_deadline_ = Time::max();
}

void PlanReceiver::OnOffer(Time now, const PlanOffer& offer) {
  offered_ = offer.version;
  if (transfer_ && offer.missing == transfer_->version) {
    // Another replica may have the version, or this one later, unless it has
    // been replaced already.
    StopWaiting();
    if (offered_ > transfer_->version) {
      transfer_.reset();
    }
  }
  const std::uint64_t wanted = transfer_ ? transfer_->version : held_ + 1;
  if (offered_ >= wanted && !requested_until_) {
    Begin(now);
  }
}

void PlanReceiver::Begin(Time now) {
  if (!transfer_) {
    if (now < next_begin_at_) {
      return;
    }
    transfer_ = Transfer{offered_, std::nullopt, 0, "", now, 0};
  }
  ++transfer_->connections;
  RequestAhead(now);
}

bool PlanReceiver::OnPart(Time now, const PlanPart& part) {
  if (!requested_until_ || part.version != transfer_->version ||
      part.bytes.empty() || part.bytes.size() > part.size ||
      part.offset > part.size - part.bytes.size()) {
    return false;
  }
  const bool is_other_encoding =
      transfer_->size &&
      (part.size != *transfer_->size || part.checksum != transfer_->checksum);
  if (is_other_encoding) {
    // Another build may encode the same plan to other bytes.
    transfer_->size.reset();
    transfer_->bytes.clear();
    StopWaiting();
    RequestAhead(now);
    return false;
  }
  if (part.offset != transfer_->bytes.size()) {
    return false;
  }
  transfer_->size = part.size;
  transfer_->checksum = part.checksum;
  transfer_->bytes += part.bytes;
  answer_deadline_ = now + kAnswerTimeout;
  if (transfer_->bytes.size() == *transfer_->size) {
    Finish(now);
  } else {
    RequestAhead(now);
  }
  return true;
}

void PlanReceiver::OnWhole(std::uint64_t version) {
  held_ = std::max(held_, version);
  if (transfer_ && transfer_->version <= held_) {
    transfer_.reset();
    StopWaiting();
  }
}

void PlanReceiver::RequestAhead(Time now) {
  const std::uint64_t received = transfer_->bytes.size();
  const std::uint64_t from = requested_until_.value_or(received);
  std::uint64_t until = received + kWindowBytes;
  if (transfer_->size) {
    until = std::min(until, *transfer_->size);
  }
  // Half of the window at a time, which halves the requests.
  const bool is_last = transfer_->size && until == *transfer_->size;
  if (until <= from || (until - from < kWindowBytes / 2 && !is_last)) {
    return;
  }
  requests_.push_back({transfer_->version, from, until - from});
  requested_until_ = until;
  answer_deadline_ = now + kAnswerTimeout;
}

void PlanReceiver::Finish(Time now) {
  const Transfer done = *std::exchange(transfer_, std::nullopt);
  StopWaiting();
  Reason reason;
  std::optional<ServicePlan> plan;
  if (PlanChecksum(done.bytes) == done.checksum) {
    plan = DecodePlan(done.bytes, reason);
  } else {
    reason = {ErrorKind::kBadMessage, "the checksum of a plan is wrong", {}};
  }
  if (!plan || plan->version != done.version) {
    next_begin_at_ = now + kAnswerTimeout;
    events_.push_back(Event(EventId::kPeerMessageRefused)
                          .With("version", done.version)
                          .With("bytes", done.bytes.size())
                          .With("reason", reason.text));
    return;
  }
  held_ = done.version;
  events_.push_back(Event(EventId::kPlanReceived)
                        .With("version", done.version)
                        .With("bytes", done.bytes.size())
                        .With("connections", done.connections)
                        .With("took_ms", ToMillis(now - done.began_at)));
  plan_ = std::move(plan);
  if (offered_ > held_) {
    Begin(now);
  }
}

void PlanReceiver::Tick(Time now, Time heard_until) {
  if (answer_deadline_ <= heard_until) {
    StopWaiting();
    RequestAhead(now);
  }
}

}  // namespace banyan
