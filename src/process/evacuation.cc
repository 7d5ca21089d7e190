#include "banyan/process/evacuation.h"

#include <utility>

#include "banyan/events/event.h"

namespace banyan {
namespace {

CommandResult Failure(ErrorKind kind, std::string text) {
  CommandResult result;
  result.error = kind;
  result.text = std::move(text);
  return result;
}

// Logs that an order is not carried out, and returns that result.
CommandResult AbandonOrder(const HttpCall& call, Time now) {
  const Time arrived_at = call.arrived_at.value_or(now);
  WriteEvent(Event(EventId::kOrderAbandoned)
                 .With("method", call.method)
                 .With("path", call.path)
                 .With("age_ms", ToMillis(now - arrived_at)));
  return Failure(ErrorKind::kDeadline, "the caller has given up");
}

}  // namespace

CommandResult ChangeEvacuation(const HttpCall& call,
                               const CellCallFunction& cell,
                               SetEvacuated order,
                               const OperatorDeadlines& deadlines) {
  CellQuery query;
  query.kind = CellQueryKind::kEvacuations;
  while (true) {
    const CommandResult known = cell(query, deadlines.caller);
    // The order is at most as old as the number of changes that it names.
    const Time now = MonotonicClock::now();
    if (call.IsAbandoned(now, deadlines.caller)) {
      return AbandonOrder(call, now);
    }
    if (!known.ok) {
      // An unanswered reading has changed nothing.
      return known.error == ErrorKind::kUnknownOutcome
                 ? Failure(ErrorKind::kNoQuorum, known.text)
                 : known;
    }
    order.expected_changes = known.version;
    CommandResult result = cell(Command(order), deadlines.answer);
    if (result.ok || result.error != ErrorKind::kStale) {
      return result;
    }
  }
}

}  // namespace banyan
