#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// One resource of a file to apply.
struct FileResource {
  /// Kind as it stands in the API's paths, such as `services`.
  std::string Kind_;
  std::string Name_;
  /// The resource itself, a JSON object without kind and name.
  std::string Body_;
  bool operator==(const FileResource &) const = default;
};

/// Returns the kind as it stands in the API's paths for `service`, `services`
/// and so on; empty for another text.
std::string kindPath(std::string_view Kind);

/// Returns whether the text is a resource's name.
bool isResourceName(std::string_view Name);

/// Returns what kindPath() takes, for errors.
std::string_view knownKinds();

/// Parses a file of resources, JSON when its first character is `{` or `[`,
/// else TOML. In TOML each `[[resource]]` has kind, name and the resource's own
/// keys; JSON is such an object, a list of them, or `{"resource":[…]}`. Throws
/// SettingsError that lists all faults found.
std::vector<FileResource> parseResources(std::string_view Text,
                                         const std::string &File);

/// Reads and parses a file, or standard input when the path is `-`.
std::vector<FileResource> loadResources(const std::string &Path);

} // namespace coltsfoot
