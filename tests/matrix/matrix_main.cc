// banyan-matrix: runs the fault matrix and prints what it found.
//
//   banyan-matrix --full [SEED...]      every cell
//   banyan-matrix --singles [SEED...]   the cells with one fault
//   banyan-matrix --cell NAME           one cell by its printed name, with its
//                                       history

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "tests/matrix/fault_matrix.h"

namespace banyan {
namespace {

constexpr int kThreads = 6;
constexpr std::size_t kShownFailures = 400;

int RunSeeds(const std::vector<std::uint64_t>& seeds, bool with_pairs) {
  std::vector<Cell> cells;
  for (const std::uint64_t seed : seeds) {
    for (const Cell& cell : AllCells(seed)) {
      if (with_pairs || cell.second == nullptr) {
        cells.push_back(cell);
      }
    }
  }
  const MatrixReport report = RunCells(cells, kThreads);
  std::cout << "cells run " << report.run << ", passed " << report.passed
            << ", failed " << report.failed.size() << ", not applicable "
            << report.not_applicable << " (the step was not reached)\n";
  for (const std::string& name : report.not_reached) {
    std::cout << "not applicable: " << name << "\n";
  }
  for (const std::string& name : report.stood_still) {
    std::cout << "a majority of disks was lost, only safety checked: " << name
              << "\n";
  }
  std::size_t shown = 0;
  for (const CellResult& cell : report.failed) {
    if (shown++ == kShownFailures) {
      break;
    }
    std::cout << "FAILED " << cell.name << "\n";
    for (const std::string& violation : cell.violations) {
      std::cout << "  " << violation << "\n";
    }
  }
  return report.failed.empty() ? 0 : 1;
}

int RunOne(const std::string& name) {
  const std::size_t hash = name.rfind('#');
  const std::uint64_t seed = std::strtoull(&name[hash + 1], nullptr, 10);
  for (const Cell& cell : AllCells(seed)) {
    if (cell.name() != name) {
      continue;
    }
    const CellResult result = RunCell(cell, true);
    for (const std::string& line : result.history) {
      std::cout << line << "\n";
    }
    for (const std::string& violation : result.violations) {
      std::cout << "violation: " << violation << "\n";
    }
    return result.violations.empty() ? 0 : 1;
  }
  std::cerr << "no such cell\n";
  return 64;
}

}  // namespace
}  // namespace banyan

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  if (words.size() == 2 && words[0] == "--cell") {
    return banyan::RunOne(words[1]);
  }
  const bool is_full = !words.empty() && words[0] == "--full";
  const bool is_singles = !words.empty() && words[0] == "--singles";
  if (!is_full && !is_singles) {
    std::cerr << "usage: banyan-matrix --full [SEED...] | "
                 "--singles [SEED...] | --cell NAME\n";
    return 64;
  }
  std::vector<std::uint64_t> seeds;
  for (std::size_t i = 1; i < words.size(); ++i) {
    seeds.push_back(std::strtoull(words[i].c_str(), nullptr, 10));
  }
  if (seeds.empty()) {
    seeds = {1, 2, 3};
  }
  return banyan::RunSeeds(seeds, is_full);
}
