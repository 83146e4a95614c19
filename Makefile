# Build, test, lint and run; .ci/run calls these.

.PHONY: build test lint run fmt

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

fmt:
	cargo fmt --all

# CONFIG=path/to/config.json make run
run: build
	target/release/postusher serve --config "$(CONFIG)"
