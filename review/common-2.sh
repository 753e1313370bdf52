# Shared by the scripts of the cases 6 to 10: a temporary folder, processes that end with the script, and the record.
# A script sets RECORD before it sources this file.
set -u
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
GATEWAY=$ROOT/build/laureltide
STANDIN=$ROOT/build/laureltide-standin
PEER=$ROOT/build/review-2/peer
TROUBLE=${TROUBLE:-1}
T=$(mktemp -d)
declare -A PID=()

say() { echo "$(date +%s%3N) $*" >>"$RECORD"; }
# Ends what still is a child of this script, by its id; an id that was waited for is not used again.
finish() {
  trap '' TERM INT
  local pid left
  for pid in $(jobs -p); do kill -TERM "$pid" 2>/dev/null; done
  for _ in $(seq 30); do
    left=$(jobs -pr)
    [[ -z $left ]] && break
    sleep 0.1
  done
  for pid in $(jobs -pr); do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  [[ -n ${KEEP:-} ]] && echo "kept: $T" || rm -rf "$T"
}
trap finish EXIT
trap 'exit 2' TERM INT
cannot() {
  say "cannot run: $*"
  echo "cannot run: $*" >&2
  exit 2
}
# start NAME COMMAND...: in the background; output in $T/NAME.out and $T/NAME.err.
start() {
  local name=$1
  shift
  "$@" >"$T/$name.out" 2>>"$T/$name.err" &
  PID[$name]=$!
}
# port_of NAME: what a peer or stand-in printed as "listening PORT".
port_of() {
  for _ in $(seq 100); do
    local line
    line=$(grep -m1 '^listening ' "$T/$1.out" 2>/dev/null) && echo "${line#listening }" && return 0
    sleep 0.1
  done
  return 1
}
# wait_for FILE PATTERN [TENTHS]
wait_for() {
  for _ in $(seq "${3:-100}"); do
    grep -q -- "$2" "$1" 2>/dev/null && return 0
    sleep 0.1
  done
  return 1
}
running() { kill -0 "${PID[$1]}" 2>/dev/null; }
# A worker list of one document: list_file "id=port" ...
list_file() {
  local version=$1 entries="" each
  shift
  for each in "$@"; do
    entries+="${entries:+,}{\"id\":${each%%=*},\"at\":\"127.0.0.1:${each##*=}\",\"state\":\"ready\",\"zone\":\"room\",\"kind\":\"plain-3core\",\"cell\":\"rack-1\"}"
  done
  echo "{\"scope\":\"full\",\"epoch\":1,\"version\":$version,\"workers\":[$entries]}" >"$T/workers.new"
  mv "$T/workers.new" "$T/workers.json"
}
[[ -x $GATEWAY && -x $STANDIN && -x $PEER ]] || { echo "build first: the deploy file's build, review/build-2.sh" >&2; exit 2; }
: >"$RECORD"
