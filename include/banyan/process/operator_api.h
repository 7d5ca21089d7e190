#ifndef BANYAN_PROCESS_OPERATOR_API_H_
#define BANYAN_PROCESS_OPERATOR_API_H_

#include <optional>
#include <string>
#include <string_view>

#include "banyan/base/error_kind.h"
#include "banyan/base/time.h"
#include "banyan/fwd.h"
#include "banyan/net/http.h"
#include "banyan/wire/command.h"

namespace banyan {

// Parses a job submission from JSON. On failure returns nullopt and sets
// `reason`.
[[nodiscard]] std::optional<SubmitJob> ParseSubmitJob(std::string_view body,
                                                      Reason& reason);

// Parses an operator command from the URL path and the JSON body. On failure
// returns nullopt and sets `reason`.
[[nodiscard]] std::optional<LoggedCommand> ParseCommand(std::string_view path,
                                                        std::string_view body,
                                                        Reason& reason);

// Returns the HTTP reply for the result of a command.
[[nodiscard]] HttpReply CommandReplyFor(const CommandResult& result);

// Answers a GET from the state of this replica, which may be out of date.
[[nodiscard]] HttpReply AnswerQuery(const ControlCore& core,
                                    const std::string& path,
                                    Time now);

}  // namespace banyan

#endif  // BANYAN_PROCESS_OPERATOR_API_H_
