# Build, test, lint and run; `make ci` is what must pass before a change lands.

.PHONY: build test lint ci run toy demo sites

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

ci:
	.ci/run

# Three toy servers and a toy discovery; start them first, in a terminal of their own.
toy: build
	target/release/whinspindle-toy

# The balancer in front of the toy servers, or another one: make run ROUTER_CONFIG=its.json
ROUTER_CONFIG ?= examples/balancer.json
run: build
	ROUTER_CONFIG=$(ROUTER_CONFIG) target/release/whinspindle

# The real program before the lab's servers, one killed and one drained in the middle; needs nothing else.
demo: build
	cargo build --release --locked -p whinspindle-lab
	target/release/whinspindle-lab run lab/scenarios/demo.toml --real --out results

# Lays beside deploy/sites/*.toml what the bench wants there: links into its kit, which is no part of the checkout.
KIT ?= ../given/kit
sites:
	ln -sfn $(abspath $(KIT))/more/mass/other/real.json deploy/sites/real.json
	ln -sfn $(abspath $(KIT))/more/mass/other/wire.json deploy/sites/wire.json
	ln -sfn $(abspath $(KIT))/more/mass/other/unlock.txt deploy/sites/unlock.txt
