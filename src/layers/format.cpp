#include "layers/format.h"

#include <zstd.h>

#include <nlohmann/json.hpp>

namespace laureltide::layers {
namespace {

using nlohmann::json;

constexpr const char* kTitleAnnotation = "org.opencontainers.image.title";
constexpr const char* kIndexAnnotation = "dev.laureltide.layer.index";
constexpr const char* kFunctionAnnotation = "dev.laureltide.function";
constexpr const char* kReleaseAnnotation = "dev.laureltide.release";
constexpr int kIndexFormatVersion = 1;
constexpr std::size_t kMaxNameBytes = 255;

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
    data["annotations"] = {{kIndexAnnotation, layer.index.text()}, {kTitleAnnotation, layer.title}};
    layers.push_back(std::move(data));
    layers.push_back(descriptor(kIndexType, layer.index, layer.index_size));
  }
  const json doc = {
      {"schemaVersion", 2},
      {"mediaType", kManifestType},
      {"artifactType", kArtifactType},
      {"config", descriptor(kEmptyType, digest_of("{}"), 2)},
      {"layers", layers},
      {"annotations", {{kFunctionAnnotation, m.function}, {kReleaseAnnotation, std::to_string(m.release)}}}};
  return doc.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<Manifest> parse_manifest(std::string_view bytes, std::string& why) {
  auto fail = [&](const char* what) -> std::optional<Manifest> {
    why = what;
    return std::nullopt;
  };
  if (bytes.size() > kMaxManifestBytes) return fail("the manifest is over 4 MiB");
  const json doc = json::parse(bytes, nullptr, false);
  if (!doc.is_object()) return fail("the manifest is no JSON object");
  if (number(member(doc, "schemaVersion")) != 2U) return fail("schemaVersion is not 2");
  if (const auto type = text(doc, "mediaType"); type && *type != kManifestType)
    return fail("mediaType is not that of an OCI image manifest");
  if (text(doc, "artifactType") != kArtifactType) return fail("artifactType is not that of a function");
  Manifest m;
  const json* annotations = member(doc, "annotations");
  if (!annotations) return fail("there are no annotations");
  m.function = text(*annotations, kFunctionAnnotation).value_or("");
  if (m.function.empty() || m.function.size() > kMaxNameBytes)
    return fail("annotation dev.laureltide.function does not name a function");
  const std::string release = text(*annotations, kReleaseAnnotation).value_or("");
  if (release.empty() || release.size() > 18 || release.find_first_not_of("0123456789") != std::string::npos)
    return fail("annotation dev.laureltide.release is no number");
  m.release = std::stoull(release);
  const json* layers = member(doc, "layers");
  if (!layers || !layers->is_array()) return fail("layers is no list");
  std::vector<std::pair<Digest, std::uint64_t>> indexes;
  for (const json& entry : *layers) {
    const auto type = text(entry, "mediaType");
    const auto name = digest(member(entry, "digest"));
    const auto size = number(member(entry, "size"));
    if (!type || !name || !size) return fail("a layer without mediaType, digest and size");
    if (*type == kIndexType) {
      if (*size > kMaxIndexBytes) return fail("an index over 32 MiB");
      indexes.emplace_back(*name, *size);
    } else if (*type == kLayerType) {
      LayerRef layer;
      layer.blob = *name, layer.blob_size = *size;
      const json* notes = member(entry, "annotations");
      const auto index = notes ? digest(member(*notes, kIndexAnnotation)) : std::nullopt;
      if (!index) return fail("a layer whose annotation does not name its index");
      layer.index = *index;
      layer.title = text(*notes, kTitleAnnotation).value_or("");
      if (layer.title.size() > kMaxNameBytes) return fail("a layer's title is over 255 bytes");
      m.layers.push_back(std::move(layer));
      if (m.layers.size() > kMaxLayers) return fail("more than 64 layers");
    }  // other media types are ignored
  }
  if (m.layers.empty()) return fail("there is no layer");
  for (LayerRef& layer : m.layers) {
    bool found = false;
    for (const auto& [name, size] : indexes)
      if (name == layer.index) found = true, layer.index_size = size;
    if (!found) return fail("a layer's index is not listed");
  }
  return m;
}

std::string write_index(const Index& index) {
  json chunks = json::array();
  for (const Chunk& c : index.chunks)
    chunks.push_back({c.content.text(), c.size, c.stored.text(), c.stored_size});
  return json{{"layout", kIndexFormatVersion},
              {"digest", index.content.text()},
              {"size", index.size},
              {"chunks", std::move(chunks)}}
      .dump();
}

std::optional<Index> parse_index(std::string_view bytes, std::string& why) {
  auto fail = [&](const char* what) -> std::optional<Index> {
    why = what;
    return std::nullopt;
  };
  if (bytes.size() > kMaxIndexBytes) return fail("the index is over 32 MiB");
  const json doc = json::parse(bytes, nullptr, false);
  if (!doc.is_object()) return fail("the index is no JSON object");
  if (number(member(doc, "layout")) != std::uint64_t{kIndexFormatVersion})
    return fail("an index of another layout");
  Index index;
  const auto content = digest(member(doc, "digest"));
  const auto size = number(member(doc, "size"));
  const json* chunks = member(doc, "chunks");
  if (!content || !size || !chunks || !chunks->is_array())
    return fail("an index without digest, size and chunks");
  if (chunks->size() > kMaxChunks) return fail("more than 200000 chunks");
  index.content = *content, index.size = *size;
  std::uint64_t plain = 0, stored = 0;
  for (const json& entry : *chunks) {
    if (!entry.is_array() || entry.size() != 4)
      return fail("a chunk that is not: digest, size, digest, size");
    const auto c = digest(&entry[0]), s = digest(&entry[2]);
    const auto c_size = number(&entry[1]), s_size = number(&entry[3]);
    if (!c || !s || !c_size || !s_size) return fail("a chunk that is not: digest, size, digest, size");
    if (*c_size == 0 || *c_size > kMaxChunkBytes || *s_size == 0 ||
        *s_size > ZSTD_compressBound(kMaxChunkBytes))
      return fail("a chunk's size is out of bounds");
    index.chunks.push_back(
        {*c, static_cast<std::uint32_t>(*c_size), *s, static_cast<std::uint32_t>(*s_size), stored});
    plain += *c_size, stored += *s_size;
  }
  if (plain != index.size) return fail("the chunks' sizes do not add up to the layer's");
  return index;
}

PackedLayer pack_layer(std::string_view plain, const ChunkerOptions& options, int level) {
  PackedLayer out;
  out.index.content = digest_of(plain);
  out.index.size = plain.size();
  std::string frame;
  for (const std::size_t size : chunk_sizes(plain, options)) {
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
  auto fail = [&](const char* what) -> std::optional<std::string> {
    why = what;
    return std::nullopt;
  };
  if (frame.size() != chunk.stored_size) return fail("the chunk is not as long as its index says");
  if (digest_of(frame) != chunk.stored) return fail("the chunk's digest does not match");
  // The frame matches the index, so any mismatch from here on was made when the layer was packed.
  std::string plain(chunk.size, '\0');
  const std::size_t n = ZSTD_decompress(plain.data(), plain.size(), frame.data(), frame.size());
  if (ZSTD_isError(n) || n != chunk.size) return fail("the chunk does not unpack to what its index says");
  if (digest_of(plain) != chunk.content) return fail("the chunk's content does not match its digest");
  return plain;
}

}  // namespace laureltide::layers
