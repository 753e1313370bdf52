#include "layers/format.h"

#include <zstd.h>

#include <nlohmann/json.hpp>

namespace laureltide::layers {
namespace {

using nlohmann::json;

constexpr const char* kTitle = "org.opencontainers.image.title";
constexpr const char* kIndexOf = "dev.laureltide.layer.index";
constexpr const char* kFunction = "dev.laureltide.function";
constexpr const char* kRelease = "dev.laureltide.release";
constexpr int kIndexLayout = 1;
constexpr std::size_t kLongestName = 255;

const json* member(const json& of, const char* name) {
  if (!of.is_object()) return nullptr;
  const auto it = of.find(name);
  return it == of.end() ? nullptr : &*it;
}
std::optional<std::string> text(const json& of, const char* name) {
  const json* v = member(of, name);
  return v && v->is_string() ? std::optional(v->get<std::string>()) : std::nullopt;
}
std::optional<std::uint64_t> number(const json* v) {
  return v && v->is_number_unsigned() ? std::optional(v->get<std::uint64_t>()) : std::nullopt;
}
std::optional<Digest> digest(const json* v) {
  return v && v->is_string() ? parse_digest(v->get_ref<const std::string&>()) : std::nullopt;
}

json descriptor(const char* type, const Digest& digest, std::uint64_t size) {
  return {{"mediaType", type}, {"digest", digest.text()}, {"size", size}};
}

}  // namespace

std::string write_manifest(const Manifest& m) {
  json layers = json::array();
  for (const LayerRef& layer : m.layers) {
    json data = descriptor(kLayerType, layer.blob, layer.blob_size);
    data["annotations"] = {{kIndexOf, layer.index.text()}, {kTitle, layer.title}};
    layers.push_back(std::move(data));
    layers.push_back(descriptor(kIndexType, layer.index, layer.index_size));
  }
  const json doc = {{"schemaVersion", 2},
                    {"mediaType", kManifestType},
                    {"artifactType", kArtifactType},
                    {"config", descriptor(kEmptyType, digest_of("{}"), 2)},
                    {"layers", layers},
                    {"annotations", {{kFunction, m.function}, {kRelease, std::to_string(m.release)}}}};
  return doc.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<Manifest> parse_manifest(std::string_view bytes, std::string& why) {
  auto bad = [&](const char* what) -> std::optional<Manifest> {
    why = what;
    return std::nullopt;
  };
  if (bytes.size() > kMostManifest) return bad("the manifest is over 4 MiB");
  const json doc = json::parse(bytes, nullptr, false);
  if (!doc.is_object()) return bad("the manifest is no JSON object");
  if (number(member(doc, "schemaVersion")) != 2U) return bad("schemaVersion is not 2");
  if (const auto type = text(doc, "mediaType"); type && *type != kManifestType)
    return bad("mediaType is not that of an OCI image manifest");
  if (text(doc, "artifactType") != kArtifactType) return bad("artifactType is not that of a function");
  Manifest m;
  const json* annotations = member(doc, "annotations");
  if (!annotations) return bad("there are no annotations");
  m.function = text(*annotations, kFunction).value_or("");
  if (m.function.empty() || m.function.size() > kLongestName)
    return bad("annotation dev.laureltide.function does not name a function");
  const std::string release = text(*annotations, kRelease).value_or("");
  if (release.empty() || release.size() > 18 || release.find_first_not_of("0123456789") != std::string::npos)
    return bad("annotation dev.laureltide.release is no number");
  m.release = std::stoull(release);
  const json* layers = member(doc, "layers");
  if (!layers || !layers->is_array()) return bad("layers is no list");
  std::vector<std::pair<Digest, std::uint64_t>> indexes;
  for (const json& entry : *layers) {
    const auto type = text(entry, "mediaType");
    const auto name = digest(member(entry, "digest"));
    const auto size = number(member(entry, "size"));
    if (!type || !name || !size) return bad("a layer without mediaType, digest and size");
    if (*type == kIndexType) {
      if (*size > kMostIndex) return bad("an index over 32 MiB");
      indexes.emplace_back(*name, *size);
    } else if (*type == kLayerType) {
      LayerRef layer;
      layer.blob = *name, layer.blob_size = *size;
      const json* notes = member(entry, "annotations");
      const auto index = notes ? digest(member(*notes, kIndexOf)) : std::nullopt;
      if (!index) return bad("a layer whose annotation does not name its index");
      layer.index = *index;
      layer.title = text(*notes, kTitle).value_or("");
      if (layer.title.size() > kLongestName) return bad("a layer's title is over 255 bytes");
      m.layers.push_back(std::move(layer));
      if (m.layers.size() > kMostLayers) return bad("more than 64 layers");
    }  // what else is listed is another reader's
  }
  if (m.layers.empty()) return bad("there is no layer");
  for (LayerRef& layer : m.layers) {
    bool found = false;
    for (const auto& [name, size] : indexes)
      if (name == layer.index) found = true, layer.index_size = size;
    if (!found) return bad("a layer's index is not listed");
  }
  return m;
}

std::string write_index(const Index& index) {
  json chunks = json::array();
  for (const Chunk& c : index.chunks)
    chunks.push_back({c.content.text(), c.size, c.stored.text(), c.stored_size});
  return json{{"layout", kIndexLayout},
              {"digest", index.content.text()},
              {"size", index.size},
              {"chunks", std::move(chunks)}}
      .dump();
}

std::optional<Index> parse_index(std::string_view bytes, std::string& why) {
  auto bad = [&](const char* what) -> std::optional<Index> {
    why = what;
    return std::nullopt;
  };
  if (bytes.size() > kMostIndex) return bad("the index is over 32 MiB");
  const json doc = json::parse(bytes, nullptr, false);
  if (!doc.is_object()) return bad("the index is no JSON object");
  if (number(member(doc, "layout")) != std::uint64_t{kIndexLayout}) return bad("an index of another layout");
  Index index;
  const auto content = digest(member(doc, "digest"));
  const auto size = number(member(doc, "size"));
  const json* chunks = member(doc, "chunks");
  if (!content || !size || !chunks || !chunks->is_array())
    return bad("an index without digest, size and chunks");
  if (chunks->size() > kMostChunks) return bad("more than 200000 chunks");
  index.content = *content, index.size = *size;
  std::uint64_t plain = 0, stored = 0;
  for (const json& entry : *chunks) {
    if (!entry.is_array() || entry.size() != 4) return bad("a chunk that is not: digest, size, digest, size");
    const auto c = digest(&entry[0]), s = digest(&entry[2]);
    const auto c_size = number(&entry[1]), s_size = number(&entry[3]);
    if (!c || !s || !c_size || !s_size) return bad("a chunk that is not: digest, size, digest, size");
    if (*c_size == 0 || *c_size > kMostChunk || *s_size == 0 || *s_size > ZSTD_compressBound(kMostChunk))
      return bad("a chunk's size is out of bounds");
    index.chunks.push_back(
        {*c, static_cast<std::uint32_t>(*c_size), *s, static_cast<std::uint32_t>(*s_size), stored});
    plain += *c_size, stored += *s_size;
  }
  if (plain != index.size) return bad("the chunks' sizes do not add up to the layer's");
  return index;
}

PackedLayer pack_layer(std::string_view plain, const ChunkerOptions& options, int level) {
  PackedLayer out;
  out.index.content = digest_of(plain);
  out.index.size = plain.size();
  std::string frame;
  for (const std::size_t size : cut(plain, options)) {
    const std::string_view bytes = plain.substr(0, size);
    plain.remove_prefix(size);
    frame.resize(ZSTD_compressBound(size));
    const std::size_t n = ZSTD_compress(frame.data(), frame.size(), bytes.data(), bytes.size(), level);
    if (ZSTD_isError(n)) throw std::runtime_error(std::string("zstd: ") + ZSTD_getErrorName(n));
    frame.resize(n);
    out.index.chunks.push_back({digest_of(bytes), static_cast<std::uint32_t>(size), digest_of(frame),
                                static_cast<std::uint32_t>(n), out.blob.size()});
    out.blob += frame;
  }
  out.index_bytes = write_index(out.index);
  return out;
}

std::optional<std::string> unpack_chunk(std::string_view frame, const Chunk& chunk, std::string& why) {
  auto bad = [&](const char* what) -> std::optional<std::string> {
    why = what;
    return std::nullopt;
  };
  if (frame.size() != chunk.stored_size) return bad("the chunk is not as long as its index says");
  if (digest_of(frame) != chunk.stored) return bad("the chunk's digest does not match");
  // The frame is whose digest the index names, so a lie here is the packer's.
  std::string plain(chunk.size, '\0');
  const std::size_t n = ZSTD_decompress(plain.data(), plain.size(), frame.data(), frame.size());
  if (ZSTD_isError(n) || n != chunk.size) return bad("the chunk does not unpack to what its index says");
  if (digest_of(plain) != chunk.content) return bad("the chunk's content does not match its digest");
  return plain;
}

}  // namespace laureltide::layers
