# Two commands for a fresh Debian 12 machine: `make demo` and `make test`.

BUILD ?= build
JOBS ?= 6
PACKAGES = g++ cmake ninja-build clang-format clang-tidy libpoco-dev \
  libwebsocketpp-dev libboost-dev nlohmann-json3-dev libyaml-cpp-dev \
  libtclap-dev libgoogle-glog-dev libspdlog-dev libcppunit-dev librapidcheck-dev

.PHONY: packages build demo test matrix bench format check-format tidy

packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
	  (apt-get update && apt-get install -y $(PACKAGES))

build: packages
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

demo: build
	$(BUILD)/tests/banyan-demo $(BUILD) $(BUILD)/demo-run

test: build
	RC_PARAMS="seed=1" $(BUILD)/tests/banyan-tests $(BUILD) .

matrix: build
	$(BUILD)/tests/banyan-matrix --full

bench: build
	$(BUILD)/tests/banyan-bench $(BUILD)

format:
	clang-format -i $$(git ls-files '*.h' '*.cc')

check-format:
	clang-format --dry-run -Werror $$(git ls-files '*.h' '*.cc')

# The transport unit is C++17 for its library's sake and is checked alone.
tidy: build
	git ls-files 'src/*.cc' 'platform/*.cc' 'tests/*.cc' 'examples/*.cc' | grep -v '^src/net/transport.cc' | \
	  xargs -P $(JOBS) -n 2 clang-tidy -p $(BUILD) --quiet 2>/dev/null
