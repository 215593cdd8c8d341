#include "tests/soak/second_answers.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::soak;

TEST_GROUP(SecondAnswers){};

TEST(SecondAnswers, EveryFormOccurs) {
  SecondAnswers second_answers(1);
  int once = 0;
  int at_once = 0;
  int after_next_request = 0;
  int after_answer = 0;
  int in_pieces = 0;
  int followed = 0;
  for (int index = 0; index < 1000; ++index) {
    const auto next = second_answers.Next();
    if (!next.has_value()) {
      ++once;
      continue;
    }
    const bool late = next->after > Duration(0);
    CHECK(late || next->from_next_request);
    CHECK(next->after <= std::chrono::seconds(2));
    if (!late) ++at_once;
    if (late && next->from_next_request) ++after_next_request;
    if (!next->from_next_request) ++after_answer;
    if (next->first_piece > 0) ++in_pieces;
    if (!next->followed_by.empty()) ++followed;
  }
  for (const int count : {once, at_once, after_next_request, after_answer, in_pieces, followed}) {
    CHECK(count > 0);
  }
}
