#include "runshelf/common/text.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "runshelf/common/json_writer.h"

namespace runshelf {

TEST_GROUP(Text){};

TEST(Text, WellFormedTextIsPlain) {
  for (const char* text :
       {"", "i-7f3a91c2", "a b~", "\xc2\xa0", "\xc3\xa4", "\xe2\x82\xac", "\xed\x9f\xbf",
        "\xee\x80\x80", "\xf0\x9f\x8d\x9e", "\xf4\x8f\xbf\xbf"}) {
    CHECK_TEXT(IsPlainText(text), text);
  }
}

// Guards against names that cannot be written as JSON, or that end the line they are written into.
TEST(Text, MalformedSequencesAndControlCharactersAreNotPlain) {
  for (const char* text :
       {"i-\xff\xfe\x80", "\x80", "a\xc3", "\xc0\xaf", "\xe0\x80\xaf", "\xf0\x80\x80\xaf",
        "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80", "\xe2\x82", "a\r\nb", "a\tb",
        "\x7f", "\xc3\x28"}) {
    CHECK_FALSE_TEXT(IsPlainText(text), text);
  }
  CHECK_FALSE(IsPlainText(std::string("a\0b", 3)));
}

// Guards against the end of a process when it serializes bytes that are not UTF-8.
TEST(Text, SerializationReplacesBytesThatAreNotText) {
  STRCMP_EQUAL("{\"id\":\"i-\xef\xbf\xbd\"}",
               SerializeJson({{"id", std::string("i-\xff")}}).c_str());
}

}  // namespace runshelf
