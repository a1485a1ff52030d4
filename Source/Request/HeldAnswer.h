#pragma once
/// \file
/// Waits for the memory of an answer that is read whole.

#include "Connection/Http.h"
#include "Connection/MemoryBudget.h"

#include <functional>

namespace samphireshunt {

/// Waits until AnswerTurn::grow() has room for an answer of \p Bytes: it is
/// under way, and its server may not run the request again. \returns false if
/// the answer is too large to be held even alone, or if there was no room
/// within a second or before \p IsOver.
Awaitable<bool> awaitRoom(AnswerTurn &Turn, MemoryUse &Held, std::size_t Bytes,
                          std::function<bool()> IsOver);

} // namespace samphireshunt
