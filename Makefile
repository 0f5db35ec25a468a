MODULES := . ./winchd ./winchctl ./standin ./winchload
PACKAGES := ./... ./winchd/... ./winchctl/... ./standin/... ./winchload/...
TOOL := go tool -modfile=tools/go.mod
# The tests at the start of a line of KNOWN-RED.txt, as a pattern. Without any, nothing matches it.
KNOWN_RED := ^$(shell sed -nE 's/^(Test[A-Za-z0-9_]+)[ :].*/\1/p' KNOWN-RED.txt | paste -sd'|' | sed 's/|/$$|^/g')$$
SKIP := -skip '$(KNOWN_RED)'
export GOFLAGS := -buildvcs=false

.PHONY: all build check test race model known-red run up fmt faults capacity

all: build

build:
	mkdir -p bin
	go build -o bin/ ./winchd ./winchctl ./standin ./winchload

fmt:
	gofmt -s -w $(MODULES)

check:
	@test -z "$$(gofmt -s -l $(MODULES))" || { gofmt -s -l $(MODULES); echo "run make fmt"; exit 1; }
	go vet $(PACKAGES)
	cd tools && go build -o ../bin/tools/ honnef.co/go/tools/cmd/staticcheck github.com/mgechev/revive
	bin/tools/staticcheck $(PACKAGES)
	bin/tools/revive -config revive.toml -formatter friendly $(PACKAGES)

test: build
	go test -parallel 4 $(SKIP) $(PACKAGES)

race:
	go test -race -short $(SKIP) $$(go list $(PACKAGES) | grep -v /faults)

model:
	@if [ -x models/run ]; then models/run; else echo "no models yet"; fi

known-red:
	@if [ -s KNOWN-RED.txt ]; then echo "Known red:"; cat KNOWN-RED.txt; else echo "known red: none"; fi

run: build
	scripts/run.sh

up: build
	scripts/run.sh stay

capacity: build
	bin/winchload capacity
	go test -run '^$$' -bench Decision -benchmem ./dispatch/endpoint

faults: build
	scripts/faults.sh
