#include "banyan/settings/settings_reader.h"

#include <arpa/inet.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace banyan {
namespace {

constexpr std::int64_t kMaxPort = 65535;

std::string Quoted(std::string_view text) {
  return "'" + std::string(text) + "'";
}

}  // namespace

struct SettingsReader::Impl {
  std::string file;
  YAML::Node node;
  std::set<std::string, std::less<>> known_keys;
  // Shared with the readers of the sections, so that only the first error of
  // the file is kept.
  std::shared_ptr<std::optional<Reason>> first_error;

  void RecordError(const YAML::Mark& mark, std::string text) {
    if (*first_error) {
      return;
    }
    *first_error = Reason{ErrorKind::kBadSettings,
                          std::move(text),
                          {file, mark.line + 1, mark.column + 1}};
  }

  YAML::Node Find(std::string_view key) {
    known_keys.emplace(key);
    return node[std::string(key)];
  }

  YAML::Node FindRequired(std::string_view key) {
    YAML::Node value = Find(key);
    if (!value.IsDefined()) {
      RecordError(node.Mark(), Quoted(key) + " is missing");
    }
    return value;
  }
};

SettingsReader::SettingsReader(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
SettingsReader::SettingsReader(SettingsReader&&) noexcept = default;
SettingsReader& SettingsReader::operator=(SettingsReader&&) noexcept = default;
SettingsReader::~SettingsReader() = default;

std::optional<SettingsReader> SettingsReader::Load(const std::string& path,
                                                   Reason& reason) {
  auto impl = std::make_unique<Impl>();
  impl->file = path;
  impl->first_error = std::make_shared<std::optional<Reason>>();
  try {
    impl->node = YAML::LoadFile(path);
  } catch (const YAML::BadFile&) {
    reason = {ErrorKind::kBadSettings, "can't read " + path, {}};
    return std::nullopt;
  } catch (const YAML::Exception& error) {
    reason = {ErrorKind::kBadSettings,
              error.msg,
              {path, error.mark.line + 1, error.mark.column + 1}};
    return std::nullopt;
  }
  if (!impl->node.IsMap()) {
    reason = {ErrorKind::kBadSettings,
              "settings must be a mapping of keys to values",
              {path, 1, 1}};
    return std::nullopt;
  }
  return SettingsReader(std::move(impl));
}

std::string SettingsReader::String(std::string_view key) {
  const YAML::Node value = impl_->FindRequired(key);
  if (!value.IsDefined()) {
    return "";
  }
  if (!value.IsScalar() || value.Scalar().empty()) {
    impl_->RecordError(value.Mark(), Quoted(key) + " must be a text");
    return "";
  }
  return value.Scalar();
}

std::string SettingsReader::String(std::string_view key,
                                   std::string_view default_value) {
  return impl_->Find(key).IsDefined() ? String(key)
                                      : std::string(default_value);
}

std::int64_t SettingsReader::Integer(
    std::string_view key,
    std::int64_t min,
    std::int64_t max,
    std::optional<std::int64_t> default_value) {
  const YAML::Node value =
      default_value ? impl_->Find(key) : impl_->FindRequired(key);
  if (!value.IsDefined()) {
    return default_value.value_or(min);
  }
  const std::string allowed = " (allowed is " + std::to_string(min) + " to " +
                              std::to_string(max) + ")";
  std::int64_t number = 0;
  const std::string text = value.IsScalar() ? value.Scalar() : "";
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || text.empty()) {
    impl_->RecordError(value.Mark(),
                       Quoted(key) + " must be a whole number" + allowed);
    return min;
  }
  if (number < min || number > max) {
    impl_->RecordError(value.Mark(), Quoted(key) + " is " + text + allowed);
    return min;
  }
  return number;
}

Duration SettingsReader::Seconds(std::string_view key,
                                 Duration min,
                                 Duration max,
                                 Duration default_value) {
  const YAML::Node value = impl_->Find(key);
  if (!value.IsDefined()) {
    return default_value;
  }
  const auto to_seconds = [](Duration duration) {
    return std::chrono::duration<double>(duration).count();
  };
  std::ostringstream allowed;
  allowed << " (allowed is " << to_seconds(min) << " to " << to_seconds(max)
          << ")";
  double number = 0;
  const std::string text = value.IsScalar() ? value.Scalar() : "";
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || text.empty()) {
    impl_->RecordError(
        value.Mark(),
        Quoted(key) + " must be a number of seconds" + allowed.str());
    return default_value;
  }
  const bool is_allowed =
      number >= to_seconds(min) && number <= to_seconds(max);
  if (!is_allowed) {
    impl_->RecordError(value.Mark(),
                       Quoted(key) + " is " + text + allowed.str());
    return default_value;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(number));
}

std::string SettingsReader::Address(std::string_view key) {
  std::string text = String(key);
  if (!text.empty() && !IsIpAddressAndPort(text)) {
    impl_->RecordError(impl_->node[std::string(key)].Mark(),
                       Quoted(key) + " is " + Quoted(text) +
                           " (allowed is an IP number and a port, such as "
                           "127.0.0.1:7000)");
  }
  return text;
}

std::string SettingsReader::Choice(
    std::string_view key,
    const std::vector<std::string>& allowed_values) {
  std::string text = String(key);
  if (text.empty() || std::find(allowed_values.begin(), allowed_values.end(),
                                text) != allowed_values.end()) {
    return text;
  }
  std::string allowed;
  for (const std::string& value : allowed_values) {
    allowed += (allowed.empty() ? "" : ", ") + value;
  }
  impl_->RecordError(
      impl_->node[std::string(key)].Mark(),
      Quoted(key) + " is " + Quoted(text) + " (allowed is " + allowed + ")");
  return text;
}

bool SettingsReader::Boolean(std::string_view key, bool default_value) {
  return impl_->Find(key).IsDefined() ? Choice(key, {"on", "off"}) == "on"
                                      : default_value;
}

std::vector<std::string> SettingsReader::StringList(std::string_view key) {
  std::vector<std::string> strings;
  const YAML::Node list = impl_->Find(key);
  if (!list.IsDefined()) {
    return strings;
  }
  if (!list.IsSequence()) {
    impl_->RecordError(list.Mark(), Quoted(key) + " must be a list");
    return strings;
  }
  for (const YAML::Node& item : list) {
    if (!item.IsScalar()) {
      impl_->RecordError(item.Mark(), Quoted(key) + " must hold texts");
      return strings;
    }
    strings.push_back(item.Scalar());
  }
  return strings;
}

std::vector<SettingsReader> SettingsReader::SectionList(std::string_view key) {
  std::vector<SettingsReader> sections;
  const YAML::Node list = impl_->FindRequired(key);
  if (!list.IsDefined()) {
    return sections;
  }
  if (!list.IsSequence() || list.size() == 0) {
    impl_->RecordError(list.Mark(),
                       Quoted(key) + " must be a list with at least one entry");
    return sections;
  }
  for (const YAML::Node& item : list) {
    if (!item.IsMap()) {
      impl_->RecordError(item.Mark(), Quoted(key) + " must hold mappings");
      return {};
    }
    auto impl = std::make_unique<Impl>();
    impl->file = impl_->file;
    impl->node = item;
    impl->first_error = impl_->first_error;
    sections.push_back(SettingsReader(std::move(impl)));
  }
  return sections;
}

std::optional<SettingsReader> SettingsReader::Section(std::string_view key) {
  const YAML::Node value = impl_->Find(key);
  if (!value.IsDefined()) {
    return std::nullopt;
  }
  if (!value.IsMap()) {
    impl_->RecordError(value.Mark(), Quoted(key) + " must be a mapping");
    return std::nullopt;
  }
  auto impl = std::make_unique<Impl>();
  impl->file = impl_->file;
  impl->node = value;
  impl->first_error = impl_->first_error;
  return SettingsReader(std::move(impl));
}

bool SettingsReader::Finish(Reason& reason) {
  for (const auto& item : impl_->node) {
    const std::string key = item.first.Scalar();
    if (!impl_->known_keys.contains(key)) {
      impl_->RecordError(item.first.Mark(), "unknown key " + Quoted(key));
    }
  }
  if (*impl_->first_error) {
    reason = **impl_->first_error;
    return false;
  }
  return true;
}

bool IsIpAddressAndPort(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string host(text.substr(0, colon));
  in_addr address{};
  if (::inet_pton(AF_INET, host.c_str(), &address) != 1) {
    return false;
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::int64_t port = 0;
  const char* const end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port > 0 &&
         port <= kMaxPort;
}

}  // namespace banyan
