// Whether a request may have run: the one thing that decides whether it may be sent again.
#pragma once

#include <string_view>

namespace runshelf {

enum class Verdict {
  kNotRun,      // The server certainly did not execute the request, and never will.
  kMayHaveRun,  // Bytes were handed towards a server and no answer says what became of them.
  kRan,         // The server executed the request; its answer is complete.
};

// "not-run", "may-have-run" or "ran": the value of the response header Runshelf-Verdict.
std::string_view VerdictName(Verdict verdict);

// A request may be sent again when it did not run, or when the caller marked it as repeatable.
constexpr bool MayRetry(Verdict verdict, bool repeatable) {
  return verdict == Verdict::kNotRun || (verdict == Verdict::kMayHaveRun && repeatable);
}

}  // namespace runshelf
