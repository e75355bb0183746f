# Targets: all (default), check, lint, format, sanitize, demo, bench-config,
# bench-calls, faults (writes docs/FAULTS.md), docs (writes docs/SETTINGS.md
# and docs/COUNTERS.md), clean. BUILD names the output directory.
BUILD ?= build
CC = gcc
CXX = g++
SAN ?=

PACKAGES = libzmq libmicrohttpd libcurl glib-2.0 jansson libsodium \
           libxxhash msgpack
PKG_CFLAGS := $(shell pkg-config --cflags $(PACKAGES) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PACKAGES) 2>/dev/null) -lev -lhttp_parser -lsimdjson -lzstd -lm

INCLUDES = -Ilib/common -Ilib/operator -Ilib/platform -Ilib/peer \
           -Ilib/target -Ilib/caller -Ilib/http -Ilib/mesh -Ilib/account \
           -Ilib/admission -Ilib/link -Ilib/pace -Ilib/rollout -Iplatform \
           -Itests/unit
# libev's headers break strict aliasing rules by design.
WARN = -Wall -Wextra -Werror -Wno-strict-aliasing
CFLAGS ?= -O2 -g
CXXFLAGS ?= -O2 -g
ALL_CFLAGS = -std=gnu11 -D_GNU_SOURCE $(WARN) $(CFLAGS) $(SAN) $(INCLUDES) $(PKG_CFLAGS) \
             -MMD -MP
ALL_CXXFLAGS = -std=c++17 $(WARN) $(CXXFLAGS) $(SAN) $(INCLUDES) \
               $(PKG_CFLAGS) -MMD -MP

LIB_C := $(wildcard lib/*/*.c platform/*.c)
LIB_CC := $(wildcard lib/*/*.cc platform/*.cc)
LIB_OBJ := $(LIB_C:%.c=$(BUILD)/%.o) $(LIB_CC:%.cc=$(BUILD)/%.o)
LIB := $(BUILD)/libburdockbarrow.a

# Each directory programs/NAME is built as the binary NAME.
PROGRAMS := $(patsubst programs/%/,%,$(wildcard programs/*/))
BINARIES := $(PROGRAMS:%=$(BUILD)/%)

# The sidecar must start on VMs that have only the few packages it needs, so it
# is linked from the objects that it uses instead of the whole library.
SIDECAR_COMMON := bb_clock bb_counters bb_error bb_event bb_findings bb_histogram \
                  bb_http_syntax bb_name_table bb_random \
                  bb_reason bb_sidecar_settings
SIDECAR_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard programs/bbsidecar/*.c \
                  platform/*.c lib/mesh/*.c lib/http/*.c lib/account/*.c \
                  lib/admission/*.c lib/link/*.c lib/pace/*.c \
                  lib/rollout/*.c)) \
               $(SIDECAR_COMMON:%=$(BUILD)/lib/common/%.o) \
               $(patsubst %.cc,$(BUILD)/%.o,$(wildcard platform/*.cc)) \
               $(BUILD)/lib/common/bb_toml.o
SIDECAR_LIBS = $(shell pkg-config --libs glib-2.0 jansson 2>/dev/null) \
               -lev -lhttp_parser -lsimdjson -lzstd -lm

# Unit tests: every tests/unit/*_test.cc goes into one GoogleTest binary.
UNIT_CC := $(wildcard tests/unit/*.cc)
UNIT_OBJ := $(UNIT_CC:%.cc=$(BUILD)/%.o)

.PHONY: all check unit scripted lint format sanitize demo deps clean docs \
        run-tests bench-config bench-calls faults

all: $(BINARIES)

deps:
	@scripts/install-deps.sh

$(LIB): $(LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

define PROGRAM_RULE
$(BUILD)/$(1): $$(patsubst %.c,$(BUILD)/%.o,$$(wildcard programs/$(1)/*.c)) \
               $(LIB)
	@echo "  LINK $$@"
	@$(CXX) $(SAN) -o $$@ $$^ $(PKG_LIBS)
endef
$(foreach p,$(filter-out bbsidecar,$(PROGRAMS)),$(eval $(call PROGRAM_RULE,$(p))))

$(BUILD)/bbsidecar: $(SIDECAR_OBJ)
	@echo "  LINK $@"
	@$(CXX) $(SAN) -o $@ $^ $(SIDECAR_LIBS)

# Fault soak that runs real bbsidecar processes; see tests/soak/soak.cc.
SOAK_OBJ := $(patsubst %.cc,$(BUILD)/%.o,$(wildcard tests/soak/*.cc))
$(BUILD)/soak: $(SOAK_OBJ) $(LIB) $(BUILD)/bbsidecar
	@echo "  LINK $@"
	@$(CXX) $(SAN) -o $@ $(filter %.o %.a,$^) -lgtest -lpthread $(PKG_LIBS)

$(BUILD)/unit_tests: $(UNIT_OBJ) $(LIB)
	@echo "  LINK $@"
	@$(CXX) $(SAN) -o $@ $^ -lgtest -lgtest_main -lpthread $(PKG_LIBS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC   $<"
	@$(CC) $(ALL_CFLAGS) -c -o $@ $<

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	@echo "  CXX  $<"
	@$(CXX) $(ALL_CXXFLAGS) -c -o $@ $<

unit: $(BUILD)/unit_tests $(BUILD)/soak

# Runs a second make, because pkg-config gives the compiler flags of a missing
# package only after it is installed.
check: deps
	@$(MAKE) run-tests

run-tests: all unit
	BUILD=$(BUILD) tests/run.sh

lint:
	scripts/lint.sh

format:
	@git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' | xargs clang-format -i

sanitize:
	$(MAKE) BUILD=build-sanitize CFLAGS="-O1 -g" CXXFLAGS="-O1 -g" \
	    SAN="-fsanitize=address,undefined -fno-sanitize-recover=all" \
	    check

demo:
	@scripts/demo.sh

bench-config: all
	bench/config.sh

bench-calls: all
	bench/calls.sh

faults: unit
	BB_WRITE_FAULTS=1 $(BUILD)/unit_tests --gtest_brief=1 \
	    --gtest_filter=FaultMatrix.PageIsCurrent

docs: $(BUILD)/bbnode
	$(BUILD)/bbnode --print-settings >docs/SETTINGS.md
	$(BUILD)/bbnode --print-counters >docs/COUNTERS.md

clean:
	rm -rf build build-sanitize

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
