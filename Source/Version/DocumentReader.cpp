#include "Version/DocumentReader.h"

#include "Common/BoundedNumber.h"
#include "Common/JsonReader.h"
#include "Connection/ServerAddress.h"
#include "DocumentSchema.inc"

#include <fmt/format.h>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <limits>
#include <map>
#include <set>

namespace samphireshunt {

namespace {

using Json = nlohmann::json;
using LineByPointer = std::map<std::string, int>;

/// Converts a YAML scalar. Plain scalars have no explicit type: a quoted one is
/// a string, any other is a number or a boolean if it can be parsed as one.
Json scalarToJson(const YAML::Node &Node) {
  const std::string &Text = Node.Scalar();
  if (Node.Tag() == "!")
    return Text;
  if (Text == "true")
    return true;
  if (Text == "false")
    return false;
  std::int64_t Number = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Parsed.ec == std::errc() && Parsed.ptr == Text.data() + Text.size())
    return Number;
  return Text;
}

/// Converts YAML to JSON and records the line of each JSON pointer. A node that
/// is nested deeper than MaxJsonNesting ends the conversion with a finding:
/// an alias inside its own anchor nests without end.
class YamlConverter {
public:
  Json convert(const YAML::Node &Node, const std::string &Pointer) {
    if (TooDeep_)
      return nullptr;
    Lines_[Pointer] = Node.Mark().line + 1;
    if (Depth_ > MaxJsonNesting)
      return refuseDepth(Node, Pointer);
    ++Depth_;
    Json Converted = convertNode(Node, Pointer);
    --Depth_;
    return Converted;
  }
  bool tooDeep() const { return TooDeep_; }
  LineByPointer takeLines() { return std::move(Lines_); }
  std::vector<Finding> takeFindings() { return std::move(Findings_); }

private:
  Json convertNode(const YAML::Node &Node, const std::string &Pointer) {
    if (Node.IsMap())
      return convertMap(Node, Pointer);
    if (Node.IsSequence())
      return convertSequence(Node, Pointer);
    if (Node.IsScalar())
      return scalarToJson(Node);
    return nullptr;
  }
  Json refuseDepth(const YAML::Node &Node, const std::string &Pointer) {
    TooDeep_ = true;
    Findings_.push_back({ResultCode::DocumentSchema, Node.Mark().line + 1,
                         Pointer, "is nested too deeply"});
    return nullptr;
  }
  Json convertMap(const YAML::Node &Node, const std::string &Pointer) {
    Json Object = Json::object();
    for (const auto &Entry : Node) {
      std::string Key = Entry.first.as<std::string>();
      std::string Inner = Pointer + "/" + Key;
      if (Object.contains(Key))
        Findings_.push_back({ResultCode::DocumentDuplicate,
                             Entry.first.Mark().line + 1, Inner,
                             "duplicate field; remove one"});
      Object[Key] = convert(Entry.second, Inner);
      Lines_[Inner] = Entry.first.Mark().line + 1;
    }
    return Object;
  }
  Json convertSequence(const YAML::Node &Node, const std::string &Pointer) {
    Json Array = Json::array();
    for (const auto &Item : Node)
      Array.push_back(
          convert(Item, fmt::format("{}/{}", Pointer, Array.size())));
    return Array;
  }

  LineByPointer Lines_;
  std::vector<Finding> Findings_;
  std::size_t Depth_ = 0;
  bool TooDeep_ = false;
};

const valijson::Schema &parsedSchema() {
  static const std::unique_ptr<valijson::Schema> Schema = [] {
    auto Parsed = std::make_unique<valijson::Schema>();
    Json Text = readJson(DocumentSchemaText).value().Root_;
    valijson::adapters::NlohmannJsonAdapter Adapter(Text);
    valijson::SchemaParser().populateSchema(Adapter, *Parsed);
    return Parsed;
  }();
  return *Schema;
}

/// Collects findings and adds their line numbers.
class Findings {
public:
  explicit Findings(LineByPointer Lines) : Lines_(std::move(Lines)) {}

  void add(ResultCode Code, std::string Pointer, std::string Message) {
    int Line = lineOf(Pointer);
    All_.push_back({Code, Line, std::move(Pointer), std::move(Message)});
  }
  void add(std::vector<Finding> More) {
    All_.insert(All_.end(), More.begin(), More.end());
  }
  bool empty() const { return All_.empty(); }
  std::vector<Finding> take() {
    std::ranges::stable_sort(All_, {}, &Finding::Line_);
    return std::move(All_);
  }

private:
  int lineOf(std::string Pointer) const {
    while (!Pointer.empty()) {
      auto Found = Lines_.find(Pointer);
      if (Found != Lines_.end())
        return Found->second;
      Pointer.resize(Pointer.rfind('/'));
    }
    return Lines_.empty() ? 0 : 1;
  }

  LineByPointer Lines_;
  std::vector<Finding> All_;
};

/// Converts an error of valijson, whose context is a path such as
/// <root>[pools][0][servers].
Finding schemaFinding(const valijson::ValidationResults::Error &Error) {
  Finding Found;
  for (const std::string &Part : Error.context)
    if (Part != "<root>")
      Found.Pointer_ += "/" + Part.substr(1, Part.size() - 2);
  Found.Message_ = Error.description;
  // "Object contains a property that could not be validated using [...]: 'x'"
  constexpr std::string_view Unknown = "Object contains a property";
  if (!Found.Message_.starts_with(Unknown))
    return Found;
  std::size_t End = Found.Message_.rfind('\'');
  std::size_t Start = Found.Message_.rfind('\'', End - 1) + 1;
  std::string Name = Found.Message_.substr(Start, End - Start);
  Found.Pointer_ += "/" + Name;
  Found.Message_ =
      fmt::format("unknown field '{}'; correct or remove it", Name);
  return Found;
}

void checkSchema(const Json &Root, Findings &Found) {
  valijson::Validator Validator;
  valijson::ValidationResults Results;
  valijson::adapters::NlohmannJsonAdapter Adapter(Root);
  if (Validator.validate(parsedSchema(), Adapter, &Results))
    return;
  std::vector<Finding> Errors;
  valijson::ValidationResults::Error Error;
  while (Results.popError(Error))
    Errors.push_back(schemaFinding(Error));
  // valijson reports an error again for each enclosing object; only the
  // innermost report names the cause.
  auto IsOuter = [&Errors](const Finding &Outer) {
    return std::ranges::any_of(Errors, [&](const Finding &Inner) {
      return Inner.Pointer_.size() > Outer.Pointer_.size() &&
             Inner.Pointer_.starts_with(Outer.Pointer_);
    });
  };
  for (const Finding &Reported : Errors)
    if (!Reported.Message_.starts_with("Failed to validate") ||
        !IsOuter(Reported))
      Found.add(Reported.Code_, Reported.Pointer_, Reported.Message_);
}

/// Builds the typed document and checks what a schema can't express: references
/// between fields and names that must be unique.
class DocumentBuilder {
public:
  DocumentBuilder(const Json &Root, Findings &Found)
      : Root_(Root), Found_(Found) {}

  Document build() {
    Result_.Service_ = ServiceName(Root_.at("service").get<std::string>());
    Result_.Hosts_ = Root_.value("hosts", std::vector<std::string>());
    Result_.LogLevel_ = Root_.value("logLevel", "info");
    Result_.Tiers_ = Root_.at("tiers").get<std::vector<std::string>>();
    checkUnique(Result_.Tiers_, "/tiers", "tier");
    buildLimits();
    buildCustomers();
    buildPools();
    buildRoutes();
    Result_.buildIndex();
    return std::move(Result_);
  }

private:
  void checkUnique(const std::vector<std::string> &Names,
                   const std::string &Pointer, std::string_view What) {
    std::set<std::string> Seen;
    for (std::size_t Index = 0; Index < Names.size(); ++Index)
      if (!Seen.insert(Names[Index]).second)
        Found_.add(ResultCode::DocumentDuplicate,
                   fmt::format("{}/{}", Pointer, Index),
                   fmt::format("duplicate {} '{}'; rename or remove one", What,
                               Names[Index]));
  }

  TierIndex tierAt(const std::string &Pointer, const std::string &Name) {
    auto Tier = Result_.tier(Name);
    if (!Tier)
      Found_.add(ResultCode::DocumentReference, Pointer,
                 fmt::format("tier '{}' is not in /tiers; add it or write one "
                             "of: {}",
                             Name, fmt::join(Result_.Tiers_, ", ")));
    return Tier.value_or(TierIndex(0));
  }

  void buildLimits() {
    Json Limits = Root_.value("limits", Json::object());
    ServiceLimits &Target = Result_.Limits_;
    Target.DefaultTimeout_ = std::chrono::milliseconds(
        Limits.value("defaultTimeoutMs", Target.DefaultTimeout_.count()));
    Target.MaxTimeout_ = std::chrono::milliseconds(
        Limits.value("maxTimeoutMs", Target.MaxTimeout_.count()));
    Target.MaxBodyBytes_ = Limits.value("maxBodyBytes", Target.MaxBodyBytes_);
    if (Target.DefaultTimeout_ > Target.MaxTimeout_)
      Found_.add(ResultCode::DocumentReference, "/limits/defaultTimeoutMs",
                 "greater than maxTimeoutMs; lower it or raise maxTimeoutMs");
  }

  void buildCustomers() {
    std::vector<std::string> Names;
    std::map<std::string, std::string> DigestOwner;
    for (const Json &Entry : Root_.at("customers")) {
      std::string Pointer = fmt::format("/customers/{}", Names.size());
      Customer Built;
      Names.push_back(Entry.at("name").get<std::string>());
      Built.Name_ = CustomerName(Names.back());
      Built.DefaultTier_ = tierAt(Pointer + "/defaultTier",
                                  Entry.at("defaultTier").get<std::string>());
      Built.Weight_ = Entry.value("weight", Built.Weight_);
      Built.MaxInFlight_ = Entry.value("maxInFlight", Built.MaxInFlight_);
      Built.AllowedTiers_.push_back(Built.DefaultTier_);
      for (const Json &Name : Entry.value("allowedTiers", Json::array()))
        Built.AllowedTiers_.push_back(
            tierAt(Pointer + "/allowedTiers", Name.get<std::string>()));
      for (const Json &Digest : Entry.at("keyDigests"))
        addDigest(Built, Digest.get<std::string>(), Pointer, DigestOwner);
      Result_.Customers_.push_back(std::move(Built));
    }
    checkUnique(Names, "/customers", "customer");
  }

  void addDigest(Customer &Owner, const std::string &Text,
                 const std::string &Pointer,
                 std::map<std::string, std::string> &DigestOwner) {
    std::string Digest = Text.substr(Text.find(':') + 1);
    auto [Known, New] = DigestOwner.try_emplace(Digest, Owner.Name_.str());
    if (!New)
      Found_.add(
          ResultCode::DocumentDuplicate, Pointer + "/keyDigests",
          fmt::format("customer '{}' has the same key; give each its own",
                      Known->second));
    Owner.KeyDigests_.push_back(Digest);
  }

  void buildPools() {
    std::vector<std::string> Names;
    std::map<std::string, std::string> ModelOwner;
    for (const Json &Entry : Root_.at("pools")) {
      std::string Pointer = fmt::format("/pools/{}", Names.size());
      Pool Built;
      Names.push_back(Entry.at("name").get<std::string>());
      Built.Name_ = PoolName(Names.back());
      Built.Kind_ =
          Entry.at("kind") == "model" ? PoolKind::Model : PoolKind::Application;
      Built.MaxWaiting_ = Entry.value("maxWaiting", Built.MaxWaiting_);
      Built.Models_ = Entry.value("models", std::vector<std::string>());
      if (Built.Kind_ == PoolKind::Model && Built.Models_.empty())
        Found_.add(ResultCode::DocumentReference, Pointer,
                   "a model pool needs at least one model; add 'models'");
      for (const std::string &Model : Built.Models_)
        if (!ModelOwner.try_emplace(Model, Names.back()).second)
          Found_.add(ResultCode::DocumentDuplicate, Pointer + "/models",
                     fmt::format("model '{}' is served by two pools; keep one",
                                 Model));
      buildServers(Built, Entry.at("servers"), Pointer + "/servers");
      Result_.Pools_.push_back(std::move(Built));
    }
    checkUnique(Names, "/pools", "pool");
  }

  void buildServers(Pool &Target, const Json &Entries,
                    const std::string &Pointer) {
    std::vector<std::string> Names;
    for (const Json &Entry : Entries) {
      std::string ServerPointer = fmt::format("{}/{}", Pointer, Names.size());
      BackendServer Built;
      Names.push_back(Entry.at("name").get<std::string>());
      Built.Name_ = ServerName(Names.back());
      std::string Text = Entry.at("address").get<std::string>();
      auto Address = parseServerAddress(Text);
      if (!Address)
        Found_.add(ResultCode::DocumentSchema, ServerPointer + "/address",
                   Address.error().Detail_ + "; write e.g. 10.1.2.3:8000");
      else
        Built.Address_ = *Address;
      if (!Addresses_.insert(Text).second)
        Found_.add(ResultCode::DocumentDuplicate, ServerPointer + "/address",
                   fmt::format("duplicate address {}", Text));
      Built.DataCenter_ =
          DataCenterName(Entry.at("dataCenter").get<std::string>());
      Built.Leaving_ = Entry.value("state", "active") == "leaving";
      Built.MaxInFlight_ = Entry.value("maxInFlight", Built.MaxInFlight_);
      Built.ChecksFencing_ = Entry.value("checksFencing", false);
      Built.RefusesBeforeRunning_ = Entry.value("refusesBeforeRunning", false);
      Target.Servers_.push_back(std::move(Built));
    }
    checkUnique(Names, Pointer, "server");
  }

  void buildRoutes() {
    std::vector<std::string> Paths;
    for (const Json &Entry : Root_.at("routes")) {
      std::string Pointer = fmt::format("/routes/{}", Paths.size());
      Route Built;
      Paths.push_back(Entry.at("path").get<std::string>());
      Built.PathPrefix_ = Paths.back();
      Built.Pool_ = PoolName(Entry.at("pool").get<std::string>());
      Built.Methods_ = Entry.value("methods", std::vector<std::string>());
      Built.NonIdempotent_ = Entry.value("nonIdempotent", false);
      auto Target =
          std::ranges::find(Result_.Pools_, *Built.Pool_, &Pool::Name_);
      if (Target == Result_.Pools_.end())
        Found_.add(
            ResultCode::DocumentReference, Pointer + "/pool",
            fmt::format("pool '{}' is not in /pools", Built.Pool_->str()));
      else if (Target->Kind_ == PoolKind::Model && Built.NonIdempotent_)
        Found_.add(ResultCode::DocumentReference, Pointer + "/nonIdempotent",
                   "only routes to application pools can be non-idempotent");
      Result_.Routes_.push_back(
          std::make_shared<const Route>(std::move(Built)));
    }
    checkUnique(Paths, "/routes", "path");
  }

  const Json &Root_;
  Findings &Found_;
  Document Result_;
  std::set<std::string> Addresses_;
};

DocumentOrFindings check(const Json &Root, Findings Found) {
  // A newer format may have fields that the schema doesn't know. Only the
  // format is reported then, since all other findings would be misleading.
  bool Numbered = Root.is_object() && Root.contains("format") &&
                  Root["format"].is_number_integer();
  constexpr NumberRange Known{std::numeric_limits<std::int64_t>::min(),
                              NewestFormat};
  if (Numbered && !readWhole("format", Root["format"], Known)) {
    Found.add(
        ResultCode::FormatTooNew, "/format",
        fmt::format("this program understands formats up to {}", NewestFormat));
    return Found.take();
  }
  checkSchema(Root, Found);
  if (!Found.empty())
    return Found.take();
  auto Built = std::make_shared<Document>(DocumentBuilder(Root, Found).build());
  if (!Found.empty())
    return Found.take();
  return CheckedDocument{std::move(Built), Root.dump()};
}

/// \returns what check() returns, or a finding if it throws, for example
/// because a text is not UTF-8.
DocumentOrFindings checkGuarded(const Json &Root, Findings Found) {
  try {
    return check(Root, std::move(Found));
  } catch (const std::exception &Error) {
    return std::vector<Finding>{
        {ResultCode::DocumentSchema, 0, "", Error.what()}};
  }
}

} // namespace

const char *documentSchema() { return DocumentSchemaText; }

DocumentOrFindings readYamlDocument(const std::string &Text) {
  try {
    std::vector<YAML::Node> Roots = YAML::LoadAll(Text);
    // A separator at the end begins an empty document.
    while (Roots.size() > 1 && Roots.back().IsNull())
      Roots.pop_back();
    if (Roots.size() > 1)
      return std::vector<Finding>{{ResultCode::DocumentSyntax,
                                   Roots[1].Mark().line + 1, "",
                                   "more than one document; keep one"}};
    YAML::Node Root = Roots.empty() ? YAML::Node() : Roots.front();
    YamlConverter Converter;
    Json Converted = Converter.convert(Root, "");
    if (Converter.tooDeep())
      return Converter.takeFindings();
    Findings Found(Converter.takeLines());
    Found.add(Converter.takeFindings());
    return checkGuarded(Converted, std::move(Found));
  } catch (const YAML::Exception &Error) {
    return std::vector<Finding>{
        {ResultCode::DocumentSyntax, Error.mark.line + 1, "", Error.msg}};
  } catch (const std::exception &Error) {
    return std::vector<Finding>{
        {ResultCode::DocumentSyntax, 0, "", Error.what()}};
  }
}

DocumentOrFindings readJsonDocument(const std::string &Text) {
  auto Parsed = readJson(Text);
  if (!Parsed)
    return std::vector<Finding>{
        {Parsed.error().Code_, 0, "", Parsed.error().Detail_}};
  return checkGuarded(Parsed->Root_, Findings({}));
}

} // namespace samphireshunt
