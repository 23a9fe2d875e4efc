#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/scenario
