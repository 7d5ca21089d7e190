#include "tests/matrix/fault_matrix.h"
#include "tests/unit/story.h"

namespace banyan {
namespace {

constexpr int kThreads = 4;
constexpr std::uint64_t kSeed = 1;
// One of so many pairs of faults is part of the slice.
constexpr std::size_t kPairStride = 12;

std::string Describe(const MatrixReport& report) {
  std::string text;
  for (const CellResult& cell : report.failed) {
    text += "\n" + cell.name + ": " + cell.violations.front();
  }
  return text;
}

void EveryFaultAtEveryStep() {
  std::vector<Cell> cells;
  for (const Cell& cell : AllCells(kSeed)) {
    if (cell.second == nullptr) {
      cells.push_back(cell);
    }
  }
  const MatrixReport report = RunCells(cells, kThreads);
  CPPUNIT_ASSERT_MESSAGE(Describe(report), report.failed.empty());
  CPPUNIT_ASSERT_EQUAL(cells.size(), report.run + report.not_applicable);
  CPPUNIT_ASSERT_MESSAGE("most cells apply",
                         report.not_applicable * 10 < cells.size());
}

void PairsOfFaults() {
  std::vector<Cell> cells;
  std::size_t position = 0;
  for (const Cell& cell : AllCells(kSeed)) {
    if (cell.second != nullptr && position++ % kPairStride == 0) {
      cells.push_back(cell);
    }
  }
  const MatrixReport report = RunCells(cells, kThreads);
  CPPUNIT_ASSERT_MESSAGE(Describe(report), report.failed.empty());
}

void SameSeedSameRun() {
  const Cell cell = AllCells(kSeed).front();
  const CellResult first = RunCell(cell, true);
  const CellResult second = RunCell(cell, true);
  CPPUNIT_ASSERT(first.history == second.history);
}

}  // namespace

Section MatrixStory() {
  Section story("The fault matrix");
  story.Then("holds for every fault at every step", EveryFaultAtEveryStep)
      .Then("holds for a slice of the pairs of faults", PairsOfFaults)
      .Then("runs the same from the same seed", SameSeedSameRun);
  return story;
}

}  // namespace banyan
