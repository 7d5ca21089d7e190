#ifndef BANYAN_SRC_WIRE_FROM_CBOR_H_
#define BANYAN_SRC_WIRE_FROM_CBOR_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "banyan/base/error_kind.h"
#include "src/wire/json_types.h"

namespace banyan {

// Parses CBOR and converts it with `read`. Returns nullopt and sets `reason` on
// failure.
template <typename T, typename Reader>
std::optional<T> FromCbor(std::string_view bytes,
                          Reason& reason,
                          const Reader& read) {
  try {
    const nlohmann::json value = ParseCbor(bytes);
    T out;
    read(value, out);
    return out;
  } catch (const UnknownTypeError& error) {
    reason = {ErrorKind::kUnknownMessage, error.what(), {}};
  } catch (const InvalidValueError& error) {
    reason = {ErrorKind::kBadMessage, error.what(), {}};
  } catch (const nlohmann::json::exception& error) {
    reason = {ErrorKind::kBadMessage, error.what(), {}};
  }
  return std::nullopt;
}

}  // namespace banyan

#endif  // BANYAN_SRC_WIRE_FROM_CBOR_H_
