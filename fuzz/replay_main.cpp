/// Runs a fuzz target on files, or on all files of folders. CI does so with the corpora.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "target.hpp"

namespace {

namespace fs = std::filesystem;

constexpr int exit_bad_usage = 2;

/// Returns the files that the arguments name, sorted. A folder stands for all files in it.
std::vector<fs::path> files_of(int argc, char** argv) {
  std::vector<fs::path> files;
  for (int i = 1; i < argc; ++i) {
    if (!fs::is_directory(argv[i])) {
      files.emplace_back(argv[i]);
      continue;
    }
    for (const auto& entry : fs::directory_iterator(argv[i])) files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

void run_target(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string bytes{std::istreambuf_iterator<char>(file), {}};
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<fs::path> files = files_of(argc, argv);
  if (files.empty()) {
    std::cerr << "expected files, or folders with files\n";
    return exit_bad_usage;
  }
  for (const auto& path : files) run_target(path);
  std::cout << files.size() << " inputs\n";
  return 0;
}
