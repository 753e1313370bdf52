#include "layers/layout.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unordered_set>

namespace laureltide::layers {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

std::string write_file(const std::string& path, const std::string& bytes) {
  std::ofstream out(path, std::ios::binary);
  out << bytes;
  out.close();
  return out ? "" : path + " cannot be written";
}

}  // namespace

std::string blob_path(const std::string& directory, const Digest& digest) {
  return directory + "/blobs/sha256/" + digest.hex();
}

std::optional<std::string> read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::ostringstream bytes;
  bytes << in.rdbuf();
  return in.fail() ? std::nullopt : std::optional(std::move(bytes).str());
}

std::string write_layout(const std::string& directory, const std::string& function, std::uint64_t release,
                         const std::vector<LayerFile>& files, const ChunkerOptions& options, int level) {
  std::error_code error;
  if (fs::exists(directory, error) && !fs::is_empty(directory, error)) return directory + " is not empty";
  fs::create_directories(directory + "/blobs/sha256", error);
  if (error) return directory + " cannot be created: " + error.message();
  Manifest manifest;
  manifest.function = function, manifest.release = release;
  auto blob = [&](const std::string& bytes) {
    return write_file(blob_path(directory, digest_of(bytes)), bytes);
  };
  for (const LayerFile& file : files) {
    const auto plain = read_file(file.path);
    if (!plain) return file.path + " cannot be read";
    const PackedLayer packed = pack_layer(*plain, options, level);
    LayerRef layer;
    layer.title = file.title;
    layer.blob = digest_of(packed.blob), layer.blob_size = packed.blob.size();
    layer.index = digest_of(packed.index_bytes), layer.index_size = packed.index_bytes.size();
    if (std::string why = blob(packed.blob); !why.empty()) return why;
    if (std::string why = blob(packed.index_bytes); !why.empty()) return why;
    manifest.layers.push_back(std::move(layer));
  }
  const std::string bytes = write_manifest(manifest);
  std::string why;
  if (!parse_manifest(bytes, why)) return "invalid manifest: " + why;
  if (why = blob(bytes); !why.empty()) return why;
  if (why = blob("{}"); !why.empty()) return why;
  const json index = {
      {"schemaVersion", 2},
      {"mediaType", "application/vnd.oci.image.index.v1+json"},
      {"manifests",
       {{{"mediaType", kManifestType}, {"digest", digest_of(bytes).text()}, {"size", bytes.size()}}}}};
  if (why = write_file(directory + "/oci-layout", R"({"imageLayoutVersion":"1.0.0"})"); !why.empty())
    return why;
  return write_file(directory + "/index.json", index.dump(2));
}

std::optional<Layout> read_layout(const std::string& directory, std::string& why) {
  auto fail = [&](const std::string& what) -> std::optional<Layout> {
    why = directory + ": " + what;
    return std::nullopt;
  };
  const auto text = read_file(directory + "/index.json");
  if (!text) return fail("no index.json: expected an OCI image layout");
  const json doc = json::parse(*text, nullptr, false);
  if (!doc.is_object() || !doc.contains("manifests") || !doc["manifests"].is_array() ||
      doc["manifests"].size() != 1)
    return fail("index.json: expected one manifest");
  const json& entry = doc["manifests"][0];
  const auto digest = entry.is_object() && entry.contains("digest") && entry["digest"].is_string()
                          ? parse_digest(entry["digest"].get<std::string>())
                          : std::nullopt;
  if (!digest) return fail("index.json: the manifest's digest is none");
  Layout layout;
  layout.directory = directory;
  const auto bytes = read_file(blob_path(directory, *digest));
  if (!bytes || digest_of(*bytes) != *digest)
    return fail("the manifest is missing or does not match its digest");
  layout.manifest_bytes = *bytes;
  std::string reason;
  auto manifest = parse_manifest(*bytes, reason);
  if (!manifest) return fail(reason);
  layout.manifest = std::move(*manifest);
  for (const LayerRef& layer : layout.manifest.layers) {
    const auto index_bytes = read_file(blob_path(directory, layer.index));
    if (!index_bytes || digest_of(*index_bytes) != layer.index)
      return fail("the index of layer " + layer.title + " is missing or does not match its digest");
    auto index = parse_index(*index_bytes, reason);
    if (!index) return fail("layer " + layer.title + ": " + reason);
    layout.indexes.push_back(std::move(*index));
  }
  return layout;
}

std::string verify_layout(const Layout& layout) {
  for (std::size_t i = 0; i < layout.indexes.size(); ++i) {
    const std::string& title = layout.manifest.layers[i].title;
    const auto blob = read_file(blob_path(layout.directory, layout.manifest.layers[i].blob));
    if (!blob || digest_of(*blob) != layout.manifest.layers[i].blob)
      return "layer " + title + ": its blob is missing or does not match its digest";
    Hasher layer_hasher;
    std::uint64_t end = 0;
    for (std::size_t n = 0; n < layout.indexes[i].chunks.size(); ++n) {
      const Chunk& c = layout.indexes[i].chunks[n];
      const std::string where = "layer " + title + ", chunk " + std::to_string(n) + ": ";
      end = c.offset + c.stored_size;
      if (end > blob->size()) return where + "beyond the end of the blob";
      std::string why;
      const auto plain = unpack_chunk(std::string_view(*blob).substr(c.offset, c.stored_size), c, why);
      if (!plain) return where + why;
      layer_hasher.add(*plain);
    }
    if (end != blob->size()) return "layer " + title + ": trailing bytes after the last chunk";
    if (layer_hasher.finish() != layout.indexes[i].content)
      return "layer " + title + ": the layer does not match its digest";
  }
  return {};
}

MissingChunks missing_chunks(const std::vector<Index>& want, const std::vector<Index>& have) {
  std::unordered_set<Digest> known;
  for (const Index& index : have)
    for (const Chunk& c : index.chunks) known.insert(c.content);
  MissingChunks out;
  std::unordered_set<Digest> seen;
  for (const Index& index : want)
    for (const Chunk& c : index.chunks) {
      if (!seen.insert(c.content).second) continue;
      ++out.all_chunks, out.all_bytes += c.stored_size;
      if (!known.contains(c.content)) ++out.chunks, out.bytes += c.stored_size;
    }
  return out;
}

}  // namespace laureltide::layers
