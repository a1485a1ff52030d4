#include "Process/Rollout/RolloutRecord.h"

#include "Common/BoundedNumber.h"
#include "Common/JsonReader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace samphireshunt {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<RolloutStage, std::string_view>, 4> StageNames =
    {{{RolloutStage::Canary, "canary"},
      {RolloutStage::Shifting, "shifting"},
      {RolloutStage::Completed, "completed"},
      {RolloutStage::Reverted, "reverted"}}};

template <class Ids> Json textsOf(const Ids &All) {
  Json Texts = Json::array();
  for (const auto &Id : All)
    Texts.push_back(Id.str());
  return Texts;
}

template <class Id> std::set<Id> idsOf(const Json &Texts) {
  std::set<Id> All;
  for (const Json &Text : Texts)
    All.emplace(Text.get<std::string>());
  return All;
}

Result<RolloutRecord> read(const Json &Root) {
  RolloutRecord Read;
  Read.Target_ = SoftwareVersion(Root.at("target").get<std::string>());
  for (const char *Field : {"started", "stageBegan"})
    if (auto Number = readWholeOf(Root, Field, {}); !Number)
      return Number.error();
  auto Era = readUnsignedOf(Root, "era");
  if (!Era)
    return Era.error();
  auto Change = readUnsignedOf(Root, "revision");
  if (!Change)
    return Change.error();
  Read.Order_ = {StoreEra(*Era), Revision(*Change)};
  auto Name = Root.at("stage").get<std::string>();
  const auto *Stage = std::ranges::find(
      StageNames, Name, [](const auto &Known) { return Known.second; });
  if (Stage == StageNames.end())
    return Failure{ResultCode::DocumentSchema,
                   fmt::format("stage: '{}' is not known", Name)};
  Read.Stage_ = Stage->first;
  Read.Started_ = WallTime(Root.at("started").get<std::int64_t>());
  Read.StageBegan_ = WallTime(Root.at("stageBegan").get<std::int64_t>());
  Read.Base_ = idsOf<SoftwareVersion>(Root.at("base"));
  Read.Canaries_ = idsOf<ServerName>(Root.at("canaries"));
  return Read;
}

} // namespace

std::string_view rolloutStageName(RolloutStage Stage) {
  return std::ranges::find(StageNames, Stage,
                           [](const auto &Known) { return Known.first; })
      ->second;
}

bool RolloutRecord::answers(const RolloutOrder &Order,
                            const StorePosition &Written) const {
  bool Same = Written == Order_ || Written.Era_ > Order_.Era_;
  return Same && Order.Target_ == Target_;
}

bool RolloutRecord::supersedes(const RolloutRecord &Known) const {
  if (Order_ != Known.Order_)
    return Order_ > Known.Order_;
  if (Known.ended() || Stage_ < Known.Stage_)
    return false;
  return Stage_ > Known.Stage_ || Canaries_ != Known.Canaries_;
}

std::string RolloutRecord::encode() const {
  Json Root = {{"target", Target_.str()},
               {"era", Order_.Era_.count()},
               {"revision", Order_.Revision_.count()},
               {"stage", rolloutStageName(Stage_)},
               {"started", Started_.count()},
               {"stageBegan", StageBegan_.count()},
               {"base", textsOf(Base_)},
               {"canaries", textsOf(Canaries_)}};
  return Root.dump();
}

Result<RolloutRecord> RolloutRecord::decode(const std::string &Text) {
  auto Parsed = readJsonObject(Text);
  if (!Parsed)
    return Parsed.error();
  return readGuarded<RolloutRecord>(ResultCode::DocumentSchema,
                                    [&] { return read(Parsed->Root_); });
}

} // namespace samphireshunt
