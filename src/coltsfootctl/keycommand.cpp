#include "commands.h"
#include "keydigest.h"
#include "options.h"

#include <iostream>
#include <iterator>

namespace coltsfoot {

std::string digestOfKeyText(std::string KeyText) {
  if (KeyText.ends_with('\n'))
    KeyText.pop_back();
  if (KeyText.ends_with('\r'))
    KeyText.pop_back();
  if (KeyText.empty())
    throw CommandError(ExitCode::Usage,
                       "key-digest: expected a key on standard input, found "
                       "none");
  return KeyDigest::of(KeyText).hex();
}

// The key is not taken as an argument, which the shell and the list of
// processes would show.
ExitCode runKeyDigest(const Options &Opts) {
  if (!Opts.Arguments_.empty())
    throw CommandError(ExitCode::Usage,
                       "key-digest: expected the key on standard input, found "
                       "an argument");
  std::string KeyText{std::istreambuf_iterator<char>(std::cin),
                      std::istreambuf_iterator<char>()};
  std::cout << digestOfKeyText(std::move(KeyText)) << '\n';
  return ExitCode::Done;
}

} // namespace coltsfoot
