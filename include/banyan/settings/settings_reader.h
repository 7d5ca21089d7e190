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
  [[nodiscard]] std::string Text(std::string_view key);
  // A text with a default.
  [[nodiscard]] std::string Text(std::string_view key,
                                 std::string_view fallback);
  // A number within a range; without a default it must be there.
  [[nodiscard]] std::int64_t Number(std::string_view key,
                                    std::int64_t lowest,
                                    std::int64_t highest,
                                    std::optional<std::int64_t> fallback);
  // An IP number and port, "127.0.0.1:7000".
  [[nodiscard]] std::string Address(std::string_view key);
  // One of a few words.
  [[nodiscard]] std::string Choice(std::string_view key,
                                   const std::vector<std::string>& words);
  // "on" or "off".
  [[nodiscard]] bool Switch(std::string_view key, bool fallback);
  // A list of texts; absent means empty.
  [[nodiscard]] std::vector<std::string> Texts(std::string_view key);
  // A list of mappings, each read by its own reader.
  [[nodiscard]] std::vector<SettingsReader> Sections(std::string_view key);
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
[[nodiscard]] bool IsIpAddress(std::string_view text);

}  // namespace banyan

#endif  // BANYAN_SETTINGS_SETTINGS_READER_H_
