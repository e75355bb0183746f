// The fault matrix: tests that inject each fault at each step of the work of
// the mesh. The table in fault_matrix.def selects the test runs and is the
// source of docs/FAULTS.md.
//
// A scenario registers for steps with a static Registration. It is called for
// each cell (a step and a fault) that fault_matrix.def lists under RUNS. It
// injects the fault when the step happens, continues until all faults have
// ended, and returns the violated guarantees, one line each. The cells of a
// step without a scenario are not run; docs/FAULTS.md shows them as "open".
#ifndef FAULT_MATRIX_H
#define FAULT_MATRIX_H

#include <cstdint>
#include <string>
#include <vector>

namespace fault_matrix {

enum StepNumber {
#define STEP(id, group, name) NUMBER_##id,
#include "fault_matrix.def"
    STEP_COUNT
};

enum FaultNumber {
#define FAULT(id, name) NUMBER_##id,
#include "fault_matrix.def"
    FAULT_COUNT
};

// Steps and faults are bit flags; sets of them are joined with |.
enum Step : uint32_t {
#define STEP(id, group, name) id = UINT32_C(1) << NUMBER_##id,
#include "fault_matrix.def"
};

enum Fault : uint32_t {
    NO_FAULT = 0,
#define FAULT(id, name) id = UINT32_C(1) << NUMBER_##id,
#include "fault_matrix.def"
};

struct Options {
    bool inject_twice = false;     // inject the fault again 1 s later
    Fault second_fault = NO_FAULT; // injected at a time drawn from the seed
    uint32_t seed = 1;
};

using Violations = std::vector<std::string>;
using ScenarioFunction = Violations (*)(Step step, Fault fault,
                                        const Options &options);

// Registers a scenario for a set of steps. guarantees says what it checks, as
// docs/FAULTS.md prints it, for example "G1, G2". A step has at most one
// scenario.
struct Registration {
    Registration(uint32_t steps, const char *guarantees, ScenarioFunction run);
};

const char *StepName(Step step);
const char *FaultName(Fault fault);

// The faults that fault_matrix.def lists under RUNS for a step.
std::vector<Fault> FaultsAt(Step step);

// The text of docs/FAULTS.md.
std::string FormatPage();

} // namespace fault_matrix

#endif
