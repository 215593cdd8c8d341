#include "runshelf/table/table_csv.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using runshelf::table::Cell;
using runshelf::table::CsvCell;
using runshelf::table::ParseTableCsv;
using runshelf::table::Table;

namespace {

const std::vector<CsvCell> kTwoCells = {{{"dispatch", "issuer"}, {100, 500}},
                                        {{"feedread", "newsroom"}, {7, std::nullopt}}};

struct BadFile {
  std::string text;
  const char* error;
};

const std::string kHeader = "service,class,weight,limit\n";

}  // namespace

TEST_GROUP(TableCsv){};

TEST(TableCsv, FilesOfSpreadsheetsAreRead) {
  const std::vector<std::string> files = {
      "service,class,weight,limit\ndispatch,issuer,100,500\nfeedread,newsroom,7,\n",
      "\xEF\xBB\xBFservice,class,weight,limit\r\ndispatch,issuer,100,500\r\nfeedread,newsroom,7,",
      "\"service\",\"class\",\"weight\",\"limit\"\n\"dispatch\",\"issuer\",\"100\",\"500\"\n"
      "\"feedread\",\"newsroom\",\"7\",\"\"\n",
      "limit,weight,class,service\n500,100,issuer,dispatch\n\n,,,\n,7,newsroom,feedread\n",
  };
  for (const std::string& text : files) {
    const auto cells = ParseTableCsv(text);
    CHECK_TRUE_TEXT(cells.ok(), text.c_str());
    CHECK_TRUE_TEXT(*cells == kTwoCells, text.c_str());
  }
}

TEST(TableCsv, FaultsAreRefusedWithRowColumnAndReason) {
  const std::vector<BadFile> files = {
      {"", "row 1: the file is empty; it must start with column names"},
      {"service,class,weight,colour\n",
       "row 1, column 'colour': unknown column; the columns are service, class, weight and limit"},
      {"service,class,weight\n", "row 1, column limit: the column is missing"},
      {"service,class,weight,weight\n", "row 1, column weight: the column appears twice"},
      {kHeader + "a,b,-1,\n", "row 2, column weight: '-1' is out of range 1 to 1000000"},
      {kHeader + "a,b,0,\n", "row 2, column weight: '0' is out of range 1 to 1000000"},
      {kHeader + "a,b,99999999999999999999,\n",
       "row 2, column weight: '99999999999999999999' is out of range 1 to 1000000"},
      {kHeader + "a,b,1.5,\n", "row 2, column weight: '1.5' is not a whole number"},
      {kHeader + "a,b,,\n", "row 2, column weight: '' is not a whole number"},
      {kHeader + "a,b,1,100000001\n",
       "row 2, column limit: '100000001' is out of range 0 to 100000000"},
      {kHeader + "\r\n\na,b,1\n", "row 4: 3 fields in place of 4"},
      {kHeader + "a,b,1,2,3\n", "row 2: 5 fields in place of 4"},
      {kHeader + "A,b,1,\n",
       "row 2, column service: 'A' is not 1 to 64 characters of a-z, 0-9 and '-'"},
      {kHeader + "a,b/c,1,\n",
       "row 2, column class: 'b/c' is not 1 to 64 characters of a-z, 0-9 and '-'"},
      {kHeader + "a,b,1,\na,b,2,\n", "row 3, column service, class: a/b stands in row 2 already"},
      {kHeader + "a,b,1,\nd,\xC3\x28,1,\n", "row 3, column 2: not valid UTF-8"},
      {kHeader + "a,\xF0\x9F,1,\n", "row 2, column 2: not valid UTF-8"},
      {kHeader + "a,\"b,1,\n", nullptr},
      {kHeader + "a,b\"c,1,\n", nullptr},
      {std::string(1 + (1U << 20U), ','), "the file has 1048577 bytes; at most 1048576 are read"},
  };
  for (const BadFile& file : files) {
    const auto cells = ParseTableCsv(file.text);
    CHECK_FALSE(cells.ok());
    const std::string message(cells.status().message());
    if (file.error == nullptr) {
      CHECK_TRUE_TEXT(message.starts_with("row 2, column 2: misplaced or missing quote"),
                      message.c_str());
    } else {
      STRCMP_EQUAL(file.error, message.c_str());
    }
  }
}

TEST(TableCsv, WhatIsWrittenIsReadBack) {
  CHECK(rc::check("ParseTableCsv inverts FormatTableCsv", [] {
    const auto weights = *rc::gen::container<std::vector<int64_t>>(rc::gen::inRange(1, 1'000'001));
    std::vector<Cell> cells;
    std::vector<CsvCell> expected;
    for (const int64_t weight : weights) {
      const std::string service(1 + cells.size() / 26, static_cast<char>('a' + cells.size() % 26));
      Cell cell{{service, "c-1"}, {weight, std::nullopt}, 1, ""};
      if (weight % 2 == 0) cell.value.limit = weight * 100;
      cells.push_back(cell);
    }
    const Table table(1, cells);
    for (const Cell& cell : table.cells()) expected.push_back({cell.key, cell.value});
    const auto read = ParseTableCsv(runshelf::table::FormatTableCsv(table));
    RC_ASSERT(read.ok());
    RC_ASSERT(*read == expected);
  }));
}

TEST(TableCsv, AnyBytesAreReadOrRefusedWithoutACrash) {
  CHECK(rc::check("ParseTableCsv takes any bytes", [] {
    const auto bytes = *rc::gen::container<std::string>(
        rc::gen::oneOf(rc::gen::arbitrary<char>(), rc::gen::element('"', ',', '\n', '\r', '1')));
    (void)ParseTableCsv(bytes);
    (void)ParseTableCsv(kHeader + bytes);
  }));
}
