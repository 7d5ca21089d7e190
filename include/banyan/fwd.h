#ifndef BANYAN_FWD_H_
#define BANYAN_FWD_H_

// Forward declarations of the main types, for headers that refer to them only
// by name.

namespace banyan {

class AgentCore;
class ControlCore;
class ControlState;
class EndpointGuard;
class EndpointPool;
class Event;
class Metrics;
class PeerNetwork;
class RaftCore;
class RaftLog;
class RaftStorage;
class SettingsReader;
class TaskRunner;
class Transport;

struct CommandResult;
struct HttpCall;
struct HttpReply;
struct InstanceInfo;
struct JobSpec;
struct LoggedCommand;
struct Preset;
struct Reason;
struct Resources;
struct SubmitJob;

}  // namespace banyan

#endif  // BANYAN_FWD_H_
