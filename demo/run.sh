#!/usr/bin/env bash
# Runs Drumlin's deployment on loopback: the platform stand-in, six nodes in
# three regions, twelve engines and three servers of the plain service. Sends
# a mixed load, sets a hot VM to leaving in the register during the load, and
# checks the results: requests ran, none ran twice, and none started on that VM
# more than 3 s later. Exits 0 only if all checks pass.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=.bin
work=$(mktemp -d)
# Replaces the example's network with one that only the demo uses.
network=127.77
platform=$network.0.2:9000
for file in settings register rules; do
  sed "s/127\.0\./$network./g" "examples/drumlin/$file.toml" >"$work/$file.toml"
done
hot=herd-02
seconds=20
declare -A pids=()

cleanup() {
  for name in "${!pids[@]}"; do
    kill "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
trap cleanup EXIT

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

node_settings() { # NAME ZONE REGION IP
  sed -e "s/^name = .*/name = \"$1\"/" \
    -e "s/^availability_zone = .*/availability_zone = \"$2\"/" \
    -e "s/^region = .*/region = \"$3\"/" \
    -e "s/$network\.1\.101/$4/g" "$work/settings.toml"
}

fail() {
  echo "demo: $1; logs are in $work" >&2
  exit 1
}

start platform "$bin/standin" platform --listen "$platform"

urls=() peers=() nodes=()
region=0
for zone in munster leinster connacht; do
  region=$((region + 1))
  for i in 1 2; do
    ip=$network.$region.10$i name=node-$zone-$i
    node_settings "$name" "$zone-1" "$zone" "$ip" >"$work/$name.toml"
    start "$name" "$bin/primrosemoor" run --settings "$work/$name.toml"
    nodes+=("$name") urls+=("http://$ip:8080") peers+=("$ip:7000")
  done
done

# The targets to start and their addresses come from the register.
while read -r vm service address; do
  record="$work/record-$vm.jsonl"
  if [ "$service" = herd-llm ]; then
    start "$vm" "$bin/standin" engine --name "$vm" --listen "$address" --record "$record" \
      --models trail-chat,trail-guide
  else
    start "$vm" "$bin/standin" service --name "$vm" --listen "$address" --record "$record"
  fi
done < <(awk -F'"' '/^name/ {vm=$2} /^service/ {s=$2} /^address/ {print vm, s, $2}' "$work/register.toml")

for _ in $(seq 50); do
  "$bin/primrosectl" apply --platform "http://$platform" "$work/register.toml" "$work/rules.toml" \
    >"$work/apply.log" 2>&1 && break
  sleep 0.1
done
for url in "${urls[@]}"; do
  for _ in $(seq 100); do
    curl -fs -o /dev/null -m 1 "$url/readyz" && break
    sleep 0.1
  done
  curl -fs -o /dev/null -m 1 "$url/readyz" || fail "$url is not ready"
done
echo "demo: ${#nodes[@]} nodes and 15 targets run; sending Drumlin's mix for $seconds s"

joined=$(IFS=,; echo "${urls[*]}")
"$bin/primrosectl" load --url "$joined" --mix drumlin --rate 40 --duration "${seconds}s" \
  --length-scale 0.3 --quiet >"$work/load.txt" &
load=$!
sleep $((seconds / 3))
"$bin/primrosectl" register set-leaving --platform "http://$platform" "$hot" >"$work/pull.log"
pulled=$(date +%s%N)
echo "demo: $hot is too hot and was taken out of the register"
sleep $((seconds / 3))
wait "$load" || fail "the load generator failed"

starts=$(cat "$work"/record-*.jsonl | grep -c '"kind":"start"')
doubled=$(cat "$work"/record-*.jsonl | grep '"kind":"start"' | grep -o '"request_id":"[^"]*"' | sort | uniq -d | wc -l)
late=$(grep '"kind":"start"' "$work/record-$hot.jsonl" | grep -o '"start":[0-9]*' | cut -d: -f2 |
  awk -v limit=$((pulled + 3000000000)) '$1 > limit' | wc -l)

echo
"$bin/primrosectl" status --cluster drumlin --peer "$(IFS=,; echo "${peers[*]}")" | sed -n 1,22p
echo
cat "$work/load.txt"
echo
echo "runs started at targets: $starts"
echo "requests run twice: $doubled"
echo "runs started at $hot more than 3 s after it was taken out: $late"
curl -fs -m 2 "${urls[0]}/metrics" | grep -E '^primrosemoor_.*(goodput|wasted)' || true
[ "$starts" -gt 0 ] || fail "nothing ran"
[ "$doubled" = 0 ] || fail "a request ran twice"
[ "$late" = 0 ] || fail "$hot got new work"
cleanup
pids=()
rm -rf "$work"
echo "demo: all outcomes hold"
