#include "descriptors.h"

#include <cerrno>
#include <dirent.h>
#include <memory>
#include <sys/resource.h>
#include <sys/stat.h>

namespace coltsfoot {

namespace {

constexpr const char *DescriptorFolder = "/proc/self/fd";

struct FolderCloser {
  void operator()(DIR *Folder) const { ::closedir(Folder); }
};

/// Counts the entries of the folder. That opens a descriptor, which does not
/// count; when none is left, all that are allowed are in use.
std::optional<int64_t> countEntries() {
  std::unique_ptr<DIR, FolderCloser> Folder(::opendir(DescriptorFolder));
  if (!Folder)
    return errno == EMFILE ? descriptorLimit() : std::nullopt;
  int64_t Count = -1;
  while (const dirent *Entry = ::readdir(Folder.get()))
    if (Entry->d_name[0] != '.')
      ++Count;
  return Count;
}

} // namespace

std::optional<int64_t> descriptorsInUse() {
  struct stat Properties {};
  if (::stat(DescriptorFolder, &Properties) == 0 && Properties.st_size > 0)
    return Properties.st_size;
  return countEntries();
}

std::optional<int64_t> descriptorLimit() {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0 ||
      Limit.rlim_cur == RLIM_INFINITY)
    return std::nullopt;
  return static_cast<int64_t>(Limit.rlim_cur);
}

} // namespace coltsfoot
