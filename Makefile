# What a new checkout needs is a Rust tool chain and the crate registry.
CONFIG ?= config.json

.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# One backend in the foreground, told what it needs by $(CONFIG); see README.md.
run: build
	GW_CONFIG=$(CONFIG) exec target/release/asterrilld
