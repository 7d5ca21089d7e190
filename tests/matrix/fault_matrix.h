#ifndef BANYAN_TESTS_MATRIX_FAULT_MATRIX_H_
#define BANYAN_TESTS_MATRIX_FAULT_MATRIX_H_

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "banyan/events/event.h"
#include "tests/support/core_world.h"

namespace banyan {

// A fault that can be injected at any moment; it heals by itself.
struct Fault {
  const char* name;
  std::function<void(CoreWorld&)> inject;
};

// A moment of a run: an event that was logged for the n-th time.
struct Step {
  const char* name;
  EventId event;
  int occurrence;
};

// One cell of the matrix: a fault, or two at once, at a step.
struct Cell {
  const Fault* fault = nullptr;
  const Fault* second = nullptr;
  const Step* step = nullptr;
  std::uint64_t seed = 0;

  // Returns "fault+second@step#seed".
  [[nodiscard]] std::string name() const;
};

// What running one cell found.
struct CellResult {
  std::string name;
  // Whether the step was reached at all; otherwise the cell does not apply.
  bool applies = false;
  // Whether a majority of disks was lost, so that only safety is checked.
  bool has_lost_majority = false;
  std::vector<std::string> violations;
  std::vector<std::string> history;
  std::uint64_t events = 0;
};

// All faults and all steps.
[[nodiscard]] std::span<const Fault> AllFaults();
[[nodiscard]] std::span<const Step> AllSteps();

// Every fault at every step, and each pair of faults at a step that its
// position in the table chooses.
[[nodiscard]] std::vector<Cell> AllCells(std::uint64_t seed);

// Runs one cell under virtual time.
[[nodiscard]] CellResult RunCell(const Cell& cell, bool keep_history = false);

// What running many cells found.
struct MatrixReport {
  std::size_t run = 0;
  std::size_t passed = 0;
  std::size_t not_applicable = 0;
  std::vector<CellResult> failed;
  std::vector<std::string> not_reached;
  // Cells in which the cell of replicas rightly stood still.
  std::vector<std::string> stood_still;
};

// Runs cells on several threads.
[[nodiscard]] MatrixReport RunCells(std::span<const Cell> cells, int threads);

}  // namespace banyan

#endif  // BANYAN_TESTS_MATRIX_FAULT_MATRIX_H_
