#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. It needs Go and nothing else: they use the standard library only.
set -eu
cd "$(dirname "$0")/standins-2"
mkdir -p bin
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local CGO_ENABLED=0 go build -o bin/judge ./judge
