# Everyday tasks; README.md says what the router must be told for `run`.
.PHONY: build test lint run lab testbed prove capacity chaos faulty earlier

# The program that later ones are measured against, built beside this one from the history.
NAME = overload
EARLIER_membership = 03ef82b
EARLIER_fleet-overload = 03ef82b
EARLIER_fleet-ramp = 498ba1f
EARLIER = $(or $(EARLIER_$(NAME)),7137192)
BEFORE = target/earlier/$(EARLIER)/ladderpass
MINUTES = 5
# Proofs that tell faulty builds apart.
FAULTED = faults membership fleet-overload fleet-budgets fleet-ramp
SEED = 1
# A program is copied beside its place and then renamed: one that runs can't be written over, and nobody
# starts half of one.
put = cp $(1) $(2).$$$$ && mv -f $(2).$$$$ $(2)

build:
	cargo build --release --locked

# cargo test --workspace --locked, over all but what KNOWN-RED.txt lists.
test:
	bash .ci/known-red test

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	target/release/ladderpass

testbed: build
	cargo build --release --locked -p ladderpass-testbed -p ladderpass-fault-injection
	# The programs' names of before, for scripts that call them.
	ln -sf ladderpass-testbed target/release/ladderpass-lab
	ln -sf ladderpass-fault-injection target/release/ladderpass-faults

# The target's name of before.
lab: testbed

# make prove NAME=overload SEED=7: an issue's proof, one table, non-zero where it falls short.
prove: testbed $(if $(filter $(FAULTED),$(NAME)),faulty)
	target/release/ladderpass-testbed prove $(NAME) --seed $(SEED) \
		$(if $(wildcard $(BEFORE)),--earlier $(BEFORE)) \
		$(if $(filter $(FAULTED),$(NAME)),--faulty target/faulty/ladderpass)

# make capacity SEED=n: the longer runs behind docs/CAPACITY.md, minutes; tables and charts in docs/experiments/capacity.
capacity: testbed
	target/release/ladderpass-testbed capacity --seed $(SEED)

# make chaos MINUTES=n: plans of faults drawn from SEED on; what breaks a rule is shrunk and written.
chaos: testbed
	target/release/ladderpass-testbed chaos --minutes $(MINUTES) --seed $(SEED)

# A router with switches to break the rules by, for the proof of the checkers alone. It is built apart: the
# real one stays where it is while other proofs run it.
faulty:
	mkdir -p target/faulty
	cargo build --release --locked -p ladderpass --features faulty --target-dir target/faulty/build
	$(call put,target/faulty/build/release/ladderpass,target/faulty/ladderpass)

# Builds the earlier program, so that `prove` measures beside it too: make earlier NAME=membership.
earlier:
	mkdir -p $(dir $(BEFORE))
	test -d target/earlier/$(EARLIER)/tree || git worktree add --force --detach target/earlier/$(EARLIER)/tree $(EARLIER)
	cd target/earlier/$(EARLIER)/tree && cargo build --release --locked --target-dir ../build
	$(call put,target/earlier/$(EARLIER)/build/release/ladderpass,$(BEFORE))
