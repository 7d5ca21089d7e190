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

namespace banyan {

// The exit code of a process whose settings are wrong.
inline constexpr int kSettingsExitCode = 78;

// Reads one YAML mapping with checks. The first thing that is wrong is kept
// as the reason, with its line and column; reading goes on with defaults.
class SettingsReader {
 public:
  // Reads a file; nothing when it can't be read or parsed.
  [[nodiscard]] static std::optional<SettingsReader> Load(
      const std::string& path,
      Reason& reason);

  SettingsReader(SettingsReader&&) noexcept;
  SettingsReader& operator=(SettingsReader&&) noexcept;
  ~SettingsReader();

  // A text that must not be empty.
  [[nodiscard]] std::string String(std::string_view key);
  // A text with a default.
  [[nodiscard]] std::string String(std::string_view key,
                                   std::string_view default_value);
  // A number within a range; without a default it must be there.
  [[nodiscard]] std::int64_t Integer(std::string_view key,
                                     std::int64_t min,
                                     std::int64_t max,
                                     std::optional<std::int64_t> default_value);
  // An IP number and port, "127.0.0.1:7000".
  [[nodiscard]] std::string Address(std::string_view key);
  // One of a few words.
  [[nodiscard]] std::string Choice(
      std::string_view key,
      const std::vector<std::string>& allowed_values);
  // "on" or "off".
  [[nodiscard]] bool Boolean(std::string_view key, bool default_value);
  // A list of texts; absent means empty.
  [[nodiscard]] std::vector<std::string> StringList(std::string_view key);
  // A list of mappings, each read by its own reader.
  [[nodiscard]] std::vector<SettingsReader> SectionList(std::string_view key);
  // One mapping; nothing when absent.
  [[nodiscard]] std::optional<SettingsReader> Section(std::string_view key);

  // Checks for keys that nothing asked for. Returns whether everything that
  // was read, here and in sections that were finished before, is right.
  [[nodiscard]] bool Finish(Reason& reason);

 private:
  struct Impl;
  explicit SettingsReader(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

// Returns whether the text is an IP number and a port.
[[nodiscard]] bool IsIpAddressAndPort(std::string_view text);

}  // namespace banyan

#endif  // BANYAN_SETTINGS_SETTINGS_READER_H_
