#include "Process/Keeping/KeeperMessages.h"

#include "Connection/PeerMessage.h"

#include <doctest/doctest.h>

using namespace samphireshunt;

TEST_CASE("the work time reaches the keeper with both messages") {
  // Guards against a figure that is read but not sent.
  const CellId Cell{ServiceName("s"), PoolName("p")};
  const RequestId Id{1, 2};
  ServedSample Served;
  Served.WorkTimePercent_ = 250;
  auto Done = decodeMessage(encodeDone(Cell, Id, Served, AskNumber(7))).value();
  CHECK(sampleFromWire(*Done.body.AsDone()).WorkTimePercent_ == 250);
  auto First = decodeMessage(encodeFirstToken(
                                 Cell, Id, {std::chrono::microseconds(7), 180}))
                   .value();
  CHECK(sampleFromWire(*First.body.AsFirstToken()).WorkTimePercent_ == 180);
}
