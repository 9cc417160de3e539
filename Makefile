# What people do here every day. Operators build and start by deploy/balancer.toml.
.PHONY: build test lint run

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

lint:
	mvn -q checkstyle:check

# One workload manager on this machine; ROUTER_CONFIG names the JSON file that it is told its place by.
run: build
	$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)
