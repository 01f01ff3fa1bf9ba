#!/bin/bash
# A request that crashes one server at each entry is not told to the others.
# TROUBLE=0 runs it without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../lib-2/run-case.sh" untold "$folder"
