#!/bin/sh
# Builds the stand-ins of the cases into review/bin. They use the standard library only and need no network.
set -eu
cd "$(dirname "$0")/standins"
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/standins .
