#!/bin/bash
# An entry accepts a key again that was taken away more than RevokeMs before.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../lib-2/run-case.sh" stale-key "$folder"
