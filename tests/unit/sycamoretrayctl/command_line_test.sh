#!/usr/bin/env bash
# Guards against command line errors with a wrong exit code, or with a message that lacks the file, the value or the remedy.
set -u
program=$1
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
failures=0

# expect EXIT_CODE TEXT ARGUMENT...: runs the program; it must exit with the code and print the text.
expect() {
  local code=$1 text=$2
  shift 2
  local output actual
  output=$("$program" "$@" 2>&1)
  actual=$?
  if [ "$actual" -ne "$code" ] || ! grep -qF -- "$text" <<<"$output"; then
    echo "FAILED: $* ended with $actual (expected $code): $output (expected: $text)"
    failures=$((failures + 1))
  fi
}

cat > "$directory/template.json" <<'JSON'
{"template": "drums", "parameters": {"endpoints": {"type": "array"}},
 "services": [{"name": "tracking", "path_prefix": "/drums", "key": {"path_segment": 1}, "endpoints": {"parameter": "endpoints"}}]}
JSON
cat > "$directory/team.json" <<'JSON'
{"team": "vratnik", "template": "drums",
 "values": {"endpoints": [{"name": "d1", "address": "127.0.0.1:7101", "availability_zone": "ke-1"}]}}
JSON
sed 's/worker_slots/x/; s/"name": "d1"/"nam": "d1"/' "$directory/team.json" > "$directory/mistyped.json"
echo '{' > "$directory/broken.json"

# Port 1 on loopback refuses connections.
unreachable=--admin=127.0.0.1:1
expect 0 'vratnik.tracking at /drums, 1 endpoints' check "$directory/team.json" "$directory/template.json"
expect 1 '/services/0/endpoints/0/name: value missing' check "$directory/template.json" "$directory/mistyped.json"
expect 1 "$directory/broken.json: document: value not JSON" check "$directory/broken.json"
expect 1 "$directory/none.json: value unreadable" check "$directory/none.json"
expect 2 'unknown command or option' status --jsn
expect 2 'unknown command or option' frobnicate
expect 2 'name exactly one instance' stop --admin=127.0.0.1:1,127.0.0.1:2
expect 1 'write an IP number and a port' status --admin=localhost:80
expect 1 'write a whole number' publish "$directory/template.json" --base-version=-1 $unreachable
expect 4 'peer_unreachable' status $unreachable
expect 4 'peer_unreachable' publish "$directory/template.json" $unreachable
expect 0 'sycamoretrayctl 0.1.0' version
expect 0 'Usage:' --help
[ "$failures" -eq 0 ]
