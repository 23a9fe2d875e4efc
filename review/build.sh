#!/bin/sh
# Builds the stand-ins of the review into target/review/. It needs nothing but the Go toolchain.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/standin .
