# Main targets, on a machine with Go: make demo, make test.
GO ?= go
SEED ?= 1
# How long each fuzz target runs: a number of inputs, or a time as in FUZZTIME=5m. CI uses
# a number, because go test reports a failure if the time ends in an unlucky moment.
FUZZTIME ?= 100000x
# A target that has not ended by then fails; it may hang on an input.
FUZZ_TIMEOUT ?= 10m

.PHONY: all build demo test check unit crowd fuzz spec faults bench capacity

all: build

build:
	$(GO) build -o bin/ ./cmd/...

# Formatter, vet, staticcheck, race-enabled tests, model checks.
test: check unit crowd fuzz spec

check:
	@unformatted=$$(gofmt -l cmd internal platform tests); \
	if [ -n "$$unformatted" ]; then echo "gofmt would change: $$unformatted"; exit 1; fi
	$(GO) vet ./... ./tests/...
	$(GO) tool staticcheck ./... ./tests/...

# The environment variable RED_TESTS is the pattern of the tests to skip; set by .ci/run.
unit:
	$(GO) test -race -count=1 -timeout 12m $${RED_TESTS:+-skip "$$RED_TESTS"} \
		$$($(GO) list ./... ./tests/... | grep -v '/tests/crowd$$')

# Crowds of uncontrolled callers against real processes, one test at a time and without the
# other packages beside them, since they bound the memory of a process.
crowd:
	$(GO) test -race -count=1 -timeout 12m -parallel 1 $${RED_TESTS:+-skip "$$RED_TESTS"} ./tests/crowd

# Fuzz targets for bytes from outside; inputs that fail are kept under testdata/fuzz.
fuzz:
	@for target in $$(grep -rloE '^func Fuzz' --include='*_test.go' internal platform | sort -u); do \
		for name in $$(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\).*/\1/p' $$target); do \
			timeout $(FUZZ_TIMEOUT) $(GO) test ./$$(dirname $$target) -run '^$$' -fuzz "^$$name\$$" -fuzztime $(FUZZTIME) >fuzz.log 2>&1 || { cat fuzz.log; rm fuzz.log; exit 1; }; \
			echo "fuzz $$name: $$(grep -oE 'execs: [0-9]+' fuzz.log | tail -1)"; rm -f fuzz.log; \
		done; \
	done

# Exhaustive model checks of the core protocols; see spec/.
spec:
	./spec/run.sh

# The full fault matrix against host processes, for example: make faults SEED=7
faults:
	$(GO) test ./tests/faults -count=1 -timeout 30m -v -full -seed $(SEED)

# Control costs per host at several fleet sizes, for docs/CAPACITY.md; about 3 minutes.
capacity:
	$(GO) test ./tests/capacity -run '^$$' -bench . -benchtime 1x -timeout 20m

demo: build
	./bin/arbutusctl demo

# Benchmarks of the request path and a comparison of policies; under three minutes.
bench: build
	$(GO) test ./tests/bench -run '^$$' -bench . -benchtime 20000x -timeout 5m
	./bin/arbutusctl experiment scenarios/seed-office-quick.jsonc --seed $(SEED) --out out/bench
