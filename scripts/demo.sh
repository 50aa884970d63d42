#!/usr/bin/env bash
# Demonstration of a whole cell on loopback: stand-ins for the platform and three
# entry processes on ports that the kernel chooses. Every step checks its outcome;
# the script exits with 1 at the first wrong one. Needs the programs in bin/ (make
# build), bash, curl and coreutils.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=${FULMARLATCH_BIN:-$root/bin}
dir=$(mktemp -d)
token=demo-token
workspace=desk
began=$SECONDS

declare -A pid=()      # running processes by name
declare -A caller=()   # addresses by entry process
declare -A operator=()

# The trap ends only processes that this script started and has not waited for.
cleanup() {
	local code=$? name
	for name in "${!pid[@]}"; do
		kill -KILL "${pid[$name]}" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	if ((code != 0)); then
		echo "demo: failed after $((SECONDS - began)) s; last log lines:" >&2
		tail -n 8 "$dir"/*.err >&2 || true
	fi
	rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

step() { printf '\n== %2d s  %s\n' "$((SECONDS - began))" "$*"; }

fail() {
	echo "demo: wrong outcome: $*" >&2
	exit 1
}

# within SECONDS COMMAND... repeats the command until it succeeds.
within() {
	local limit=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		((SECONDS < limit)) || fail "not in time: $*"
		sleep 0.1
	done
}

# start NAME PROGRAM ARGUMENTS... runs a program in the background and waits for
# the line with its addresses.
start() {
	local name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.err" &
	pid[$name]=$!
	within 10 test -s "$dir/$name.out"
}

# stop NAME SIGNAL sets code to the exit code of the process.
stop() {
	kill "-$2" "${pid[$1]}"
	code=0
	{ wait "${pid[$1]}" || code=$?; } 2>/dev/null # bash reports a killed process
	unset "pid[$1]"
}

# field FILE NAME prints a string field of a flat JSON object.
field() { sed -n 's/.*"'"$2"'":"\([^"]*\)".*/\1/p' "$1"; }

# call ENTRY ARGUMENTS... calls an entry process; answer is its JSON and code the
# exit code.
call() {
	local entry=$1
	shift
	code=0
	answer=$("$bin/fulmarlatch-call" --server "http://${caller[$entry]}" --workspace "$workspace" --token "$token" --output json "$@") || code=$?
}

# expect TEXT fails unless the last answer contains the text.
expect() {
	case $answer in
	*"$1"*) ;;
	*) fail "expected $1 in: ${answer:0:400}" ;;
	esac
}

# job prints the id of the job of the last answer.
job() { printf '%s' "$answer" | sed -n 's/^{"job_id":"\([^"]*\)".*/\1/p'; }

show() { printf '   %s\n' "${answer:0:160}"; }

admin() { curl --silent --show-error --fail --max-time 10 "http://$admin_address/admin/$1" "${@:2}"; }

ctl() { "$bin/fulmarlatchctl" "$@"; }

signed() { ctl bundle "$@" --key "$dir/operator.key" --signer operator --settings "$dir/entry-1.json"; }

# in_force ROLL VERSION ENTRY... succeeds if all are ready with the roll.
in_force() {
	local roll=$1 version=$2 entry
	shift 2
	for entry in "$@"; do
		ctl status "${operator[$entry]}" | grep -q " ready=true roll=$roll version=$version " || return 1
	done
}

# has ENTRY JOB TEXT succeeds if the state of the job contains the text.
has() {
	call "$1" status "$2"
	case $answer in *"$3"*) return 0 ;; esac
	return 1
}

# runs JOB prints how often the workers have started tasks of the job.
runs() { admin history | { grep -o "\"attempt\":{\"job\":\"$1\"" || true; } | wc -l; }

write_bundle() {
	cat >"$dir/bundle-$1.json" <<-JSON
		{"version": $1, "comment": "$2",
		 "classes": [
		  {"name": "hold", "rank": 0, "floor": 0.2, "ceiling": 0.7, "queue_bound": 1000, "deadline_ms": 4300, "retry_budget": 0.1, "max_attempts": 2, "preemptible": false, "kinds": ["request"]},
		  {"name": "service", "rank": 1, "floor": 0.1, "ceiling": 0.5, "queue_bound": 100, "deadline_ms": 0, "retry_budget": 0.1, "max_attempts": 100, "preemptible": false, "kinds": ["service"]},
		  {"name": "package", "rank": 2, "floor": 0.2, "ceiling": $3, "queue_bound": 1000, "deadline_ms": 60000, "retry_budget": 0.1, "max_attempts": 3, "preemptible": true, "kinds": ["request", "batch", "gang"]}],
		 "workspaces": [{"name": "$workspace", "weight": 1, "quota": {}, "token_hash": "$(printf %s "$token" | sha256sum | cut -d' ' -f1)"}],
		 "fleet": {"packing_weight": 0.5}, "timing": {}}
	JSON
}

write_settings() {
	cat >"$dir/$1.json" <<-JSON
		{"entry": "$1", "domain": "$2", "region": "demo",
		 "caller": {"listen": "127.0.0.1:0"}, "peer": {"listen": "127.0.0.1:0"}, "operator": {"listen": "127.0.0.1:0"},
		 "vm_list": "$(field "$dir/platform.out" vms)", "log": "$(field "$dir/platform.out" log)",
		 "operators": {"operator": "$public_key"}, "shutdown_grace_ms": 15000}
	JSON
}

start_entry() {
	local name=$1 domain=$2 peer
	write_settings "$name" "$domain"
	start "$name" "$bin/fulmarlatchd" --config "$dir/$name.json"
	caller[$name]=$(field "$dir/$name.out" caller)
	operator[$name]=$(field "$dir/$name.out" operator)
	peer=$(field "$dir/$name.out" peer)
	admin vms --output /dev/null --header 'Content-Type: application/json' --data \
		"[{\"name\": \"$name\", \"role\": \"entry\", \"address\": \"$peer\", \"domain\": \"$domain\", \"region\": \"demo\", \"capacity\": {}}]"
	echo "   $name callers=${caller[$name]} peers=$peer operators=${operator[$name]}"
}

start_platform() {
	cat >"$dir/platform.json" <<-JSON
		{"admin": "127.0.0.1:0", "log": {"address": "127.0.0.1:0"}, "vms": {"address": "127.0.0.1:0", "lag_ms": 200},
		 "workers": [{"prefix": "worker", "count": 12, "host": "127.0.0.1", "first_port": 0, "region": "demo",
		  "domains": ["zone-a", "zone-b", "zone-c"], "per_rack": 2,
		  "capacity": {"cpu_milli": 16000, "memory_mb": 32768, "slots": 8, "connections": 60}}]}
	JSON
	start platform "$bin/fulmarlatch-standin" --config "$dir/platform.json"
	admin_address=$(field "$dir/platform.out" admin)
}

start_cell() {
	step "start the stand-ins (12 workers in 3 failure domains) and 3 entry processes"
	start_platform
	public_key=$(ctl keygen --out "$dir/operator.key")
	start_entry entry-1 zone-a
	start_entry entry-2 zone-b
	start_entry entry-3 zone-c
}

roll_first() {
	step "roll a signed bundle"
	write_bundle 1 first 0.8
	signed roll "$dir/bundle-1.json"
	within 10 in_force 1 1 entry-1 entry-2 entry-3
}

send_requests() {
	step "an urgent hold (non-idempotent) under an id of entry-1, then a retry of it through entry-2"
	call entry-1 submit --mint --class hold --cpu-milli 250 --memory-mb 128 --payload '{"work_ms": 50, "echo": "hold"}'
	show
	expect '"outcome":"completed"'
	local id
	id=$(job)
	call entry-2 submit --id "$id" --class hold --cpu-milli 250 --memory-mb 128 --payload '{"work_ms": 50, "echo": "hold"}'
	expect '"outcome":"completed"'
	[[ $(runs "$id") == 1 ]] || fail "the hold ran $(runs "$id") times"

	step "a bulky package of 3 MB through entry-2"
	call entry-2 submit --class package --idempotent --cpu-milli 2000 --memory-mb 2048 --payload '{"work_ms": 300, "answer_bytes": 3000000, "echo": "package"}'
	expect '"outcome":"completed"'
	expect '"echo":"package"'
	((${#answer} > 3000000)) || fail "the answer has ${#answer} bytes"
	echo "   the whole answer of ${#answer} bytes arrived"
}

send_logged() {
	step "a batch and a service through entry-3, a gang through entry-1"
	call entry-3 submit --kind batch --class package --idempotent --tasks 16 --cpu-milli 1000 --memory-mb 1024 --payload '{"work_ms": 9000}'
	show
	expect '"outcome":"accepted"'
	batch=$(job)
	call entry-3 submit --kind service --class service --idempotent --tasks 3 --cpu-milli 500 --memory-mb 512
	show
	expect '"outcome":"accepted"'
	service=$(job)
	call entry-1 submit --kind gang --class package --idempotent --tasks 6 --cpu-milli 4000 --memory-mb 4096 --payload '{"work_ms": 500}'
	show
	expect '"outcome":"accepted"'
	gang=$(job)
	call entry-2 wait "$gang" --for 20s
	show
	expect '"outcome":"completed"'
	expect '"completed":6'
	within 10 has entry-1 "$batch" '"running":16'
	within 10 has entry-1 "$service" '"running":3'
}

roll_second() {
	step "roll version 2"
	write_bundle 2 second 0.6
	signed roll "$dir/bundle-2.json"
	within 10 in_force 2 2 entry-1 entry-2 entry-3
}

kill_entry() {
	step "kill -9 entry-3, which coordinates the batch and the service"
	stop entry-3 KILL
	unset "caller[entry-3]" "operator[entry-3]"
	local entry
	for entry in entry-1 entry-2; do
		call "$entry" submit --mint --class hold --cpu-milli 250 --memory-mb 128 --payload '{"work_ms": 50, "echo": "after"}'
		show
		expect '"outcome":"completed"'
	done
	call entry-1 wait "$batch" --for 40s
	show
	expect '"outcome":"completed"'
	expect '"completed":16'
	within 10 has entry-2 "$service" '"running":3'
	show
	echo "   starts at workers: batch $(runs "$batch"), service $(runs "$service")"
	[[ $(runs "$service") == 3 ]] || fail "the service was started again"
}

roll_back() {
	step "roll back to version 1"
	signed rollback --to 1
	within 10 in_force 3 1 entry-1 entry-2
	ctl status "${operator[entry-1]}" "${operator[entry-2]}" | sed 's/^/   /'
}

cancel_service() {
	step "cancel the service"
	call entry-1 cancel "$service"
	show
	expect '"kind":"cancelled"'
}

stop_cell() {
	step "stop gracefully, with a request in progress at entry-1"
	local request
	(
		call entry-1 submit --mint --class hold --cpu-milli 250 --memory-mb 128 --payload '{"work_ms": 2500, "echo": "last"}'
		expect '"outcome":"completed"'
	) &
	request=$!
	pid[request]=$request
	within 5 test_running
	stop entry-1 TERM
	((code == 0)) || fail "entry-1 exits with $code"
	code=0
	wait "$request" || code=$?
	unset "pid[request]"
	((code == 0)) || fail "the request in progress was interrupted"
	stop entry-2 TERM
	((code == 0)) || fail "entry-2 exits with $code"
	echo "   the request completed, both processes exit with 0"
}

# test_running succeeds if a hold is running at a worker.
test_running() { admin history | grep -q '"class":"hold"[^}]*},"used":{[^}]*},"started_ms":[0-9]*}'; }

check_workers() {
	step "ask the workers for violations"
	local violations
	violations=$(admin violations)
	echo "   $violations"
	[[ $violations == "[]" ]] || fail "violations: $violations"
}

start_cell
roll_first
send_requests
send_logged
roll_second
kill_entry
roll_back
cancel_service
stop_cell
check_workers
stop platform TERM
((code == 0)) || fail "the stand-ins exit with $code"
step "done, every outcome was right"
