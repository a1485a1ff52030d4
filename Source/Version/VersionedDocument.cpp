#include "Version/VersionedDocument.h"

#include "Common/BoundedNumber.h"
#include "Common/JsonReader.h"

#include <fmt/format.h>

#include <algorithm>

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
  return readGuarded<VersionedDocument>(
      ResultCode::DocumentSyntax, [&Root]() -> Result<VersionedDocument> {
        VersionedDocument Decoded;
        auto Version = readVersion(Root, "version", FirstDocumentVersion);
        if (!Version)
          return Version.error();
        Decoded.Version_ = *Version;
        Decoded.ChangeIds_ = Root.at("changes").get<std::vector<std::string>>();
        Decoded.CanonicalJson_ = Root.at("document").dump();
        return Decoded;
      });
}

Result<VersionedDocument>
VersionedDocument::next(DocumentVersion InForce, std::string ChangeId,
                        std::string CanonicalJson) const {
  DocumentVersion Newest = std::max(Version_, InForce);
  if (Newest >= MaxDocumentVersion)
    return Failure{ResultCode::DocumentSchema,
                   fmt::format("version: {} is the last, no other can follow",
                               Newest.count())};
  VersionedDocument Next;
  Next.Version_ = Newest + DocumentVersion(1);
  Next.ChangeIds_ = ChangeIds_;
  Next.ChangeIds_.push_back(std::move(ChangeId));
  if (Next.ChangeIds_.size() > MaxChangeIds)
    Next.ChangeIds_.erase(Next.ChangeIds_.begin());
  Next.CanonicalJson_ = std::move(CanonicalJson);
  return Next;
}

Result<DocumentVersion> readVersion(const Json &Holder, const char *Field,
                                    DocumentVersion First) {
  NumberRange Range{static_cast<std::int64_t>(First.count()),
                    static_cast<std::int64_t>(MaxDocumentVersion.count())};
  auto Read = readWholeOf(Holder, Field, Range);
  if (!Read)
    return Read.error();
  return DocumentVersion(static_cast<std::uint64_t>(*Read));
}

std::string documentKey(const ServiceName &Service) {
  return DocumentKeyPrefix + Service.str();
}

std::string historyKey(const ServiceName &Service, DocumentVersion Version) {
  return fmt::format("history/{}/{:08}", Service.str(), Version.count());
}

} // namespace samphireshunt
