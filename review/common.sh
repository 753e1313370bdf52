# What the scripts of the cases share: processes that end with the script, and ports that the system gives.
# To be sourced; the case's folder is $here, and $trouble
# is 0 if the disruption is left out.
set -uo pipefail
root=$(cd "$here/../.." && pwd)
temp=$(mktemp -d)
pids=()
record=$here/record.txt
: >"$record"

cannot_run() {
  echo "the case could not run: $1" | tee -a "$record" >&2
  exit 2
}
finish() {
  local pid
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$temp"
}
trap finish EXIT
trap 'exit 2' INT TERM

for program in laureltide laureltide-standin review-peers; do
  [[ -x $root/build/$program ]] || cannot_run "build/$program is missing: run the build of the deploy file and review/build.sh"
done

# start NAME COMMAND...: starts it in the background, with its output in $temp/NAME.out and .log; sets $pid.
start() {
  local name=$1
  shift
  (cd "$root" && exec "$@") >"$temp/$name.out" 2>"$temp/$name.log" </dev/null &
  pid=$!
  pids+=("$pid")
}
# wait_for FILE TEXT SECONDS
wait_for() {
  local end=$((SECONDS + $3))
  until grep -q -- "$2" "$1" 2>/dev/null; do
    ((SECONDS < end)) || return 1
    sleep 0.02
  done
}
# listening NAME: waits until the stand-in says its port; sets $port.
listening() {
  wait_for "$temp/$1.out" '^listening ' 10 || cannot_run "$1 does not listen"
  port=$(sed -n 's/^listening //p' "$temp/$1.out")
}
note() { echo "$*" >>"$record"; }
