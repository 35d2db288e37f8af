BUILD ?= build

.PHONY: all packages build check demo capacity bench format format-check lint proto clean

all: build

packages:
	scripts/install-packages

$(BUILD)/build.ninja: CMakeLists.txt
	cmake -S . -B $(BUILD) -G Ninja >/dev/null

build: packages $(BUILD)/build.ninja
	cmake --build $(BUILD)

check: build
	cd $(BUILD) && ctest --output-on-failure -j 4

demo: build
	BUILD_DIR=$(BUILD) scripts/demo

capacity: build
	BUILD_DIR=$(BUILD) scripts/capacity

bench: build
	BUILD_DIR=$(BUILD) scripts/bench

format:
	scripts/sources | xargs clang-format -i

format-check:
	scripts/sources | xargs clang-format --dry-run -Werror

lint: $(BUILD)/build.ninja
	scripts/lint $(BUILD)

# The generated code is committed; run this after a change of the .proto file.
proto:
	cd libteasel/wire && protoc-c --c_out=. sched.proto teasel.proto

clean:
	rm -rf $(BUILD)
