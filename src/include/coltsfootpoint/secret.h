#pragma once

#include <string>
#include <string_view>

namespace coltsfoot {

/// The content of a key or token file. To keep it out of logs it has no stream
/// operator. Its memory is cleared on destruction.
class Secret {
public:
  Secret() = default;
  explicit Secret(std::string Bytes) : Bytes_(std::move(Bytes)) {}
  Secret(const Secret &) = default;
  Secret(Secret &&Other) noexcept;
  Secret &operator=(Secret Other) noexcept;
  ~Secret();

  /// Returns the secret itself; the view is valid as long as the object.
  std::string_view bytes() const { return Bytes_; }
  bool empty() const { return Bytes_.empty(); }
  /// Compares in a time that depends only on the two lengths, which prevents
  /// timing attacks. An empty secret equals nothing.
  bool equals(std::string_view Input) const;

private:
  std::string Bytes_;
};

/// Minimum length of a secret.
constexpr size_t MinSecretBytes = 16;

/// Reads a secret from a file and strips one line end (LF, CRLF or CR) from its
/// end. Throws SettingsError when the file can't be read or the secret is
/// shorter than MinSecretBytes; the error names the file, never its content.
Secret loadSecret(const std::string &Path);

} // namespace coltsfoot
