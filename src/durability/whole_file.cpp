#include "durability/whole_file.hpp"

#include <memory>
#include <stdexcept>

namespace sablespur::durability {

std::string replaceFile(Files& files, const std::string& path, std::string_view bytes) {
  const std::string temporary = path + ".new";
  leveldb::WritableFile* opened = nullptr;
  leveldb::Status s = files.NewWritableFile(temporary, &opened);
  const std::unique_ptr<leveldb::WritableFile> file(opened);
  if (s.ok()) s = file->Append(leveldb::Slice(bytes.data(), bytes.size()));
  if (s.ok()) s = file->Sync();
  if (s.ok()) s = file->Close();
  if (s.ok()) s = files.RenameFile(temporary, path);
  if (s.ok()) return {};
  if (files.FileExists(temporary)) files.RemoveFile(temporary);  // frees its space, as the disk may be full
  return s.ToString();
}

std::optional<std::string> readFile(Files& files, const std::string& path) {
  if (!files.FileExists(path)) return std::nullopt;
  std::string bytes;
  const leveldb::Status s = files.read(path, bytes);
  if (!s.ok()) throw std::runtime_error(s.ToString());
  return bytes;
}

}  // namespace sablespur::durability
