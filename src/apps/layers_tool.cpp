#include "apps/layers_tool.h"

#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "http/client.h"
#include "layers/layout.h"
#include "layers/remote.h"
#include "net/loop.h"

namespace laureltide::apps {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// One request after the other: a tool may wait.
class Pusher {
 public:
  Pusher(io::Address store, std::string repository)
      : store_(std::move(store)), repository_(std::move(repository)) {}

  // A reason if the store does not take it. What it has already is not sent.
  std::string blob(const layers::Digest& digest, const std::string& bytes) {
    const std::string base = "/v2/" + repository_ + "/blobs/";
    if (ask("HEAD", base + digest.text(), "").status == 200) return {};
    const http::Exchange::Result begun = ask("POST", base + "uploads/", "");
    const std::string* place = begun.headers.find("Location");
    if (begun.status != 202 || !place) return said(begun, "no upload was begun");
    std::string to = *place;
    if (const auto url = http::parse_url(to)) to = url->target;
    to += (to.find('?') == std::string::npos ? "?digest=" : "&digest=") + http::percent_encode(digest.text());
    const http::Exchange::Result put = ask("PUT", to, bytes, "application/octet-stream");
    if (put.status != 201) return said(put, "a blob was not taken");
    ++sent_, sent_bytes_ += bytes.size();
    return {};
  }
  std::string manifest(const std::string& tag, const std::string& bytes) {
    const http::Exchange::Result put =
        ask("PUT", "/v2/" + repository_ + "/manifests/" + tag, bytes, layers::kManifestType);
    return put.status == 201 ? "" : said(put, "the manifest was not taken");
  }
  std::uint64_t sent() const { return sent_; }
  std::uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  http::Exchange::Result ask(const char* method, const std::string& target, const std::string& body,
                             const char* type = nullptr) {
    http::Request request;
    request.method = method, request.target = target, request.body = body;
    request.headers.add("Host", store_.text());
    request.headers.add("Connection", "close");
    if (type) request.headers.add("Content-Type", type);
    http::Exchange::Result result;
    http::Exchange exchange(loop_, store_, request, 60s, {}, [&](http::Exchange::Result r) {
      result = std::move(r);
      loop_.stop();
    });
    loop_.run();
    return result;
  }
  static std::string said(const http::Exchange::Result& r, const std::string& what) {
    return what + ": " +
           (r.status == 0 ? r.why : "status " + std::to_string(r.status) + " " + r.body.substr(0, 300));
  }

  io::Address store_;
  std::string repository_;
  net::Loop loop_;
  std::uint64_t sent_ = 0, sent_bytes_ = 0;
};

}  // namespace

void LayersTool::add_to(CLI::App& app) {
  CLI::App* all = app.add_subcommand("layers", "pack functions in chunked layers, push and look at them");
  all->require_subcommand(1);
  auto sub = [&](const char* name, const char* what) {
    CLI::App* s = all->add_subcommand(name, what);
    s->add_option("directory", directory, "an OCI image layout")->required();
    return s;
  };
  pack = sub("pack", "make a version of files, a layer each");
  pack->add_option("files", files, "PATH or TITLE=PATH")->required();
  pack->add_option("--function", function, "whose version it is")->required();
  pack->add_option("--release", release, "higher than any of it before, also to go back to old files")
      ->required();
  pack->add_option("--average-kb", average_kb, "of a chunk: a power of two from 4 to 4096");
  pack->add_option("--level", level, "of zstd")->check(CLI::Range(1, 19));
  push = sub("push", "give it to a store; its tag then names it");
  push->add_option("--store", store, "ADDRESS:PORT")->required();
  push->add_option("--prefix", prefix, "of the functions' repositories");
  push->add_option("--tag", tag, "that boxes look at");
  inspect = sub("inspect", "tell layers and chunks");
  inspect->add_option("--against", against, "another layout: what a box that holds it would still fetch");
  inspect->add_flag("--json", json, "as JSON");
  verify =
      sub("verify", "unpack every chunk against its digests; exit 1 and say what is wrong if anything is");
}

int LayersTool::run() const {
  if (*pack) return run_pack();
  if (*push) return run_push();
  return *inspect ? run_inspect() : run_verify();
}

int LayersTool::run_pack() const {
  const layers::ChunkerOptions options{average_kb << 10};
  if (!options.valid())
    return std::cerr << "laureltide layers: --average-kb: expected a power of two from 4 to 4096\n", 2;
  if (!layers::valid_repository(prefix + function))
    return std::cerr << "laureltide layers: --function: " << prefix + function
                     << " is no name of a repository\n",
           2;
  std::vector<layers::LayerFile> inputs;
  for (const std::string& file : files) {
    const std::size_t equals = file.find('=');
    const std::string path = equals == std::string::npos ? file : file.substr(equals + 1);
    inputs.push_back({equals == std::string::npos ? std::filesystem::path(path).filename().string()
                                                  : file.substr(0, equals),
                      path});
  }
  const std::string why = layers::write_layout(directory, function, release, inputs, options, level);
  if (!why.empty()) return std::cerr << "laureltide layers: " << why << '\n', 1;
  return run_inspect();
}

int LayersTool::run_push() const {
  const auto address = io::parse_address(store);
  if (!address)
    return std::cerr << "laureltide layers: --store: expected ADDRESS:PORT, found " << store << '\n', 2;
  std::string why;
  const auto layout = layers::read_layout(directory, why);
  if (layout) why = layers::verify_layout(*layout);  // nothing broken is published
  if (!why.empty()) return std::cerr << "laureltide layers: " << why << '\n', 1;
  Pusher pusher(*address, prefix + layout->manifest.function);
  auto give = [&](const layers::Digest& digest) {
    const auto bytes = layers::read_file(layers::blob_path(directory, digest));
    return bytes ? pusher.blob(digest, *bytes) : "a blob is missing: " + digest.text();
  };
  why = pusher.blob(layers::digest_of("{}"), "{}");
  for (const layers::LayerRef& layer : layout->manifest.layers) {
    if (why.empty()) why = give(layer.blob);
    if (why.empty()) why = give(layer.index);
  }
  if (why.empty()) why = pusher.manifest(tag, layout->manifest_bytes);  // last: what it names is there
  if (!why.empty()) return std::cerr << "laureltide layers: " << why << '\n', 1;
  std::cout << layout->manifest.function << " release " << layout->manifest.release << " is "
            << layers::digest_of(layout->manifest_bytes).text() << "; " << pusher.sent() << " blobs, "
            << pusher.sent_bytes() << " bytes were new to the store\n";
  return 0;
}

int LayersTool::run_inspect() const {
  std::string why;
  const auto layout = layers::read_layout(directory, why);
  if (!layout) return std::cerr << "laureltide layers: " << why << '\n', 1;
  std::optional<layers::Layout> other;
  if (!against.empty() && !(other = layers::read_layout(against, why)))
    return std::cerr << "laureltide layers: " << why << '\n', 1;
  const layers::MissingChunks lack =
      layers::missing_chunks(layout->indexes, other ? other->indexes : std::vector<layers::Index>{});
  if (json) {
    nlohmann::json all = nlohmann::json::array();
    for (std::size_t i = 0; i < layout->indexes.size(); ++i)
      all.push_back({{"title", layout->manifest.layers[i].title},
                     {"digest", layout->indexes[i].content.text()},
                     {"bytes", layout->indexes[i].size},
                     {"stored", layout->manifest.layers[i].blob_size},
                     {"chunks", layout->indexes[i].chunks.size()}});
    std::cout << nlohmann::json{{"function", layout->manifest.function},
                                {"release", layout->manifest.release},
                                {"version", layers::digest_of(layout->manifest_bytes).text()},
                                {"layers", all},
                                {"fetch", {{"chunks", lack.chunks}, {"bytes", lack.bytes}}},
                                {"all", {{"chunks", lack.all_chunks}, {"bytes", lack.all_bytes}}}}
                     .dump(2)
              << '\n';
    return 0;
  }
  std::cout << layout->manifest.function << " release " << layout->manifest.release << " "
            << layers::digest_of(layout->manifest_bytes).text() << '\n';
  for (std::size_t i = 0; i < layout->indexes.size(); ++i)
    std::cout << "  " << layout->manifest.layers[i].title << ": " << layout->indexes[i].size << " bytes in "
              << layout->indexes[i].chunks.size() << " chunks, stored as "
              << layout->manifest.layers[i].blob_size << '\n';
  std::cout << "a box" << (other ? " that holds " + against : "") << " fetches " << lack.chunks << " of "
            << lack.all_chunks << " chunks, " << lack.bytes << " of " << lack.all_bytes << " bytes\n";
  return 0;
}

int LayersTool::run_verify() const {
  std::string why;
  const auto layout = layers::read_layout(directory, why);
  if (layout) why = layers::verify_layout(*layout);
  if (!why.empty()) return std::cerr << "laureltide layers: " << why << '\n', 1;
  return std::cout << directory << ": " << layout->indexes.size()
                   << " layers, every chunk fits its digests\n",
         0;
}

}  // namespace laureltide::apps
