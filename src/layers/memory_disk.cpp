#include <algorithm>
#include <utility>

#include "layers/disk.h"

namespace laureltide::layers {

std::uint64_t MemoryFiles::used() const {
  std::uint64_t n = 0;
  for (const auto& [key, bytes] : files) n += bytes.size();
  for (const auto& [key, bytes] : partial) n += bytes.size();
  return n;
}

MemoryDisk::MemoryDisk(io::Host& host, MemoryFiles& files) : host_(host), files_(files) {
  timer_ = host_.timer([this] {
    auto next = std::move(queue_.front());
    queue_.erase(queue_.begin());
    if (!queue_.empty()) timer_->start(files_.delay);
    next();  // last, because it may destroy this disk
  });
}
MemoryDisk::~MemoryDisk() = default;

// Runs tasks one at a time, like the single disk thread.
void MemoryDisk::enqueue(std::function<void()> task) {
  queue_.push_back(std::move(task));
  if (queue_.size() == 1) timer_->start(files_.delay);
}

Disk::LoadedState MemoryDisk::load() {
  LoadedState found;
  found.dropped += files_.partial.size();
  files_.partial.clear();
  std::erase_if(files_.index, [&](const auto& entry) {
    const auto file = files_.files.find(entry.first);
    const bool matches = file != files_.files.end() && file->second.size() == entry.second;
    if (!matches) ++found.dropped;
    return !matches;
  });
  std::erase_if(files_.files, [&](const auto& file) {
    const bool known = files_.index.contains(file.first);
    if (!known) ++found.dropped;
    return !known;
  });
  std::erase_if(files_.order, [&](const Key& key) { return !files_.index.contains(key); });
  for (const Key& key : files_.order) found.chunks.push_back({key, files_.index.at(key)});
  found.records.assign(files_.records.begin(), files_.records.end());
  return found;
}

void MemoryDisk::write(const Key& key, const Chunk& chunk, std::string frame, Done done) {
  enqueue([this, key, chunk, frame = std::move(frame), done = std::move(done)] {
    std::string why;
    auto plain = unpack_chunk(frame, chunk, why);
    if (!plain) return done(DiskStatus::kCorrupt, why);
    step("chunk-begun");
    if (files_.used() + plain->size() > files_.capacity)
      return done(DiskStatus::kFull, "no space left on the disk");
    files_.partial[key] = plain->substr(0, plain->size() / 2);
    step("chunk-written");
    files_.partial.erase(key);
    files_.files[key] = std::move(*plain);
    step("chunk-renamed");
    files_.index[key] = chunk.size;
    std::erase(files_.order, key);
    files_.order.push_back(key);
    step("chunk-indexed");
    done(DiskStatus::kOk, "");
  });
}

void MemoryDisk::verify(const Key& key, const Digest& content, Done done) {
  enqueue([this, key, content, done = std::move(done)] {
    const auto it = files_.files.find(key);
    const bool well = it != files_.files.end() && digest_of(it->second) == content;
    done(well ? DiskStatus::kOk : DiskStatus::kCorrupt, well ? "" : "the file is not what its digest says");
  });
}

void MemoryDisk::remove(const Key& key) {
  files_.index.erase(key), files_.files.erase(key);
  std::erase(files_.order, key);
}
void MemoryDisk::put(const std::string& name, std::string bytes) {
  files_.records[name] = std::move(bytes);
  step("version-recorded");
}
void MemoryDisk::erase(const std::string& name) { files_.records.erase(name); }

}  // namespace laureltide::layers
