// Runs the cells of the fault matrix and compares docs/FAULTS.md with its
// table.
#include "fault_matrix.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <sstream>

namespace fault_matrix {

namespace {

struct StepRow {
    Step step;
    const char *group, *name;
};
const StepRow kSteps[] = {
#define STEP(id, group, name) {id, group, name},
#include "fault_matrix.def"
};

struct FaultRow {
    Fault fault;
    const char *name;
};
const FaultRow kFaults[] = {
#define FAULT(id, name) {id, name},
#include "fault_matrix.def"
};

// One RUNS or REASON of the table.
struct Entry {
    uint32_t steps, faults;
    const char *reason; // NULL for RUNS
};
const Entry kEntries[] = {
#define RUNS(steps, faults) {steps, faults, nullptr},
#include "fault_matrix.def"
#define REASON(steps, faults, text) {steps, faults, text},
#include "fault_matrix.def"
};

struct Scenario {
    const char *guarantees;
    ScenarioFunction run;
};

std::map<Step, Scenario> &
Scenarios()
{
    static std::map<Step, Scenario> scenarios;
    return scenarios;
}

int &
DuplicateRegistrations()
{
    static int count;
    return count;
}

// Returns the last entry that contains the cell, or NULL, and stores the
// number of such entries in *count.
const Entry *
FindEntry(Step step, Fault fault, int *count = nullptr)
{
    const Entry *found = nullptr;
    int matches = 0;
    for (const Entry &entry : kEntries) {
        if ((entry.steps & step) && (entry.faults & fault)) {
            found = &entry;
            matches++;
        }
    }
    if (count != nullptr) {
        *count = matches;
    }
    return found;
}

std::string
CellName(Step step, Fault fault)
{
    return std::string(StepName(step)) + "/" + FaultName(fault);
}

// True for every cell, or only for the one that BB_CELL names as "step/fault".
bool
IsCellSelected(Step step, Fault fault)
{
    const char *cell = getenv("BB_CELL");
    return cell == nullptr || CellName(step, fault) == cell;
}

// Returns BB_SEED, or 1 when it is not set.
uint32_t
SeedFromEnvironment()
{
    const char *text = getenv("BB_SEED");
    return text != nullptr ? (uint32_t)strtoul(text, nullptr, 10) : 1;
}

void
RunAndReport(const Scenario &scenario, Step step, Fault fault,
             const Options &options)
{
    for (const auto &violation : scenario.run(step, fault, options)) {
        ADD_FAILURE() << violation << "\n  fault "
                      << (options.inject_twice ? "twice" : "once")
                      << (options.second_fault ? ", second fault " : "")
                      << (options.second_fault
                              ? FaultName(options.second_fault)
                              : "")
                      << "\n  replay with BB_SEED=" << options.seed
                      << " BB_CELL='" << CellName(step, fault) << "'";
    }
}

// ---- text of docs/FAULTS.md ----

// Returns the text of a cell of the page. numbers gets the next number for a
// reason that it does not have yet.
std::string
CellText(Step step, Fault fault, std::map<const Entry *, int> &numbers)
{
    const Entry *entry = FindEntry(step, fault);
    if (entry == nullptr) {
        return "missing";
    }
    if (entry->reason == nullptr) {
        return Scenarios().count(step) ? "run" : "open";
    }
    auto number = numbers.emplace(entry, (int)numbers.size() + 1).first;
    return std::to_string(number->second);
}

void
PrintGroup(std::ostream &out, const char *group,
           std::map<const Entry *, int> &numbers)
{
    std::string header = "| fault", separator = "| ---", checks;
    for (const auto &row : kSteps) {
        if (strcmp(row.group, group) == 0) {
            auto found = Scenarios().find(row.step);
            header += std::string(" | ") + row.name;
            separator += " | ---";
            checks = found == Scenarios().end() ? "not proved yet"
                                                : found->second.guarantees;
        }
    }
    out << "\n## " << group << "\n\nChecked: " << checks << ".\n\n"
        << header << " |\n"
        << separator << " |\n";
    for (const auto &fault : kFaults) {
        out << "| " << fault.name;
        for (const auto &row : kSteps) {
            if (strcmp(row.group, group) == 0) {
                out << " | " << CellText(row.step, fault.fault, numbers);
            }
        }
        out << " |\n";
    }
}

} // namespace

Registration::Registration(uint32_t steps, const char *guarantees,
                           ScenarioFunction run)
{
    for (const auto &row : kSteps) {
        if ((steps & row.step) &&
            !Scenarios().emplace(row.step, Scenario{guarantees, run}).second) {
            DuplicateRegistrations()++;
        }
    }
}

const char *
StepName(Step step)
{
    return kSteps[__builtin_ctz(step)].name;
}

const char *
FaultName(Fault fault)
{
    return kFaults[__builtin_ctz(fault)].name;
}

std::vector<Fault>
FaultsAt(Step step)
{
    std::vector<Fault> faults;
    for (const auto &row : kFaults) {
        const Entry *entry = FindEntry(step, row.fault);
        if (entry != nullptr && entry->reason == nullptr) {
            faults.push_back(row.fault);
        }
    }
    return faults;
}

std::string
FormatPage()
{
    std::ostringstream out;
    std::map<const Entry *, int> numbers;
    out << "# Fault matrix\n\n"
           "Written by `make faults` from tests/unit/fault_matrix.def; a test "
           "fails when the\npage and the table differ.\n\n"
           "- *run*: the fault is injected when the step happens: once, "
           "twice, and with each\n  other fault of the column. The "
           "guarantees are checked after every event.\n"
           "- *open*: not proved yet; no scenario covers the step.\n"
           "- *number*: cannot arise there, for the reason of that number "
           "below.\n";
    const char *group = "";
    for (const auto &row : kSteps) {
        if (strcmp(row.group, group) != 0) {
            group = row.group;
            PrintGroup(out, group, numbers);
        }
    }
    std::map<int, const char *> reasons;
    for (const auto &entry : numbers) {
        reasons[entry.second] = entry.first->reason;
    }
    out << "\n## Reasons\n\n";
    for (const auto &entry : reasons) {
        out << entry.first << ". " << entry.second << ".\n";
    }
    return out.str();
}

// Guards against a fault or a step that is added to the table without a RUNS
// or REASON for each of its cells.
TEST(FaultMatrix, EveryCellIsRunOrHasAReason)
{
    EXPECT_EQ(DuplicateRegistrations(), 0);
    for (const auto &step : kSteps) {
        for (const auto &fault : kFaults) {
            int count;
            FindEntry(step.step, fault.fault, &count);
            EXPECT_EQ(count, 1) << CellName(step.step, fault.fault);
        }
        if (!Scenarios().count(step.step)) {
            printf("step %s has no scenario: %zu cells not run\n", step.name,
                   FaultsAt(step.step).size());
        }
    }
}

// Guards against a docs/FAULTS.md that differs from the cells that are run.
// With BB_WRITE_FAULTS set the page is written first.
TEST(FaultMatrix, PageIsCurrent)
{
    const char *path = "docs/FAULTS.md";
    if (getenv("BB_WRITE_FAULTS") != nullptr) {
        std::ofstream(path) << FormatPage();
    }
    std::stringstream page;
    page << std::ifstream(path).rdbuf();
    EXPECT_TRUE(page.str() == FormatPage())
        << "docs/FAULTS.md is not current: run make faults";
}

// Guards against calls that start too late while their target leaves (G7):
// with these seeds, calls that waited for a slow claim once started 3.6
// and 5.0 s after the target had begun to leave.
TEST(FaultMatrix, SlowClaimStartsNoCallAfterTargetLeft)
{
    const struct {
        Step step;
        Fault fault, second_fault;
        uint32_t seed;
    } cases[] = {
        {CALL_ARRIVES, PLATFORM_SLOW, TARGET_DRAINS, 7},
        {CALL_QUEUED, PLATFORM_SLOW, TARGET_DRAINS, 25},
    };
    for (const auto &row : cases) {
        Options options;
        options.second_fault = row.second_fault;
        options.seed = row.seed;
        RunAndReport(Scenarios().at(row.step), row.step, row.fault, options);
    }
}

class FaultMatrixStep : public ::testing::TestWithParam<StepRow> {};

// Guards against a single fault, a repeated fault or a pair of faults that
// breaks a guarantee when it is injected at this step.
TEST_P(FaultMatrixStep, GuaranteesHoldUnderFaults)
{
    auto scenario = Scenarios().find(GetParam().step);
    if (scenario == Scenarios().end()) {
        return; // EveryCellIsRunOrHasAReason prints the step
    }
    Step step = GetParam().step;
    for (Fault fault : FaultsAt(step)) {
        Options options;
        options.seed = SeedFromEnvironment();
        if (!IsCellSelected(step, fault)) {
            continue;
        }
        RunAndReport(scenario->second, step, fault, options);
        options.inject_twice = true;
        RunAndReport(scenario->second, step, fault, options);
        options.inject_twice = false;
        for (Fault second_fault : FaultsAt(step)) {
            options.second_fault = second_fault;
            if (second_fault != fault) {
                RunAndReport(scenario->second, step, fault, options);
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(All, FaultMatrixStep, ::testing::ValuesIn(kSteps),
                         [](const ::testing::TestParamInfo<StepRow> &info) {
                             std::string name = info.param.name;
                             for (char &c : name) {
                                 c = c == ' ' ? '_' : c;
                             }
                             return name;
                         });

} // namespace fault_matrix
