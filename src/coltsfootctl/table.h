#pragma once

#include <string>
#include <vector>

namespace coltsfoot {

/// A text table with column headers, for a terminal.
class Table {
public:
  explicit Table(std::vector<std::string> Headers);

  /// Adds a row; missing cells are empty.
  void add(std::vector<std::string> Cells);
  /// Returns the headers and rows as lines. Each column is as wide as its
  /// widest cell, with two spaces between columns. Control characters are shown
  /// as `?`.
  std::string text() const;

private:
  /// The first row holds the headers.
  std::vector<std::vector<std::string>> Rows_;
};

/// Formats the list under a key of a JSON object as a table with the given
/// members as columns. Lists and objects are shown as compact JSON, missing and
/// null members as `-`. Throws CommandError when the text holds no such list of
/// objects.
std::string listTable(const std::string &Json, const char *ListKey,
                      const std::vector<std::string> &Columns);

/// Formats a JSON object as a table of keys and values. Throws CommandError
/// when the text isn't a JSON object.
std::string objectTable(const std::string &Json);

} // namespace coltsfoot
