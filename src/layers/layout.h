// A packed version in a directory: the OCI image layout (image-spec 1.1, image-layout.md) with one manifest.
// Uses blocking file access, for command-line tools only.
#pragma once

#include <string>
#include <vector>

#include "layers/format.h"

namespace laureltide::layers {

struct Layout {
  std::string directory;
  std::string manifest_bytes;
  Manifest manifest;
  std::vector<Index> indexes;  // in layer order
};

struct LayerFile {
  std::string title, path;
};
// Packs each file as a layer into a new or empty directory. Returns the reason on failure.
std::string write_layout(const std::string& directory, const std::string& function, std::uint64_t release,
                         const std::vector<LayerFile>& files, const ChunkerOptions& options, int level);
// Reads the manifest and indexes and checks their digests. Returns nothing, with the reason, on failure.
std::optional<Layout> read_layout(const std::string& directory, std::string& why);
// Unpacks all chunks and checks all digests. Returns the reason for the first mismatch, else an empty string.
std::string verify_layout(const Layout& layout);
std::string blob_path(const std::string& directory, const Digest& digest);
std::optional<std::string> read_file(const std::string& path);

// What a host that has the chunks of `have` must fetch for `want`.
struct MissingChunks {
  std::uint64_t chunks = 0, bytes = 0;          // missing, in compressed bytes
  std::uint64_t all_chunks = 0, all_bytes = 0;  // all chunks of `want`
};
MissingChunks missing_chunks(const std::vector<Index>& want, const std::vector<Index>& have);

}  // namespace laureltide::layers
