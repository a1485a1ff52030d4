#include "Process/Configuration/MeasuredPlatform.h"

namespace samphireshunt {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::steady_clock;

template <class Value>
Awaitable<Result<Value>> measured(std::string Call,
                                  Awaitable<Result<Value>> Inner,
                                  PlatformCallObserver Observer) {
  auto Begin = steady_clock::now();
  auto Answer = co_await std::move(Inner);
  // A failure that the service itself reports still counts as an answer.
  bool Answered =
      Answer || Answer.error().Code_ != ResultCode::PlatformUnavailable;
  Observer(Call, Answered,
           duration_cast<microseconds>(steady_clock::now() - Begin));
  co_return Answer;
}

} // namespace

PlatformHooks measuredPlatform(PlatformHooks Inner,
                               PlatformCallObserver Observer) {
  PlatformHooks Hooks;
  Hooks.Get_ = [Call = std::move(Inner.Get_), Observer](std::string Key) {
    return measured("get", Call(std::move(Key)), Observer);
  };
  Hooks.Put_ = [Call = std::move(Inner.Put_), Observer](KeyValueWrite Write) {
    return measured("put", Call(std::move(Write)), Observer);
  };
  Hooks.Delete_ = [Call = std::move(Inner.Delete_),
                   Observer](std::string Key, StorePosition Expected) {
    return measured("delete", Call(std::move(Key), Expected), Observer);
  };
  Hooks.List_ = [Call = std::move(Inner.List_), Observer](std::string Prefix) {
    return measured("list", Call(std::move(Prefix)), Observer);
  };
  Hooks.Watch_ = [Call = std::move(Inner.Watch_),
                  Observer](std::string Prefix, StorePosition After,
                            std::chrono::milliseconds Wait) {
    return measured("watch", Call(std::move(Prefix), After, Wait), Observer);
  };
  Hooks.AnswerArriving_ = std::move(Inner.AnswerArriving_);
  Hooks.Vms_ = [Call = std::move(Inner.Vms_), Observer]() {
    return measured("vms", Call(), Observer);
  };
  return Hooks;
}

} // namespace samphireshunt
