#include "banyan/settings/settings_reader.h"

#include <arpa/inet.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
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
  std::set<std::string, std::less<>> asked;
  // Shared with the readers of the sections, so that the first error wins.
  std::shared_ptr<std::optional<Reason>> first_error;

  void Complain(const YAML::Mark& mark, std::string text) {
    if (*first_error) {
      return;
    }
    *first_error = Reason{ErrorKind::kBadSettings,
                          std::move(text),
                          {file, mark.line + 1, mark.column + 1}};
  }

  YAML::Node Ask(std::string_view key) {
    asked.emplace(key);
    return node[std::string(key)];
  }

  YAML::Node Require(std::string_view key) {
    YAML::Node value = Ask(key);
    if (!value.IsDefined()) {
      Complain(node.Mark(), Quoted(key) + " is missing");
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

std::string SettingsReader::Text(std::string_view key) {
  const YAML::Node value = impl_->Require(key);
  if (!value.IsDefined()) {
    return "";
  }
  if (!value.IsScalar() || value.Scalar().empty()) {
    impl_->Complain(value.Mark(), Quoted(key) + " must be a text");
    return "";
  }
  return value.Scalar();
}

std::string SettingsReader::Text(std::string_view key,
                                 std::string_view fallback) {
  return impl_->Ask(key).IsDefined() ? Text(key) : std::string(fallback);
}

std::int64_t SettingsReader::Number(std::string_view key,
                                    std::int64_t lowest,
                                    std::int64_t highest,
                                    std::optional<std::int64_t> fallback) {
  const YAML::Node value = fallback ? impl_->Ask(key) : impl_->Require(key);
  if (!value.IsDefined()) {
    return fallback.value_or(lowest);
  }
  const std::string allowed = " (allowed is " + std::to_string(lowest) +
                              " to " + std::to_string(highest) + ")";
  std::int64_t number = 0;
  const std::string text = value.IsScalar() ? value.Scalar() : "";
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || text.empty()) {
    impl_->Complain(value.Mark(),
                    Quoted(key) + " must be a whole number" + allowed);
    return lowest;
  }
  if (number < lowest || number > highest) {
    impl_->Complain(value.Mark(), Quoted(key) + " is " + text + allowed);
    return lowest;
  }
  return number;
}

std::string SettingsReader::Address(std::string_view key) {
  std::string text = Text(key);
  if (!text.empty() && !IsIpAddress(text)) {
    impl_->Complain(impl_->node[std::string(key)].Mark(),
                    Quoted(key) + " is " + Quoted(text) +
                        " (allowed is an IP number and a port, such as "
                        "127.0.0.1:7000)");
  }
  return text;
}

std::string SettingsReader::Choice(std::string_view key,
                                   const std::vector<std::string>& words) {
  std::string text = Text(key);
  if (text.empty() ||
      std::find(words.begin(), words.end(), text) != words.end()) {
    return text;
  }
  std::string allowed;
  for (const std::string& word : words) {
    allowed += (allowed.empty() ? "" : ", ") + word;
  }
  impl_->Complain(
      impl_->node[std::string(key)].Mark(),
      Quoted(key) + " is " + Quoted(text) + " (allowed is " + allowed + ")");
  return text;
}

bool SettingsReader::Switch(std::string_view key, bool fallback) {
  return impl_->Ask(key).IsDefined() ? Choice(key, {"on", "off"}) == "on"
                                     : fallback;
}

std::vector<std::string> SettingsReader::Texts(std::string_view key) {
  std::vector<std::string> texts;
  const YAML::Node list = impl_->Ask(key);
  if (!list.IsDefined()) {
    return texts;
  }
  if (!list.IsSequence()) {
    impl_->Complain(list.Mark(), Quoted(key) + " must be a list");
    return texts;
  }
  for (const YAML::Node& item : list) {
    if (!item.IsScalar()) {
      impl_->Complain(item.Mark(), Quoted(key) + " must hold texts");
      return texts;
    }
    texts.push_back(item.Scalar());
  }
  return texts;
}

std::vector<SettingsReader> SettingsReader::Sections(std::string_view key) {
  std::vector<SettingsReader> sections;
  const YAML::Node list = impl_->Require(key);
  if (!list.IsDefined()) {
    return sections;
  }
  if (!list.IsSequence() || list.size() == 0) {
    impl_->Complain(list.Mark(),
                    Quoted(key) + " must be a list with at least one entry");
    return sections;
  }
  for (const YAML::Node& item : list) {
    if (!item.IsMap()) {
      impl_->Complain(item.Mark(), Quoted(key) + " must hold mappings");
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
  const YAML::Node value = impl_->Ask(key);
  if (!value.IsDefined()) {
    return std::nullopt;
  }
  if (!value.IsMap()) {
    impl_->Complain(value.Mark(), Quoted(key) + " must be a mapping");
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
    if (!impl_->asked.contains(key)) {
      impl_->Complain(item.first.Mark(), "unknown key " + Quoted(key));
    }
  }
  if (*impl_->first_error) {
    reason = **impl_->first_error;
    return false;
  }
  return true;
}

bool IsIpAddress(std::string_view text) {
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
