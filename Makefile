# A thin front of meson and ninja.
BUILD := build
PACKAGES := libwebsockets-dev libwebsockets-evlib-uv libuv1-dev libmsgpack-dev libcunit1-dev libjansson-dev libxxhash-dev \
	libsodium-dev zlib1g-dev meson ninja-build pkg-config gcc clang-format clang-tidy cppcheck valgrind curl

.PHONY: all demo test bench switched-off check format install clean docs

all: build

# What is declared above; Debian. Nothing is done if all of it is there.
install:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
		(apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES) >/dev/null)

build: install
	@test -f $(BUILD)/build.ninja || meson setup $(BUILD) >/dev/null
	@ninja -C $(BUILD) --quiet

demo: build
	@bash bench/demo.sh

test: build
	@bash tests/run.sh

bench: build
	@bash bench/run.sh

switched-off: build
	@bash tests/process/switched_off.sh

check: build
	@bash .ci/lint

docs: build
	@$(BUILD)/ferryd --help-settings > docs/SETTINGS.md

format:
	@git ls-files '*.[ch]' | xargs clang-format -i

clean:
	@rm -rf $(BUILD)
