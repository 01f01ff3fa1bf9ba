#!/bin/bash
# An entry accepts a key again that was taken away more than RevokeMs before.
# TROUBLE=0 runs it without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../lib-2/run-case.sh" stale-key "$folder"
