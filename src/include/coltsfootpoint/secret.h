#pragma once

#include <string>
#include <string_view>

namespace coltsfoot {

/// The content of a key or token file. It has no operator that prints it, and
/// its memory is cleared when it goes.
class Secret {
public:
  Secret() = default;
  explicit Secret(std::string Bytes) : Bytes_(std::move(Bytes)) {}
  Secret(const Secret &) = default;
  Secret(Secret &&Other) noexcept;
  Secret &operator=(Secret Other) noexcept;
  ~Secret();

  /// Returns the secret itself; the view lives as long as the object.
  std::string_view bytes() const { return Bytes_; }
  bool empty() const { return Bytes_.empty(); }
  /// Compares with a guess in a time that depends on the guess's length alone.
  /// An empty secret equals nothing.
  bool equals(std::string_view Guess) const;

private:
  std::string Bytes_;
};

/// The shortest secret that is accepted, in bytes.
constexpr size_t MinSecretBytes = 16;

/// Reads a secret from a file and strips one line end from its end. Throws
/// SettingsError that names the file, never its content, when the file can't
/// be read or the secret is shorter than MinSecretBytes.
Secret loadSecret(const std::string &Path);

} // namespace coltsfoot
