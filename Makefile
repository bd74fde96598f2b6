# Thin over the CMake presets. `make test` and `make demo` also set up a fresh Debian machine.
BIN := build/release/bin

.PHONY: capacity all setup build test demo bench lint format clean
all: build
setup:
	@tools/setup
build: setup
	@cmake --preset release >/dev/null
	@cmake --build --preset release
test: build
	@tools/test
demo: build
	@tools/demo
bench: build
	@$(BIN)/catkinford-bench bounds --file bench/bounds.json --out out
capacity: build
	@$(BIN)/catkinford-bench slopes --commit $$(git rev-parse --short HEAD) --json bench/slopes.json
	@$(BIN)/catkinford-bench capacity --slopes bench/slopes.json
lint: build
	@tools/lint
format:
	@git ls-files -co --exclude-standard '*.cc' '*.h' | xargs clang-format-16 -i
clean:
	@rm -rf build out
