#include "source/http/answer_sequence.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf::http;

TEST_GROUP(AnswerSequence) {
  AnswerSequence answers;

  AnswerSequence::Number AppendOverlapping() {
    const AnswerSequence::Number number = answers.Append();
    answers.AllowOverlap(number);
    return number;
  }
};

// Guards against answers that reach the client in the order in which workers complete them.
TEST(AnswerSequence, AnAnswerBehindASlowOneIsHeldUntilItsTurn) {
  const auto first = AppendOverlapping();
  const auto second = AppendOverlapping();
  const auto third = AppendOverlapping();
  CHECK(answers.HasTurn(first));
  answers.Hold(third, "c");
  answers.Hold(second, "b1");
  answers.Hold(second, "b2");
  CHECK_EQUAL(5, answers.held_bytes());
  STRCMP_EQUAL("b1b2", answers.EndTurn().c_str());
  CHECK(answers.HasTurn(second));
  STRCMP_EQUAL("c", answers.EndTurn().c_str());
  CHECK(answers.HasTurn(third));
  STRCMP_EQUAL("", answers.EndTurn().c_str());
  CHECK(answers.empty());
  CHECK_EQUAL(0, answers.held_bytes());
}

// Guards against a request that overtakes one which must not run twice.
TEST(AnswerSequence, NothingBeginsBehindARequestThatAllowsNoOverlap) {
  AppendOverlapping();
  CHECK(answers.AcceptsAnother());
  const auto second = answers.Append();
  CHECK_FALSE(answers.AcceptsAnother());
  answers.EndTurn();
  CHECK_FALSE(answers.AcceptsAnother());
  answers.AllowOverlap(second);
  CHECK(answers.AcceptsAnother());
}

// Guards against one client that occupies the workers and the memory of its node by sending ahead.
TEST(AnswerSequence, OneConnectionHasABoundedNumberInProgressAndBoundedHeldBytes) {
  for (size_t count = 0; count < kMaxOverlappingRequests; ++count) {
    CHECK(answers.AcceptsAnother() || count == 0);
    AppendOverlapping();
  }
  CHECK_FALSE(answers.AcceptsAnother());
  answers.EndTurn();
  CHECK(answers.AcceptsAnother());
  answers.Hold(answers.Append(), std::string(kMaxHeldAnswerBytes, 'x'));
  answers.EndTurn();
  CHECK_FALSE(answers.AcceptsAnother());
}

// Guards against bytes of withdrawn answers that stay charged to the connection.
TEST(AnswerSequence, AnswersBehindAClosingOneAreDropped) {
  const auto first = AppendOverlapping();
  const auto second = AppendOverlapping();
  answers.Hold(second, "b");
  answers.Hold(AppendOverlapping(), "c");
  answers.DropBehind(first);
  CHECK_EQUAL(1, answers.size());
  CHECK_EQUAL(0, answers.held_bytes());
  STRCMP_EQUAL("", answers.EndTurn().c_str());
}
