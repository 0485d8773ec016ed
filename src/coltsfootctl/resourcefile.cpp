#include "resourcefile.h"

#include "coltsfootpoint/settingserror.h"
#include "tomltext.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cctype>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>
#include <sstream>

namespace coltsfoot {

namespace json = boost::json;

namespace {

constexpr size_t MaxNameLength = 128;
/// Length at which error messages truncate the found value.
constexpr size_t MaxFoundLength = 60;

struct KindName {
  std::string_view Singular_;
  std::string_view Path_;
};

constexpr std::array<KindName, 6> Kinds = {
    KindName{"service", "services"},
    KindName{"rank", "ranks"},
    KindName{"retry-policy", "retry-policies"},
    KindName{"objective", "objectives"},
    KindName{"host", "hosts"},
    KindName{"team", "teams"}};

std::string shortened(std::string Text) {
  if (Text.size() > MaxFoundLength) {
    Text.resize(MaxFoundLength);
    Text += "...";
  }
  return Text;
}

json::value toJson(const toml::node &Node);

json::object toJson(const toml::table &Table) {
  json::object Object;
  for (const auto &[Key, Value] : Table) {
    std::string_view Name = Key.str();
    Object[json::string_view(Name.data(), Name.size())] = toJson(Value);
  }
  return Object;
}

json::array toJson(const toml::array &List) {
  json::array Array;
  for (const toml::node &Value : List)
    Array.push_back(toJson(Value));
  return Array;
}

/// Converts a TOML value to JSON. Dates and times, which no resource uses,
/// become strings.
json::value toJson(const toml::node &Node) {
  if (const toml::table *Table = Node.as_table())
    return toJson(*Table);
  if (const toml::array *List = Node.as_array())
    return toJson(*List);
  if (const auto *Text = Node.as_string())
    return json::value(json::string_view(Text->get()));
  if (const auto *Whole = Node.as_integer())
    return Whole->get();
  if (const auto *Number = Node.as_floating_point())
    return Number->get();
  if (const auto *Truth = Node.as_boolean())
    return Truth->get();
  return json::value(json::string_view(tomlValueText(Node)));
}

/// Collects the resources of a file and the problems found in them.
class ResourceCollector {
public:
  explicit ResourceCollector(const std::string &File) : File_(File) {}

  void add(json::object Object, int Line, const std::string &KeyPrefix) {
    std::string Kind = takeText(Object, "kind");
    std::string Name = takeText(Object, "name");
    std::string Path = kindPath(Kind);
    if (Path.empty())
      addProblem(Line, KeyPrefix + ".kind", std::string(knownKinds()), Kind);
    if (!isResourceName(Name))
      addProblem(Line, KeyPrefix + ".name",
                 "1 to 128 letters, digits, '.', '_' or '-'", Name);
    if (!Path.empty() && !Seen_.insert(Path + "/" + Name).second)
      addProblem(Line, KeyPrefix + ".name", "a kind and name that occur once",
                 Name);
    Resources_.push_back({Path, Name, json::serialize(Object)});
  }

  void addProblem(int Line, std::string Key, std::string Expected,
                  const std::string &Found) {
    Problems_.push_back({File_, Line, std::move(Key), std::move(Expected),
                         Found.empty() ? "nothing" : shortened(Found)});
  }

  std::vector<FileResource> finish() {
    if (Problems_.empty() && Resources_.empty())
      addProblem(0, "", "at least one resource", "");
    if (!Problems_.empty())
      throw SettingsError(std::move(Problems_));
    return std::move(Resources_);
  }

private:
  /// Removes a string member and returns it. A value of another type is
  /// returned as quoted JSON, which is neither a valid kind nor a valid name.
  static std::string takeText(json::object &Object, const char *Key) {
    const json::value *Found = Object.if_contains(Key);
    const json::string *Text = Found ? Found->if_string() : nullptr;
    std::string Result;
    if (Text)
      Result = std::string(*Text);
    else if (Found)
      Result = "'" + json::serialize(*Found) + "'";
    Object.erase(Key);
    return Result;
  }

  const std::string &File_;
  std::vector<FileResource> Resources_;
  std::vector<SettingsProblem> Problems_;
  std::set<std::string> Seen_;
};

std::string elementKey(size_t Index) {
  return "resource[" + std::to_string(Index) + "]";
}

std::vector<FileResource> parseTomlResources(std::string_view Text,
                                             const std::string &File) {
  toml::table Root = parseToml(Text, File);
  ResourceCollector Collected(File);
  for (const auto &[Key, Value] : Root) {
    int Line = static_cast<int>(Key.source().begin.line);
    const toml::array *List = Value.as_array();
    if (Key.str() != "resource" || !List) {
      Collected.addProblem(Line, std::string(Key.str()),
                           "only [[resource]] at the top level",
                           tomlValueText(Value));
      continue;
    }
    size_t Index = 0;
    for (const toml::node &Item : *List) {
      int ItemLine = static_cast<int>(Item.source().begin.line);
      if (const toml::table *Table = Item.as_table())
        Collected.add(toJson(*Table), ItemLine, elementKey(Index));
      else
        Collected.addProblem(ItemLine, elementKey(Index), "a table",
                             tomlValueText(Item));
      ++Index;
    }
  }
  return Collected.finish();
}

/// Returns the line number, from 1, of a byte offset in a text.
int lineAt(std::string_view Text, size_t Offset) {
  auto End =
      Text.begin() + static_cast<ptrdiff_t>(std::min(Offset, Text.size()));
  return 1 + static_cast<int>(std::count(Text.begin(), End, '\n'));
}

std::vector<FileResource> parseJsonResources(std::string_view Text,
                                             const std::string &File) {
  json::stream_parser Parser;
  boost::system::error_code Error;
  size_t Parsed = Parser.write_some(Text.data(), Text.size(), Error);
  if (!Error)
    Parser.finish(Error);
  if (Error)
    throw SettingsError(
        {{File, lineAt(Text, Parsed), "", "valid JSON", Error.message()}});
  json::value Root = Parser.release();
  const json::object *Object = Root.if_object();
  const json::value *Listed =
      Object ? Object->if_contains("resource") : nullptr;
  if (Listed && Object->size() == 1)
    Root = json::value(*Listed);
  json::array List =
      Root.is_array() ? Root.as_array() : json::array{std::move(Root)};
  ResourceCollector Collected(File);
  size_t Index = 0;
  for (const json::value &Item : List) {
    if (const json::object *Resource = Item.if_object())
      Collected.add(*Resource, 0, elementKey(Index));
    else
      Collected.addProblem(0, elementKey(Index), "an object",
                           json::serialize(Item));
    ++Index;
  }
  return Collected.finish();
}

} // namespace

std::string kindPath(std::string_view Kind) {
  for (const KindName &Known : Kinds)
    if (Known.Singular_ == Kind || Known.Path_ == Kind)
      return std::string(Known.Path_);
  return {};
}

bool isResourceName(std::string_view Name) {
  auto IsAllowed = [](unsigned char C) {
    return std::isalnum(C) != 0 || C == '.' || C == '_' || C == '-';
  };
  return !Name.empty() && Name.size() <= MaxNameLength &&
         std::all_of(Name.begin(), Name.end(), IsAllowed);
}

std::string_view knownKinds() {
  return "service, rank, retry-policy, objective or host";
}

std::vector<FileResource> parseResources(std::string_view Text,
                                         const std::string &File) {
  size_t First = Text.find_first_not_of(" \t\r\n");
  bool IsJsonObject = First != std::string_view::npos && Text[First] == '{';
  // A TOML file may begin with a bracket too: that of `[[resource]]`.
  bool List = First != std::string_view::npos && Text[First] == '[' &&
              !Text.substr(First).starts_with("[[");
  return IsJsonObject || List ? parseJsonResources(Text, File)
                              : parseTomlResources(Text, File);
}

std::vector<FileResource> loadResources(const std::string &Path) {
  std::string Text;
  if (Path == "-") {
    Text.assign(std::istreambuf_iterator<char>(std::cin), {});
    return parseResources(Text, "standard input");
  }
  std::ifstream File(Path, std::ios::binary);
  Text.assign(std::istreambuf_iterator<char>(File), {});
  if (!File.is_open() || File.bad())
    throw SettingsError({{Path, 0, "", "a readable file", ""}});
  return parseResources(Text, Path);
}

} // namespace coltsfoot
