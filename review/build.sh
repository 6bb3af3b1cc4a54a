#!/bin/sh
# Builds the driver of the cases, with the stand-ins that it starts. The node itself is built by the
# deploy file's command.
cd "$(dirname "$0")/kit" && cargo build --release --locked --offline
