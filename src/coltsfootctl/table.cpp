#include "table.h"

#include "commanderror.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>
#include <cmath>
#include <cstdio>

namespace coltsfoot {

namespace json = boost::json;

namespace {

constexpr size_t ColumnGap = 2;

std::string printable(std::string Cell) {
  for (char &C : Cell)
    if (static_cast<unsigned char>(C) < ' ' || C == 0x7f)
      C = '?';
  return Cell;
}

std::string cellText(const json::value *Value) {
  if (!Value || Value->is_null())
    return "-";
  if (const json::string *Text = Value->if_string())
    return std::string(*Text);
  if (const double *Number = Value->if_double()) {
    std::array<char, 32> Digits;
    std::snprintf(Digits.data(), Digits.size(), "%.6g", *Number);
    return Digits.data();
  }
  return json::serialize(*Value);
}

std::string toUpper(std::string Name) {
  for (char &C : Name)
    C = static_cast<char>(std::toupper(static_cast<unsigned char>(C)));
  return Name;
}

[[noreturn]] void throwUnexpectedResponse() {
  throw CommandError(
      ExitCode::Failed,
      "the node's response isn't a JSON object of the expected form");
}

json::value parse(const std::string &Text) {
  boost::system::error_code Error;
  json::value Parsed = json::parse(Text, Error);
  if (Error || !Parsed.is_object())
    throwUnexpectedResponse();
  return Parsed;
}

} // namespace

Table::Table(std::vector<std::string> Headers) { add(std::move(Headers)); }

void Table::add(std::vector<std::string> Cells) {
  if (!Rows_.empty())
    Cells.resize(Rows_.front().size());
  for (std::string &Cell : Cells)
    Cell = printable(std::move(Cell));
  Rows_.push_back(std::move(Cells));
}

std::string Table::text() const {
  std::vector<size_t> Widths(Rows_.front().size());
  for (const auto &Row : Rows_)
    for (size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  std::string Out;
  for (const auto &Row : Rows_) {
    std::string Line;
    for (size_t I = 0; I < Row.size(); ++I) {
      Line += Row[I];
      Line.append(Widths[I] - Row[I].size() + ColumnGap, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Out += Line;
    Out += '\n';
  }
  return Out;
}

std::string listTable(const std::string &Json, const char *ListKey,
                      const std::vector<std::string> &Columns) {
  json::value Parsed = parse(Json);
  const json::value *List = Parsed.as_object().if_contains(ListKey);
  if (!List || !List->is_array())
    throwUnexpectedResponse();
  std::vector<std::string> Headers;
  std::transform(Columns.begin(), Columns.end(), std::back_inserter(Headers),
                 toUpper);
  Table Result(std::move(Headers));
  for (const json::value &Item : List->as_array()) {
    const json::object *Fields = Item.if_object();
    if (!Fields)
      throwUnexpectedResponse();
    std::vector<std::string> Cells;
    Cells.reserve(Columns.size());
    for (const std::string &Column : Columns)
      Cells.push_back(cellText(Fields->if_contains(Column)));
    Result.add(std::move(Cells));
  }
  return Result.text();
}

std::string objectTable(const std::string &Json) {
  json::value Parsed = parse(Json);
  Table Result({"KEY", "VALUE"});
  for (const auto &[Key, Value] : Parsed.as_object())
    Result.add({std::string(Key), cellText(&Value)});
  return Result.text();
}

} // namespace coltsfoot
