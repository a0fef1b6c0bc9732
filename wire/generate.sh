#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC code from src/main/proto. The build doesn't run it.
set -euo pipefail
cd "$(dirname "$0")"
case $(uname -m) in
  x86_64) platform=linux-x86_64 ;;
  aarch64 | arm64) platform=linux-aarch_64 ;;
  *)
    echo "generate.sh: no protoc is published for this kind of machine: $(uname -m)" >&2
    exit 1
    ;;
esac
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
mvn -q -B dependency:copy -Dartifact="com.google.protobuf:protoc:4.33.2:exe:$platform" \
  -DoutputDirectory="$tools" -Dmdep.stripVersion=true
mvn -q -B dependency:copy -Dartifact="io.grpc:protoc-gen-grpc-java:1.83.0:exe:$platform" \
  -DoutputDirectory="$tools" -Dmdep.stripVersion=true
chmod +x "$tools"/*.exe
rm -rf src/generated/java
mkdir -p src/generated/java
"$tools/protoc-$platform.exe" --plugin=protoc-gen-grpc-java="$tools/protoc-gen-grpc-java-$platform.exe" \
  --java_out=src/generated/java --grpc-java_out=src/generated/java -I src/main/proto src/main/proto/peer.proto
