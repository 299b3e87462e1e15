# make test runs every check; make demo shows the main job on this machine.
GO ?= go

.PHONY: build test demo generate bench

build:
	$(GO) build -o bin/ ./cmd/...

test:
	./scripts/check

demo: build
	./bin/radishhoist-lab demo

generate:
	$(GO) generate ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...
