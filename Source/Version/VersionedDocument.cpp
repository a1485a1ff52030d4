#include "Version/VersionedDocument.h"

#include "Common/JsonReader.h"

#include <fmt/format.h>

namespace samphireshunt {

using Json = nlohmann::json;

std::string VersionedDocument::encode() const {
  Json Root;
  Root["version"] = Version_.count();
  Root["changes"] = ChangeIds_;
  Root["document"] = readJson(CanonicalJson_).value().Root_;
  return Root.dump();
}

Result<VersionedDocument> VersionedDocument::decode(const std::string &Text) {
  auto Parsed = readJson(Text);
  if (!Parsed)
    return Parsed.error();
  const Json &Root = Parsed->Root_;
  return readGuarded<VersionedDocument>(ResultCode::DocumentSyntax, [&Root] {
    VersionedDocument Decoded;
    Decoded.Version_ = DocumentVersion(Root.at("version").get<std::uint64_t>());
    Decoded.ChangeIds_ = Root.at("changes").get<std::vector<std::string>>();
    Decoded.CanonicalJson_ = Root.at("document").dump();
    return Decoded;
  });
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
