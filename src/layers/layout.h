// A packed version as a directory: the OCI image layout (image-spec 1.1, image-layout.md) with one manifest.
// Blocking file access: for tools only.
#pragma once

#include <string>
#include <vector>

#include "layers/format.h"

namespace laureltide::layers {

struct Layout {
  std::string directory;
  std::string manifest_bytes;
  Manifest manifest;
  std::vector<Index> indexes;  // of the layers, in order
};

struct LayerFile {
  std::string title, path;
};
// Packs the files, a layer each, into a new or empty directory. A reason if it fails.
std::string write_layout(const std::string& directory, const std::string& function, std::uint64_t release,
                         const std::vector<LayerFile>& files, const ChunkerOptions& options, int level);
// Manifest and indexes, whose digests are checked. Nothing, with the reason, if it is no layout of ours.
std::optional<Layout> read_layout(const std::string& directory, std::string& why);
// Unpacks every chunk of every layer against all digests. A reason for the first that does not fit.
std::string verify_layout(const Layout& layout);
std::string blob_path(const std::string& directory, const Digest& digest);
std::optional<std::string> read_file(const std::string& path);

// What a box that holds `have` still fetches for `want`.
struct MissingChunks {
  std::uint64_t chunks = 0, bytes = 0;          // to be fetched, as stored
  std::uint64_t all_chunks = 0, all_bytes = 0;  // of `want`
};
MissingChunks missing_chunks(const std::vector<Index>& want, const std::vector<Index>& have);

}  // namespace laureltide::layers
