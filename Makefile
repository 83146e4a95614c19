# Targets for building, testing, linting and running. `.ci/run` uses build, test and lint.

.PHONY: build test lint run fmt demo testbed lab bench members members-model

build:
	cargo build --release --locked

# Runs a scheduler and a fleet of mock workers under load for a minute and writes a report to target/demo. The
# first command for newcomers.
demo:
	@cargo build --profile testbed --locked --quiet -p postusher-node -p postusher-testbed
	@target/testbed/postusher-testbed run crates/testbed/scenarios/demo.toml --out target/demo

# Runs a scenario of the test bed and writes a report:
#   make testbed SCENARIO=crates/testbed/scenarios/waiting.toml SEED=1 OUT=target/report
SEED ?= 1
OUT ?= target/report
testbed:
	cargo build --profile testbed --locked -p postusher-node -p postusher-testbed
	target/testbed/postusher-testbed run "$(SCENARIO)" --seed $(SEED) --out "$(OUT)"

# Former name of the target `testbed`.
lab: testbed

# Measures membership in virtual time: time to detect a crash, false removals and cost. Run by hand; takes
# some minutes. HOURS=100 corresponds to 1,000 member-hours. To run twenty schedulers for ten minutes instead:
#   make testbed SCENARIO=crates/testbed/scenarios/members-long.toml
HOURS ?= 2
members:
	cargo run --release --locked --quiet -p postusher-testbed --example members -- "$(OUT)" $(HOURS)

# Checks all 15 million states of the membership model with four members. Run by hand; takes a quarter of an
# hour.
members-model:
	cargo test --release --locked -p postusher-membership --test model -- --ignored --nocapture

# Measures how the cost of deferred jobs grows. Run by hand, because measurements on a busy machine are
# meaningless.
bench:
	cargo bench --locked -p postusher-deferred-jobs
	cargo run --release --locked --quiet -p postusher-deferred-jobs --example memory

# Runs all tests except the known failures that KNOWN-RED.txt lists, and prints those. Fails if the list has an error;
# see .ci/known-red.
KNOWN_RED = $(shell sed -n 's/^\([A-Za-z0-9_:]\{1,\}\) *|.*/\1/p' KNOWN-RED.txt)
test:
	cargo test --workspace --locked --no-run
	@cargo test --workspace --locked --quiet -- --list --format terse > target/tests.txt
	@.ci/known-red KNOWN-RED.txt target/tests.txt
	cargo test --workspace --locked $(if $(KNOWN_RED),-- --exact $(foreach test,$(KNOWN_RED),--skip $(test)))

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

fmt:
	cargo fmt --all

# Builds and starts a scheduler: make run CONFIG=path/to/config.json
run: build
	target/release/postusher serve --config "$(CONFIG)"
