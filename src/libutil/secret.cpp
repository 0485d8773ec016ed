#include "coltsfootpoint/secret.h"

#include "coltsfootpoint/settingserror.h"

#include <fstream>
#include <iterator>
#include <openssl/crypto.h>

namespace coltsfoot {

Secret::Secret(Secret &&Other) noexcept { Bytes_.swap(Other.Bytes_); }

Secret &Secret::operator=(Secret Other) noexcept {
  Bytes_.swap(Other.Bytes_);
  return *this;
}

Secret::~Secret() { OPENSSL_cleanse(Bytes_.data(), Bytes_.size()); }

bool Secret::equals(std::string_view Input) const {
  if (Bytes_.empty() || Input.size() != Bytes_.size())
    return false;
  return CRYPTO_memcmp(Bytes_.data(), Input.data(), Input.size()) == 0;
}

Secret loadSecret(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::string Bytes{std::istreambuf_iterator<char>(File),
                    std::istreambuf_iterator<char>()};
  if (!File.is_open() || File.bad())
    throw SettingsError(
        {{Path, 0, "", "a readable file with a ticket key or operator token",
          ""}});
  if (Bytes.ends_with('\n'))
    Bytes.pop_back();
  if (Bytes.ends_with('\r'))
    Bytes.pop_back();
  size_t Size = Bytes.size();
  Secret Result(std::move(Bytes));
  if (Size < MinSecretBytes)
    throw SettingsError(
        {{Path, 0, "",
          "a secret of at least " + std::to_string(MinSecretBytes) + " bytes",
          std::to_string(Size) + " bytes"}});
  return Result;
}

} // namespace coltsfoot
