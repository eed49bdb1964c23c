#!/bin/sh
# Builds the stand-ins and drivers of the cases into review/bin. The program itself is built by
# the deploy file's own command before.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 1 2 3; do
	test -d "review/$n" || continue
	CGO_ENABLED=1 go build -tags review -o "review/bin/case$n" "./review/$n"
done
