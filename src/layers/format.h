// What a published version is made of, as bytes: an OCI image manifest that lists layers, and for each layer
// an index that lists its chunks (docs/layers.md has the format). No I/O.
//
// A layer's blob is its chunks one behind the other, each a zstd frame of its own: any zstd tool unpacks the
// whole, a Range request fetches one chunk, and a registry sees a manifest with a few blobs as always. A
// version's name is its manifest's digest; everything else hangs from it by digests, so nothing that a store
// sends is believed for its own sake.
//
// Bounds of what is read: kMostManifest, kMostIndex, kMostChunks, kMostChunk, kMostLayers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "layers/chunker.h"
#include "layers/digest.h"

namespace laureltide::layers {

inline constexpr const char* kManifestType = "application/vnd.oci.image.manifest.v1+json";
inline constexpr const char* kEmptyType = "application/vnd.oci.empty.v1+json";  // image-spec 1.1, manifest.md
inline constexpr const char* kArtifactType = "application/vnd.laureltide.function.v1";
inline constexpr const char* kLayerType = "application/vnd.laureltide.layer.v1.chunked+zstd";
inline constexpr const char* kIndexType = "application/vnd.laureltide.layer.index.v1+json";

inline constexpr std::size_t kMostManifest = 4U << 20;  // distribution-spec 1.1: a registry takes that much
inline constexpr std::size_t kMostIndex = 32U << 20;
inline constexpr std::size_t kMostChunk = 16U << 20;  // unpacked
inline constexpr std::size_t kMostChunks = 200'000;   // of a layer
inline constexpr std::size_t kMostLayers = 64;

struct Chunk {
  Digest content;  // of its plain bytes: the same in every layer that holds them
  std::uint32_t size = 0;
  Digest stored;  // of the frame in the blob: checked before the frame is unpacked
  std::uint32_t stored_size = 0;
  std::uint64_t offset = 0;  // in the blob
  bool operator==(const Chunk&) const = default;
};
struct Index {
  Digest content;  // of the whole layer's plain bytes
  std::uint64_t size = 0;
  std::vector<Chunk> chunks;
};

struct LayerRef {
  std::string title;  // org.opencontainers.image.title: the layer's name for people
  Digest blob, index;
  std::uint64_t blob_size = 0, index_size = 0;
  bool operator==(const LayerRef&) const = default;
};
struct Manifest {
  std::string function;
  std::uint64_t release = 0;  // rises with every release of the function, also with one that goes back
  std::vector<LayerRef> layers;
};

std::string write_manifest(const Manifest& manifest);
// Nothing, with the reason, if it is none of ours or over a bound.
std::optional<Manifest> parse_manifest(std::string_view bytes, std::string& why);
std::string write_index(const Index& index);
std::optional<Index> parse_index(std::string_view bytes, std::string& why);

struct PackedLayer {
  std::string blob, index_bytes;
  Index index;
};
// `level`: zstd's. The same bytes, options and library give the same blob.
PackedLayer pack_layer(std::string_view plain, const ChunkerOptions& options, int level = 3);

// The plain bytes of a chunk's frame; nothing, with the reason, if a digest or size does not fit. What does
// not have the stored digest is not unpacked.
std::optional<std::string> unpack_chunk(std::string_view frame, const Chunk& chunk, std::string& why);

}  // namespace laureltide::layers
