# Build, test, lint and run; .ci/run calls these.

.PHONY: build test lint run fmt demo lab bench members members-model

build:
	cargo build --release --locked

# A newcomer's first command: a scheduler with a fleet around it, a minute of jobs, a report.
demo:
	@cargo build --profile lab --locked --quiet -p postusher-node -p postusher-lab
	@target/lab/postusher-lab run lab/scenarios/demo.toml --out target/demo

# make lab SCENARIO=lab/scenarios/waiting.toml SEED=1 OUT=target/report
SEED ?= 1
OUT ?= target/report
lab:
	cargo build --profile lab --locked -p postusher-node -p postusher-lab
	target/lab/postusher-lab run "$(SCENARIO)" --seed $(SEED) --out "$(OUT)"

# Membership in virtual time: times to know of a crash, wrong removals, cost; by hand, some minutes. HOURS=100 are 1,000
# member-hours. Twenty schedulers for ten minutes: make lab SCENARIO=lab/scenarios/members-long.toml
HOURS ?= 2
members:
	cargo run --release --locked --quiet -p postusher-lab --example members -- "$(OUT)" $(HOURS)

# All 15 million states of four members; by hand, a quarter of an hour.
members-model:
	cargo test --release --locked -p postusher-members --test model -- --ignored --nocapture

# How the waiting room's costs grow; by hand, as figures of a busy machine mean nothing.
bench:
	cargo bench --locked -p postusher-waiting
	cargo run --release --locked --quiet -p postusher-waiting --example memory

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
