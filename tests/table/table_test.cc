#include "runshelf/table/table.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "runshelf/table/table_json.h"

namespace runshelf::table {
namespace {

const std::string kEditId(32, 'a');

Cell MakeCell(const std::string& caller_class, int64_t weight, int64_t revision) {
  return {{"s", caller_class}, {weight, std::nullopt}, revision, kEditId};
}

CellChange Deletion(const std::string& caller_class, int64_t revision) {
  return {{"s", caller_class}, std::nullopt, revision, ""};
}

TEST_GROUP(Table){};

TEST(Table, LookupAgreesWithASearchOfAllCells) {
  CHECK(rc::check("Lookup agrees with a linear search", [] {
    const auto names = *rc::gen::container<std::set<std::pair<std::string, std::string>>>(
        rc::gen::pair(rc::gen::element<std::string>("a", "ab", "b", "b-1"),
                      rc::gen::element<std::string>("x", "xy", "z")));
    std::vector<Cell> cells;
    for (const auto& [service, caller_class] : names) {
      cells.push_back({{service, caller_class}, {}, 1, kEditId});
    }
    std::reverse(cells.begin(), cells.end());
    const Table table(1, cells);
    for (const char* const service : {"", "a", "ab", "b", "b-1", "c"}) {
      bool has_service = false;
      for (const char* const caller_class : {"", "x", "xy", "z", "zz"}) {
        const bool exists = names.contains({service, caller_class});
        has_service = has_service || exists;
        const Cell* const cell = table.Lookup(service, caller_class);
        RC_ASSERT((cell != nullptr) == exists);
        if (exists) RC_ASSERT(cell->key.caller_class == caller_class);
      }
      RC_ASSERT(table.HasService(service) == has_service);
    }
  }));
}

TEST(Table, AnOlderOrEqualDeltaChangesNothing) {
  const Table table(10, {MakeCell("a", 1, 5)});
  const TableDelta older{0, 9, true, {}};
  const TableDelta equal{9, 10, false, {Deletion("a", 10)}};
  CHECK(table.Apply(older)->cells() == table.cells());
  CHECK(table.Apply(equal)->cells() == table.cells());
}

TEST(Table, ADeltaBeyondTheTableIsRefused) {
  const Table table(10, {MakeCell("a", 1, 5)});
  CHECK(absl::IsFailedPrecondition(table.Apply({11, 12, false, {}}).status()));
  LONGS_EQUAL(12, table.Apply({10, 12, false, {}})->revision());
}

TEST(Table, ADeletionIsPartOfLaterDeltasButNotOfOlderReaders) {
  const Table table = *Table(10, {MakeCell("a", 1, 5)}).Apply({10, 12, false, {Deletion("a", 11)}});
  CHECK(table.Lookup("s", "a") == nullptr);
  CHECK((table.ChangesSince(10).changes == std::vector<CellChange>{Deletion("a", 11)}));
  CHECK(table.ChangesSince(11).changes.empty());
  CHECK(table.ChangesSince(9).complete);
  CHECK(table.ChangesSince(12) == (TableDelta{12, 12, false, {}}));
}

TEST(Table, AnEarlierValueDoesNotComeBack) {
  const CellChange newer{{"s", "b"}, CellValue{2, {}}, 12, kEditId};
  const auto table =
      Table(8, {MakeCell("b", 1, 5)}).Apply({8, 12, false, {Deletion("a", 11), newer}});
  const auto with_value_at = [&](const char* caller_class, int64_t revision) {
    return table->WithChanges({{{"s", caller_class}, CellValue{9, {}}, revision, kEditId}}).cells();
  };
  CHECK(with_value_at("a", 10) == table->cells());
  CHECK(with_value_at("b", 9) == table->cells());
  CHECK(with_value_at("c", 7) == table->cells());
  CHECK(with_value_at("c", 9) != table->cells());
}

TEST(Table, TombstonesAreBoundedAndOlderReadersGetTheWholeTable) {
  Table table(1, {MakeCell("kept", 1, 1)});
  std::vector<CellChange> changes;
  const auto count = static_cast<int64_t>(kMaxTombstones) + 10;
  for (int64_t i = 0; i < count; ++i) changes.push_back(Deletion(std::to_string(i), 2 + i));
  table = table.WithChanges(changes);
  LONGS_EQUAL(11, table.floor_revision());
  CHECK(table.ChangesSince(10).complete);
  CHECK_FALSE(table.ChangesSince(11).complete);
  UNSIGNED_LONGS_EQUAL(kMaxTombstones, table.ChangesSince(11).changes.size());
}

TEST(Table, ContradictoryDeltasAreRefused) {
  const Table table(10, {});
  const CellChange change{{"s", "a"}, CellValue{}, 11, kEditId};
  CellChange invalid = change;
  invalid.value->weight = 0;
  const std::vector<TableDelta> deltas = {{10, 9, false, {}},
                                          {-1, 12, false, {}},
                                          {10, 12, false, {change, change}},
                                          {11, 12, false, {}},
                                          {11, 12, false, {change}},
                                          {0, 10, true, {change}},
                                          {0, 12, true, {Deletion("a", 11)}},
                                          {10, 12, false, {invalid}}};
  for (const TableDelta& delta : deltas) CHECK_FALSE(table.Apply(delta).ok());
}

TEST(Table, TextIsDecodedToTheSameTable) {
  const Table table(7, {MakeCell("b", 1'000'000, 7), {{"s", "a"}, {1, 0}, 3, kEditId}});
  const auto decoded = DecodeTable(EncodeTable(table));
  CHECK(decoded.ok());
  CHECK(decoded->cells() == table.cells());
  LONGS_EQUAL(7, decoded->revision());
}

TEST(Table, HostileTextIsRefused) {
  const std::string cell =
      R"("service":"s","class":"c","weight":1,"limit":null,"edit":"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")";
  const std::string good = R"({"from":0,"to":9,"complete":true,"changes":[{"revision":1,)";
  CHECK(DecodeTable(good + cell + "}]}").ok());
  const std::vector<std::string> texts = {
      "",
      "[]",
      "{}",
      "\xff\xfe",
      good + cell,
      good + "}]}",
      R"({"from":0,"to":9,"complete":true,"changes":{}})",
      R"({"from":0,"to":9,"complete":true,"changes":[7]})",
      R"({"from":"0","to":9,"complete":true,"changes":[]})",
      R"({"from":0,"to":18446744073709551615,"complete":true,"changes":[]})",
      R"({"from":0,"to":1e3,"complete":true,"changes":[]})",
      R"({"from":0,"to":9,"complete":1,"changes":[]})",
      R"({"from":0,"to":9,"complete":false,"changes":[]})",
      good + R"("service":"s","class":"c","weight":1,"limit":null,"edit":"short"}]})",
      good + R"("service":"S","class":"c","deleted":true}]})",
      good + R"("service":"s","class":"c","weight":0,"limit":null,"edit":""}]})",
      good + R"("service":"s","class":"c","weight":1,"limit":100000001,"edit":""}]})",
      std::string(1000000, '['),
      R"({"from":)" + std::string(100000, '[') + std::string(100000, ']') + "}",
  };
  for (const std::string& text : texts) {
    CHECK_TRUE_TEXT(!DecodeTable(text).ok(), text.substr(0, 100).c_str());
  }
}

TEST(Table, GarbledTextIsDecodedOrRefusedWithoutACrash) {
  const std::string text =
      EncodeDelta({1, 9, false, {{{"s", "a"}, CellValue{5, 6}, 3, kEditId}, Deletion("b", 4)}});
  CHECK(rc::check("DecodeDelta takes any bytes", [&] {
    std::string garbled = text;
    const auto position = *rc::gen::inRange<size_t>(0, garbled.size());
    garbled.replace(position, *rc::gen::inRange<size_t>(0, 4), *rc::gen::arbitrary<std::string>());
    const auto delta = DecodeDelta(garbled);
    if (delta.ok()) (void)Table(5, {MakeCell("a", 1, 2)}).Apply(*delta);
  }));
}

}  // namespace
}  // namespace runshelf::table
