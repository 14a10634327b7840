#!/usr/bin/env bash
# Regenerates the Go code of peer.proto. Needs protoc; the plugins are Go tools
# pinned in go.mod.
set -euo pipefail
cd "$(dirname "$0")"
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$plugins/protoc-gen-go-drpc" storj.io/drpc/cmd/protoc-gen-go-drpc
PATH="$plugins:$PATH" protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. peer.proto
