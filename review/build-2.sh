#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6, which are a module of their own. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -C review/scenario -o ../../target/review-2/scenario .
