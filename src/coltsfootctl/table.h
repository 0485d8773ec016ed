#pragma once

#include <string>
#include <vector>

namespace coltsfoot {

/// Rows of cells under headers, for a terminal.
class Table {
public:
  explicit Table(std::vector<std::string> Headers);

  /// Adds a row; missing cells are empty.
  void add(std::vector<std::string> Cells);
  /// Returns the rows in columns as wide as their widest cell, two spaces
  /// apart. Control characters of cells are shown as `?`.
  std::string text() const;

private:
  std::vector<std::vector<std::string>> Rows_;
};

/// Returns a JSON list as a table with the given members as columns; `object`
/// members become compact JSON. Throws CommandError when the text has no such
/// list.
std::string listTable(const std::string &Json, const char *ListKey,
                      const std::vector<std::string> &Columns);

/// Returns a JSON object as a table of keys and values.
std::string objectTable(const std::string &Json);

} // namespace coltsfoot
