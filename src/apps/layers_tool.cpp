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

// Client of a store's OCI distribution API. Sends one request at a time and blocks until its response.
class RegistryClient {
 public:
  RegistryClient(io::Address store, std::string repository)
      : store_(std::move(store)), repository_(std::move(repository)) {}

  // Uploads a blob unless the store has it already. Returns an error message, empty on success.
  std::string push_blob(const layers::Digest& digest, const std::string& bytes) {
    const std::string base = "/v2/" + repository_ + "/blobs/";
    if (send_request("HEAD", base + digest.text(), "").status == 200) return {};
    const http::Exchange::Result upload = send_request("POST", base + "uploads/", "");
    const std::string* location = upload.headers.find("Location");
    if (upload.status != 202 || !location)
      return failure_message(upload, "the store did not start an upload");
    std::string to = *location;
    if (const auto url = http::parse_url(to)) to = url->target;
    to += (to.find('?') == std::string::npos ? "?digest=" : "&digest=") + http::percent_encode(digest.text());
    const http::Exchange::Result put = send_request("PUT", to, bytes, "application/octet-stream");
    if (put.status != 201) return failure_message(put, "the store rejected a blob");
    ++pushed_, pushed_bytes_ += bytes.size();
    return {};
  }
  // Uploads the manifest under a tag. Returns an error message, empty on success.
  std::string push_manifest(const std::string& tag, const std::string& bytes) {
    const http::Exchange::Result put =
        send_request("PUT", "/v2/" + repository_ + "/manifests/" + tag, bytes, layers::kManifestType);
    return put.status == 201 ? "" : failure_message(put, "the store rejected the manifest");
  }
  std::uint64_t pushed() const { return pushed_; }
  std::uint64_t pushed_bytes() const { return pushed_bytes_; }

 private:
  http::Exchange::Result send_request(const char* method, const std::string& target, const std::string& body,
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
  static std::string failure_message(const http::Exchange::Result& r, const std::string& what) {
    return what + ": " +
           (r.status == 0 ? r.why : "status " + std::to_string(r.status) + " " + r.body.substr(0, 300));
  }

  io::Address store_;
  std::string repository_;
  net::Loop loop_;
  std::uint64_t pushed_ = 0, pushed_bytes_ = 0;
};

}  // namespace

void LayersTool::add_to(CLI::App& app) {
  CLI::App* all = app.add_subcommand("layers", "pack functions into chunked layers, push and inspect them");
  all->require_subcommand(1);
  auto add_command = [&](const char* name, const char* what) {
    CLI::App* s = all->add_subcommand(name, what);
    s->add_option("directory", directory, "directory of an OCI image layout")->required();
    return s;
  };
  pack = add_command("pack", "pack files into a version of a function, one layer per file");
  pack->add_option("files", files, "PATH or TITLE=PATH")->required();
  pack->add_option("--function", function, "name of the function")->required();
  pack->add_option("--release", release,
                   "release number, higher than all earlier ones of the function (also for a rollback)")
      ->required();
  pack->add_option("--average-kb", average_kb, "average chunk size: a power of two from 4 to 4096");
  pack->add_option("--level", level, "zstd compression level")->check(CLI::Range(1, 19));
  push = add_command("push", "push the version to a store and set the tag to it");
  push->add_option("--store", store, "ADDRESS:PORT")->required();
  push->add_option("--prefix", prefix, "prefix of the functions' repositories");
  push->add_option("--tag", tag, "tag that boxes follow");
  inspect = add_command("inspect", "print layers and chunks");
  inspect->add_option("--against", against, "another layout: prints what a box that holds it would fetch");
  inspect->add_flag("--json", json, "print JSON");
  verify = add_command(
      "verify", "unpack every chunk and check its digests; prints damage and exits with 1 if there is any");
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
                     << " is not a valid repository name\n",
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
  if (layout) why = layers::verify_layout(*layout);  // a damaged layout is not published
  if (!why.empty()) return std::cerr << "laureltide layers: " << why << '\n', 1;
  RegistryClient registry(*address, prefix + layout->manifest.function);
  auto push_file = [&](const layers::Digest& digest) {
    const auto bytes = layers::read_file(layers::blob_path(directory, digest));
    return bytes ? registry.push_blob(digest, *bytes) : "a blob is missing: " + digest.text();
  };
  why = registry.push_blob(layers::digest_of("{}"), "{}");
  for (const layers::LayerRef& layer : layout->manifest.layers) {
    if (why.empty()) why = push_file(layer.blob);
    if (why.empty()) why = push_file(layer.index);
  }
  if (why.empty())
    why = registry.push_manifest(tag, layout->manifest_bytes);  // last, so that all blobs it references exist
  if (!why.empty()) return std::cerr << "laureltide layers: " << why << '\n', 1;
  std::cout << layout->manifest.function << " release " << layout->manifest.release << " is "
            << layers::digest_of(layout->manifest_bytes).text() << "; " << registry.pushed() << " blobs, "
            << registry.pushed_bytes() << " bytes were new to the store\n";
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
