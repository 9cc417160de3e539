# What people do here every day. Operators build and start by deploy/balancer.toml.
.PHONY: build test lint format run sites

build:
	mvn -q -DskipTests package

test:
	mvn -B -Pstrict verify

lint:
	mvn -q spotless:check checkstyle:check

format:
	mvn -q spotless:apply

# One workload manager on this machine; ROUTER_CONFIG names the JSON file that it is told its place by.
run: build
	$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)

# Lays beside our own deployments what the bench wants there; KIT names the folder of its deployments.
KIT ?= ../given/kit/sites
sites:
	@for f in real.json wire.json unlock.txt; do \
	  test -r $(KIT)/$$f || { echo "Makefile: $(KIT)/$$f is missing; set KIT to the bench's folder of sites" >&2; exit 2; }; \
	  install -m 644 $(KIT)/$$f deploy/sites/$$f || exit 2; done
