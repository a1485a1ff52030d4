#pragma once
/// \file
/// A queue that is worked off in a turn of its own.
///
/// What goes wrong without it: a part that walks through its tables tells
/// another one of a decision; that one calls back, and changes the tables
/// beneath the walk. One notices by a process that ends in memory that was
/// freed, or by places that are given out twice. What is queued here is
/// delivered after the walk has returned.

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace samphireshunt {

/// Used on the context's thread only.
template <class Value> class PostedQueue {
public:
  using Receiver = std::function<void(Value)>;

  PostedQueue(boost::asio::io_context &Context, Receiver Deliver)
      : Context_(Context),
        State_(std::make_shared<State>(State{{}, std::move(Deliver)})) {}

  /// Delivers \p Added in a later turn, after what was added before. However
  /// much is added until then is delivered in one turn; nothing is once the
  /// queue is gone.
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
    // What is added meanwhile waits for the next turn.
    for (Value &Next : std::exchange(Present.Waiting_, {}))
      Present.Deliver_(std::move(Next));
  }

  boost::asio::io_context &Context_;
  std::shared_ptr<State> State_;
};

} // namespace samphireshunt
