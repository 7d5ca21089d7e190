#ifndef BANYAN_WIRE_CODEC_H_
#define BANYAN_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "banyan/base/error_kind.h"
#include "banyan/wire/message.h"

namespace banyan {

// Encodes an envelope as CBOR.
[[nodiscard]] std::string Encode(const Envelope& envelope);

// Encodes a message as CBOR, without its sender.
[[nodiscard]] std::string Encode(const Message& message);

// Encodes the payload of an entry of the replicated log.
[[nodiscard]] std::string Encode(const LoggedCommand& command);
[[nodiscard]] std::string Encode(const Membership& membership);

// Decode CBOR. On failure they return nullopt and set `reason` to kBadMessage
// for malformed bytes or to kUnknownMessage for an unknown message type.
[[nodiscard]] std::optional<Envelope> DecodeEnvelope(std::string_view bytes,
                                                     Reason& reason);
[[nodiscard]] std::optional<Message> DecodeMessage(std::string_view bytes,
                                                   Reason& reason);
[[nodiscard]] std::optional<LoggedCommand> DecodeCommand(std::string_view bytes,
                                                         Reason& reason);
[[nodiscard]] std::optional<Membership> DecodeMembership(std::string_view bytes,
                                                         Reason& reason);

}  // namespace banyan

#endif  // BANYAN_WIRE_CODEC_H_
