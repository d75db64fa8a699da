# Targets for users and CI. Everything is built into bin/.

MODULES := . cmd/fescuelatch cmd/fescuelatch-load cmd/fescuelatchd cmd/standin
FLEET ?= umurongo

.PHONY: build test demo up tools

build:
	@mkdir -p bin
	@for p in fescuelatch fescuelatch-load fescuelatchd standin; do \
		go build -o bin/$$p ./cmd/$$p || exit 1; \
	done

tools:
	@scripts/tools

test: tools
	@scripts/test $(MODULES)

demo: build
	@bin/fescuelatch-load demo --fleet $(FLEET)

up: build
	@bin/fescuelatch-load up --fleet $(FLEET)
