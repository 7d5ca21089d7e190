#ifndef BANYAN_SETTINGS_SETTINGS_READER_H_
#define BANYAN_SETTINGS_SETTINGS_READER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "banyan/base/error_kind.h"
#include "banyan/base/time.h"

namespace banyan {

// Exit code of a process with invalid settings (EX_CONFIG of sysexits.h).
inline constexpr int kSettingsExitCode = 78;

// Reads and validates one YAML mapping. The first error is recorded with its
// line and column; reading continues with default values.
class SettingsReader {
 public:
  // Reads a file. Returns no value if it can't be read or parsed or if it holds
  // no mapping.
  [[nodiscard]] static std::optional<SettingsReader> Load(
      const std::string& path,
      Reason& reason);

  SettingsReader(SettingsReader&&) noexcept;
  SettingsReader& operator=(SettingsReader&&) noexcept;
  ~SettingsReader();

  // Reads a required, non-empty string.
  [[nodiscard]] std::string String(std::string_view key);
  // Reads an optional string.
  [[nodiscard]] std::string String(std::string_view key,
                                   std::string_view default_value);
  // Reads an integer from `min` to `max`; required if there is no default.
  [[nodiscard]] std::int64_t Integer(std::string_view key,
                                     std::int64_t min,
                                     std::int64_t max,
                                     std::optional<std::int64_t> default_value);
  // Reads an optional number of seconds, such as 4 or 2.5, from `min` to `max`.
  [[nodiscard]] Duration Seconds(std::string_view key,
                                 Duration min,
                                 Duration max,
                                 Duration default_value);
  // Reads a required IPv4 address with a port, such as "127.0.0.1:7000".
  [[nodiscard]] std::string Address(std::string_view key);
  // Reads a required string that is one of the allowed values.
  [[nodiscard]] std::string Choice(
      std::string_view key,
      const std::vector<std::string>& allowed_values);
  // Reads an optional flag, "on" or "off".
  [[nodiscard]] bool Boolean(std::string_view key, bool default_value);
  // Reads an optional list of strings; empty by default.
  [[nodiscard]] std::vector<std::string> StringList(std::string_view key);
  // Reads a required, non-empty list of mappings, with one reader for each.
  [[nodiscard]] std::vector<SettingsReader> SectionList(std::string_view key);
  // Reads an optional mapping.
  [[nodiscard]] std::optional<SettingsReader> Section(std::string_view key);

  // Records an error for each key that was not read. Returns whether there was
  // no error in this reader and all that share its file; else sets the reason
  // to the first error.
  [[nodiscard]] bool Finish(Reason& reason);

 private:
  struct Impl;
  explicit SettingsReader(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

// Returns whether the text is an IPv4 address and a port, such as
// "127.0.0.1:7000".
[[nodiscard]] bool IsIpAddressAndPort(std::string_view text);

}  // namespace banyan

#endif  // BANYAN_SETTINGS_SETTINGS_READER_H_
