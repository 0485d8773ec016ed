#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// One resource of a file for `apply`.
struct FileResource {
  /// Kind as the API's paths spell it, such as `services`.
  std::string Kind_;
  std::string Name_;
  /// The resource's value: a JSON object without kind and name.
  std::string Body_;
  bool operator==(const FileResource &) const = default;
};

/// Returns the API's spelling of a resource kind, `services` for `service` or
/// `services`; empty when the kind is unknown.
std::string kindPath(std::string_view Kind);

/// Returns whether the text is a valid resource name: 1 to 128 letters, digits,
/// dots, underscores or hyphens.
bool isResourceName(std::string_view Name);

/// Returns the resource kinds as a text for error messages.
std::string_view knownKinds();

/// Parses a file of resources: as JSON when its first non-blank character is
/// `{` or a `[` that isn't doubled, else as TOML. In TOML, each `[[resource]]`
/// holds kind, name and the resource's own keys. JSON is one such object, a
/// list of them, or `{"resource":[…]}`. Throws SettingsError that lists all
/// problems found.
std::vector<FileResource> parseResources(std::string_view Text,
                                         const std::string &File);

/// Reads and parses a file, or standard input when the path is `-`. Throws as
/// parseResources() does, and when the file can't be read.
std::vector<FileResource> loadResources(const std::string &Path);

} // namespace coltsfoot
