#pragma once
/// \file
/// A queue whose values are delivered in a later event-loop iteration.
///
/// A component that iterates over its tables notifies another one of a
/// decision; if that one called back at once, it would change the tables during
/// the iteration. The process would then crash on freed memory, or the same
/// slot would be granted twice. Queued values are delivered after the iteration
/// has returned.

#include "Connection/Spawn.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace samphireshunt {

/// Not thread-safe; used only on the thread that runs the context.
template <class Value> class PostedQueue {
public:
  using Receiver = std::function<void(Value)>;

  PostedQueue(boost::asio::io_context &Context, Receiver Deliver)
      : Context_(Context),
        State_(std::make_shared<State>(State{{}, std::move(Deliver)})) {}

  /// Delivers \p Added in a later event-loop iteration, after the values pushed
  /// before. All values pushed until then are delivered in one iteration.
  /// Values that are queued when the queue is destroyed are not delivered.
  void push(Value Added) {
    bool First = State_->Waiting_.empty();
    State_->Waiting_.push_back(std::move(Added));
    if (!First)
      return;
    boost::asio::post(Context_, [Weak = std::weak_ptr<State>(State_)] {
      if (auto Present = Weak.lock())
        deliverAll(*Present);
    });
  }

private:
  struct State {
    std::vector<Value> Waiting_;
    Receiver Deliver_;
  };

  static void deliverAll(State &Present) {
    // Values pushed during the delivery wait for the next iteration.
    for (Value &Next : std::exchange(Present.Waiting_, {}))
      runLogged("deliver-posted", [&] { Present.Deliver_(std::move(Next)); });
  }

  boost::asio::io_context &Context_;
  std::shared_ptr<State> State_;
};

} // namespace samphireshunt
