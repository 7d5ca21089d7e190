#ifndef BANYAN_SRC_WIRE_CBOR_H_
#define BANYAN_SRC_WIRE_CBOR_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

// Thrown for well-formed input that no writer of this system produces.
struct InvalidValueError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Returns whether the bytes begin with a CBOR value without tags and with
// lengths stated in advance, nested at most `max_depth` levels deep.
[[nodiscard]] inline bool IsShallowCbor(std::string_view bytes,
                                        std::size_t max_depth) {
  constexpr unsigned kArgumentBits = 5;
  constexpr unsigned kArgumentMask = 0x1f;
  // Larger values stand for the number of bytes that the argument takes.
  constexpr unsigned kMaxInlineArgument = 23;
  constexpr unsigned kMaxArgument = 27;
  constexpr unsigned kBitsPerByte = 8;
  enum : unsigned { kBytes = 2, kText = 3, kArray = 4, kMap = 5, kTag = 6 };
  // Values left to read in each open array or map.
  std::vector<std::uint64_t> open;
  do {
    if (bytes.empty()) {
      return false;
    }
    const auto head = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    const unsigned type = head >> kArgumentBits;
    std::uint64_t argument = head & kArgumentMask;
    if (type == kTag || argument > kMaxArgument) {
      return false;
    }
    if (argument > kMaxInlineArgument) {
      const std::size_t size = std::size_t{1}
                               << (argument - kMaxInlineArgument - 1);
      if (bytes.size() < size) {
        return false;
      }
      argument = 0;
      for (const char byte : bytes.substr(0, size)) {
        argument = argument << kBitsPerByte | static_cast<unsigned char>(byte);
      }
      bytes.remove_prefix(size);
    }
    if (type >= kBytes && type <= kMap && argument > bytes.size()) {
      return false;
    }
    if (type == kBytes || type == kText) {
      bytes.remove_prefix(static_cast<std::size_t>(argument));
    }
    if (!open.empty()) {
      --open.back();
    }
    if (type == kArray || type == kMap) {
      open.push_back(type == kMap ? 2 * argument : argument);
      if (open.size() > max_depth) {
        return false;
      }
    }
    while (!open.empty() && open.back() == 0) {
      open.pop_back();
    }
  } while (!open.empty());
  return true;
}

// Parses a value that this system has written. Throws InvalidValueError for one
// that it can't have written, and nlohmann::json::exception for bytes that are
// no CBOR. The library's parser is recursive, so deep input would overflow the
// stack.
[[nodiscard]] inline nlohmann::json ParseCbor(std::string_view bytes) {
  // A graph in a snapshot, the deepest value, has 11 levels.
  constexpr std::size_t kMaxDepth = 64;
  if (!IsShallowCbor(bytes, kMaxDepth)) {
    throw InvalidValueError("the value is truncated, too deep or not CBOR");
  }
  return nlohmann::json::from_cbor(bytes);
}

// Reads an enumerator from its number, which is at most that of `last`.
template <typename Enum>
void ReadEnum(const nlohmann::json& json, Enum last, Enum& value) {
  const std::int64_t number =
      json.is_number_integer() ? json.get<std::int64_t>() : -1;
  if (number < 0 || number > static_cast<std::int64_t>(last)) {
    throw InvalidValueError("a value names no enumerator");
  }
  value = static_cast<Enum>(number);
}

}  // namespace banyan

#endif  // BANYAN_SRC_WIRE_CBOR_H_
