// Format of a published version: an OCI image manifest that lists layers, and an index per layer that lists
// its chunks (docs/layers.md). No I/O.
//
// A layer's blob is the concatenation of its chunks, each a separate zstd frame: any zstd tool unpacks the
// blob, a Range request fetches one chunk, and a registry sees an ordinary manifest with a few blobs. A
// version is identified by its manifest's digest, which covers all other content by digests, so that
// everything a store sends can be verified.
//
// Limits on input: kMaxManifestBytes, kMaxIndexBytes, kMaxChunks, kMaxChunkBytes, kMaxLayers.
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

inline constexpr std::size_t kMaxManifestBytes =
    4U << 20;  // distribution-spec 1.1: the size that registries must accept
inline constexpr std::size_t kMaxIndexBytes = 32U << 20;
inline constexpr std::size_t kMaxChunkBytes = 16U << 20;  // unpacked
inline constexpr std::size_t kMaxChunks = 200'000;        // per layer
inline constexpr std::size_t kMaxLayers = 64;

struct Chunk {
  Digest content;  // digest of the plain bytes, the same in every layer
  std::uint32_t size = 0;
  Digest stored;  // digest of the frame, checked before unpacking
  std::uint32_t stored_size = 0;
  std::uint64_t offset = 0;  // in the blob
  bool operator==(const Chunk&) const = default;
};
struct Index {
  Digest content;  // digest of the layer's plain bytes
  std::uint64_t size = 0;
  std::vector<Chunk> chunks;
};

struct LayerRef {
  std::string title;  // org.opencontainers.image.title, the display name
  Digest blob, index;
  std::uint64_t blob_size = 0, index_size = 0;
  bool operator==(const LayerRef&) const = default;
};
struct Manifest {
  std::string function;
  std::uint64_t release = 0;  // increases with every release, also with a rollback
  std::vector<LayerRef> layers;
};

std::string write_manifest(const Manifest& manifest);
// Returns nothing, with the reason, for another format or input over a limit.
std::optional<Manifest> parse_manifest(std::string_view bytes, std::string& why);
std::string write_index(const Index& index);
std::optional<Index> parse_index(std::string_view bytes, std::string& why);

struct PackedLayer {
  std::string blob, index_bytes;
  Index index;
};
// `level`: zstd compression level. The same bytes, options and library version give the same blob.
PackedLayer pack_layer(std::string_view plain, const ChunkerOptions& options, int level = 3);

// Returns a chunk's plain bytes, or nothing with the reason if a digest or size does not match. A frame is
// unpacked only if its own digest matches.
std::optional<std::string> unpack_chunk(std::string_view frame, const Chunk& chunk, std::string& why);

}  // namespace laureltide::layers
