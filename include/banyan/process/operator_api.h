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

// Reads a job submission from JSON.
[[nodiscard]] std::optional<SubmitJob> ParseSubmitJob(std::string_view body,
                                                      Reason& reason);

// Reads an operator's command from its path and JSON body.
[[nodiscard]] std::optional<LoggedCommand> ParseCommand(std::string_view path,
                                                        std::string_view body,
                                                        Reason& reason);

// Returns the HTTP answer to a command.
[[nodiscard]] HttpReply CommandReplyFor(const CommandResult& result);

// Answers a GET from what this replica knows.
[[nodiscard]] HttpReply AnswerQuery(const ControlCore& core,
                                    const std::string& path,
                                    Time now);

}  // namespace banyan

#endif  // BANYAN_PROCESS_OPERATOR_API_H_
