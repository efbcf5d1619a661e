# make demo: runs a small deployment with stand-ins on loopback.
# make test: runs everything that CI runs.
GOLANGCI_VERSION := v2.15.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_DRPC_VERSION := v1.1.0
GOBIN := $(shell go env GOPATH)/bin
export PATH := $(GOBIN):$(PATH)

PROOFS := caps regions keys rates answers refusals once targets stops configuration

# Directory of the users' benchmark kit, which CI doesn't have, and its bench.
KIT ?= ../given/kit/more/system
BENCH ?= $(KIT)/more/bench-d17393/bin/fleetbench
JOBS ?= 3
# Number of seeds and first seed of `make soak`.
SEEDS ?= 50
FIRST ?= 1000

.PHONY: soak bench all build tools test unit lint format schema spec demo proofs $(PROOFS:%=prove-%)

all: build

build:
	mkdir -p bin
	go build -o bin/ ./...

tools:
	sh .ci/tools $(GOLANGCI_VERSION) $(PROTOC_GEN_GO_VERSION) $(PROTOC_GEN_DRPC_VERSION)

test: tools build lint schema spec unit

unit:
	bash .ci/unit

lint:
	go vet ./...
	golangci-lint run ./...
	test -z "$$(golangci-lint fmt --diff ./... | head -40 | tee /dev/stderr)"

format:
	golangci-lint fmt ./...

schema:
	bash .ci/schema

spec: tools
	bash spec/check

soak:
	go test -count=1 -timeout 60m -parallel 4 ./soaker -seeds $(SEEDS) -first $(FIRST)

bench:
	@test -x $(BENCH) || { echo "make bench: no users' kit at $(KIT); name it with KIT=PATH"; exit 1; }
	$(BENCH) run $(KIT)/further/lsl-saddlenet.toml quiet-1 --jobs $(JOBS)
	$(BENCH) run $(KIT)/further-grown/lsl-saddlenet-grown.toml quiet-1 --jobs $(JOBS)
	$(BENCH) run $(KIT)/large/kfb-clipnet-large.toml quiet-1 --jobs $(JOBS)

demo: build
	bash demo/run

# One target for each promise in docs/PROOFS.md, in the same order; each runs on a clean checkout.
proofs: $(PROOFS:%=prove-%)

prove-caps:
	go test -count=1 ./selector -run 'Shares|Slow'

prove-regions:
	go test -count=1 ./selector -run 'Cold|Queue|Failures|Restart|Entry|Process'
	go test -count=1 ./retrier
	go test -count=1 ./steerer -run 'Budget|Restarted'
	go test -count=1 ./soaker -run 'Repeats|Restart'

prove-keys: spec
	go test -count=1 ./steerer ./follower ./announcer
	go test -count=1 ./soaker -run 'Withdrawn'

prove-rates: spec
	go test -count=1 ./sharer ./conductor

prove-answers:
	go test -count=1 ./exchanger ./server

prove-refusals:
	go test -count=1 ./steerer -run 'Once|DidNotRun|Refusals'

prove-once:
	go test -count=1 ./steerer ./exchanger
	go test -count=1 ./soaker -run 'Kills'

prove-targets:
	go test -count=1 ./follower ./selector
	go test -count=1 ./soaker -run 'Leaving'

prove-stops:
	go test -count=1 ./soaker -run 'StopsOfHosts'

prove-configuration:
	go test -count=1 ./follower ./relayer ./platform
