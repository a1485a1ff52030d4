#include "Version/VersionedDocument.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace samphireshunt {

using Json = nlohmann::json;

std::string VersionedDocument::encode() const {
  Json Root;
  Root["version"] = Version_.count();
  Root["changes"] = ChangeIds_;
  Root["document"] = Json::parse(CanonicalJson_);
  return Root.dump();
}

Result<VersionedDocument> VersionedDocument::decode(const std::string &Text) {
  try {
    Json Root = Json::parse(Text);
    VersionedDocument Decoded;
    Decoded.Version_ = DocumentVersion(Root.at("version").get<std::uint64_t>());
    Decoded.ChangeIds_ = Root.at("changes").get<std::vector<std::string>>();
    Decoded.CanonicalJson_ = Root.at("document").dump();
    return Decoded;
  } catch (const Json::exception &Error) {
    return Failure{ResultCode::DocumentSyntax, Error.what()};
  }
}

VersionedDocument VersionedDocument::next(std::string ChangeId,
                                          std::string CanonicalJson) const {
  VersionedDocument Next;
  Next.Version_ = Version_ + DocumentVersion(1);
  Next.ChangeIds_ = ChangeIds_;
  Next.ChangeIds_.push_back(std::move(ChangeId));
  if (Next.ChangeIds_.size() > MaxChangeIds)
    Next.ChangeIds_.erase(Next.ChangeIds_.begin());
  Next.CanonicalJson_ = std::move(CanonicalJson);
  return Next;
}

std::string documentKey(const ServiceName &Service) {
  return DocumentKeyPrefix + Service.str();
}

std::string historyKey(const ServiceName &Service, DocumentVersion Version) {
  return fmt::format("history/{}/{:08}", Service.str(), Version.count());
}

} // namespace samphireshunt
