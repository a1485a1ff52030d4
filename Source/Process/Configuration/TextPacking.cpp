#include "Process/Configuration/TextPacking.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace samphireshunt {

namespace {

using CompressContext = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using DecompressContext = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

/// The fastest standard level, since a reader compresses between requests.
constexpr int PackingLevel = 1;
/// The limits of the library: 1 KB and 128 MB, as powers of two.
constexpr int MinWindow = 10;
constexpr int MaxWindow = 27;

/// The window must cover both the prefix and the text, or the beginning of the
/// prefix is not used.
int windowFor(std::size_t Bytes) {
  return std::clamp(static_cast<int>(std::bit_width(Bytes)), MinWindow,
                    MaxWindow);
}

} // namespace

std::optional<std::string> packText(std::string_view Text,
                                    std::string_view Prefix) {
  CompressContext Context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
  if (!Context)
    return std::nullopt;
  ZSTD_CCtx *Raw = Context.get();
  ZSTD_CCtx_setParameter(Raw, ZSTD_c_compressionLevel, PackingLevel);
  ZSTD_CCtx_setParameter(Raw, ZSTD_c_windowLog,
                         windowFor(Text.size() + Prefix.size()));
  // Equal sequences are a whole text apart, beyond the search distance of the
  // levels.
  ZSTD_CCtx_setParameter(Raw, ZSTD_c_enableLongDistanceMatching, 1);
  ZSTD_CCtx_refPrefix(Raw, Prefix.data(), Prefix.size());
  std::string Packed(ZSTD_compressBound(Text.size()), '\0');
  std::size_t Size = ZSTD_compress2(Raw, Packed.data(), Packed.size(),
                                    Text.data(), Text.size());
  if (ZSTD_isError(Size))
    return std::nullopt;
  Packed.resize(Size);
  Packed.shrink_to_fit();
  return Packed;
}

std::optional<std::string> unpackText(std::string_view Packed, std::size_t Size,
                                      std::string_view Prefix) {
  DecompressContext Context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
  if (!Context)
    return std::nullopt;
  ZSTD_DCtx_refPrefix(Context.get(), Prefix.data(), Prefix.size());
  std::string Text(Size, '\0');
  std::size_t UnpackedSize = ZSTD_decompressDCtx(
      Context.get(), Text.data(), Text.size(), Packed.data(), Packed.size());
  if (ZSTD_isError(UnpackedSize) || UnpackedSize != Size)
    return std::nullopt;
  return Text;
}

std::size_t maxPackedSize(std::size_t Size) { return ZSTD_compressBound(Size); }

} // namespace samphireshunt
