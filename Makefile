# make demo: a small deployment with stand-ins on loopback.
# make test: everything that CI runs.
GOLANGCI_VERSION := v2.15.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_DRPC_VERSION := v1.1.0
GOBIN := $(shell go env GOPATH)/bin
export PATH := $(GOBIN):$(PATH)

.PHONY: all build tools test unit lint format schema spec demo

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

spec:
	bash spec/check

demo: build
	bash demo/run
