// Whether a request may have been executed, which decides whether it may be retried.
#pragma once

#include <string_view>

namespace runshelf {

// What is known about the execution of a request.
enum class Verdict {
  kNotRun,      // The server certainly did not execute the request, and never will.
  kMayHaveRun,  // Bytes were sent, and no answer tells whether the request was executed.
  kRan,         // The server executed the request; its answer is complete.
};

// "not-run", "may-have-run" or "ran": the value of the response header Runshelf-Verdict.
std::string_view VerdictName(Verdict verdict);

// Whether a request may be retried: when it was not executed, or when its outcome is unknown and
// the caller marked it as repeatable.
constexpr bool MayRetry(Verdict verdict, bool repeatable) {
  return verdict == Verdict::kNotRun || (verdict == Verdict::kMayHaveRun && repeatable);
}

}  // namespace runshelf
