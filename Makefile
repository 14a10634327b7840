PROGRAMS := balsam-entry balsam-ctl balsam-load balsam-standin
SEEDS ?= 5

SEED ?= 1
MINUTES ?= 2
FUZZTIME ?= 5000x

.PHONY: build test crowd race lint run bench gobench soak fuzz generate clean

build:
	@mkdir -p bin
	go build -o bin/ $(PROGRAMS:%=./cmd/%)

# Runs every test with the race detector.
test:
	go test -race -timeout 8m $(if $(SKIP),-skip '$(SKIP)') ./...

# Runs the tests of large crowds of callers, one at a time. They measure the memory of processes and
# must run without other load.
crowd:
	go test -tags crowd -count=1 -p 1 -timeout 8m $(if $(SKIP),-skip '$(SKIP)') ./test/crowd

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	go vet -tags crowd ./test/crowd
	go tool staticcheck ./...
	go tool staticcheck -tags crowd ./test/crowd

# Starts stand-ins and three entries on loopback, sends queries and prints the answers.
run: build
	scripts/demo.sh bin

# Measures the policies, off and on, against the stand-ins.
bench: build
	@mkdir -p out
	scripts/bench.sh bin $(SEEDS) out/bench.json

# Runs the Go benchmarks of the decisions.
gobench:
	go test -run '^$$' -bench . -benchmem ./coordination/... ./state/... ./internal/configsync/... ./internal/entry/...

# Runs the fault soak of the relay, real entries between stand-ins, and the same during an upgrade.
soak:
	go test -count=1 -v -timeout $$(( 2 * $(MINUTES) + 5 ))m ./platform/soaktest -args -soak.seed=$(SEED) -soak.seconds=$$(( $(MINUTES) * 60 ))

# Fuzzes every parser for a duration or a number of inputs (FUZZTIME) each.
fuzz:
	scripts/fuzz.sh $(FUZZTIME)

generate:
	protocol/peerpb/generate.sh

clean:
	rm -rf bin out
