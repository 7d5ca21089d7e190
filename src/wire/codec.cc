#include "banyan/wire/codec.h"

#include <utility>

#include "src/wire/from_cbor.h"
#include "src/wire/json_types.h"

namespace banyan {
namespace {

using nlohmann::json;

std::string ToCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

}  // namespace

std::string Encode(const Envelope& envelope) {
  return ToCbor({envelope.sender.id, envelope.sender.incarnation,
                 VariantToJson(envelope.message)});
}

std::string Encode(const Message& message) {
  return ToCbor(VariantToJson(message));
}

std::string Encode(const LoggedCommand& command) {
  return ToCbor(json(command));
}

std::string Encode(const Membership& membership) {
  return ToCbor(json(membership));
}

std::optional<Envelope> DecodeEnvelope(std::string_view bytes, Reason& reason) {
  return FromCbor<Envelope>(bytes, reason,
                            [](const json& value, Envelope& out) {
                              value.at(0).get_to(out.sender.id);
                              value.at(1).get_to(out.sender.incarnation);
                              VariantFromJson(value.at(2), out.message);
                            });
}

std::optional<Message> DecodeMessage(std::string_view bytes, Reason& reason) {
  return FromCbor<Message>(bytes, reason, [](const json& value, Message& out) {
    VariantFromJson(value, out);
  });
}

std::optional<LoggedCommand> DecodeCommand(std::string_view bytes,
                                           Reason& reason) {
  return FromCbor<LoggedCommand>(
      bytes, reason,
      [](const json& value, LoggedCommand& out) { value.get_to(out); });
}

std::optional<Membership> DecodeMembership(std::string_view bytes,
                                           Reason& reason) {
  return FromCbor<Membership>(
      bytes, reason,
      [](const json& value, Membership& out) { value.get_to(out); });
}

}  // namespace banyan
