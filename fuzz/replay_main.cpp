// Runs a target over files, or all files of folders: what CI does with the corpora.
#include <algorithm>
#include <filesystem>
#include <iostream>
#include <iterator>
#include <vector>

#include "target.hpp"

int main(int argc, char** argv) {
  std::vector<std::filesystem::path> files;
  for (int i = 1; i < argc; ++i) {
    if (!std::filesystem::is_directory(argv[i])) {
      files.emplace_back(argv[i]);
      continue;
    }
    for (const auto& entry : std::filesystem::directory_iterator(argv[i])) files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  if (files.empty()) {
    std::cerr << "wanted: files, or folders with files\n";
    return 2;
  }
  for (const auto& path : files) {
    std::ifstream file(path, std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(file), {}};
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  }
  std::cout << files.size() << " inputs\n";
  return 0;
}
