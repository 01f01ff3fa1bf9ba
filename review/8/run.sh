#!/bin/bash
# A request that crashes one server at each entry is not told to the others.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../lib-2/run-case.sh" untold "$folder"
