// Uses something of each part, so that every target's headers and library are needed.
#include <iostream>

#include "runshelf/admission/admission_queue.h"
#include "runshelf/common/slot.h"
#include "runshelf/consensus/message_json.h"
#include "runshelf/coordination/message_json.h"
#include "runshelf/coordination/node.h"
#include "runshelf/ownership/assignment.h"
#include "runshelf/routing/retry_budget.h"
#include "runshelf/table/table_csv.h"
#include "runshelf/table/table_json.h"

namespace {

bool CheckOne(const char* part, bool works) {
  std::cout << part << (works ? ": works\n" : ": does not work\n");
  return works;
}

}  // namespace

int main() {
  using namespace runshelf;
  const Instant now(std::chrono::seconds(1));

  bool works = CheckOne("common", SlotOfKey("release-1", 16) < 16);

  const auto cells = table::ParseTableCsv("service,class,weight,limit\nfeedread,press,3,\n");
  works &= CheckOne("table", cells.ok() && cells->size() == 1 &&
                                 table::DecodeTable(table::EncodeTable(table::Table())).ok());

  const consensus::Message vote = consensus::VoteRequest{};
  const auto decoded_vote = consensus::MessageFromJson(consensus::ToJson(vote));
  works &= CheckOne("consensus", decoded_vote.ok() && *decoded_vote == vote);

  works &= CheckOne("ownership",
                    ownership::AssignmentState::Decode(ownership::AssignmentState().Encode()).ok());

  admission::AdmissionQueue queue{admission::AdmissionConfig{}};
  works &= CheckOne("admission", queue.Cancel(1) == false && queue.idle());

  works &= CheckOne("coordination", !coordination::DecodeEnvelope("{}").ok());

  routing::RetryBudget budget{routing::RetryBudgetConfig{}};
  works &= CheckOne("routing", budget.TryRetry(now));
  return works ? 0 : 1;
}
