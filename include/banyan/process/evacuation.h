#ifndef BANYAN_PROCESS_EVACUATION_H_
#define BANYAN_PROCESS_EVACUATION_H_

#include "banyan/base/time.h"
#include "banyan/net/http.h"
#include "banyan/process/control_process.h"
#include "banyan/wire/command.h"

namespace banyan {

// How long an operator's call may take.
struct OperatorDeadlines {
  // When the caller gives up and sends the same order to another instance.
  Time caller;
  // When the call has to be answered.
  Time answer;
};

// Starts or ends the evacuation of a data centre for an operator. An order that
// its caller has given up, or that another change overtakes on its way to the
// log, changes nothing: its caller has sent it again since, and may have sent
// newer ones. Returns kDeadline if the caller has given up.
[[nodiscard]] CommandResult ChangeEvacuation(
    const HttpCall& call,
    const CellCallFunction& cell,
    SetEvacuated order,
    const OperatorDeadlines& deadlines);

}  // namespace banyan

#endif  // BANYAN_PROCESS_EVACUATION_H_
