#!/usr/bin/env bash
# Demonstrates fulmarlatch on loopback: stand-ins for the platform and three entry
# processes, on ports that the kernel assigns. Every step checks its result, and the
# script exits with 1 at the first unexpected one. Needs the programs in bin/ (make
# build), bash, curl and coreutils.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=${FULMARLATCH_BIN:-$root/bin}
dir=$(mktemp -d)
token=demo-token
workspace=desk
began=$SECONDS

declare -A pid=()      # process ids by name
declare -A caller=()   # addresses of the listeners for callers, by entry process
declare -A operator=() # addresses of the listeners for operators, by entry process

# cleanup kills only processes that this script started and has not waited for.
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

print_step() { printf '\n== %2d s  %s\n' "$((SECONDS - began))" "$*"; }

fail() {
	echo "demo: unexpected result: $*" >&2
	exit 1
}

# within SECONDS COMMAND... repeats the command until it succeeds, or fails the demo
# after the time.
within() {
	local limit=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		((SECONDS < limit)) || fail "no success in time: $*"
		sleep 0.1
	done
}

# start NAME PROGRAM ARGUMENTS... runs a program in the background and waits until it
# has printed its addresses.
start() {
	local name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.err" &
	pid[$name]=$!
	within 10 test -s "$dir/$name.out"
}

# stop NAME SIGNAL sends the signal, waits for the process and sets code to its exit
# code.
stop() {
	kill "-$2" "${pid[$1]}"
	code=0
	{ wait "${pid[$1]}" || code=$?; } 2>/dev/null # hides bash's message about a killed process
	unset "pid[$1]"
}

# field FILE NAME prints a string field of a flat, one-line JSON object.
field() { sed -n 's/.*"'"$2"'":"\([^"]*\)".*/\1/p' "$1"; }

# call ENTRY ARGUMENTS... runs fulmarlatch-call against an entry process and sets answer
# to its JSON output and code to its exit code.
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

# job prints the job id of the last answer.
job() { printf '%s' "$answer" | sed -n 's/^{"job_id":"\([^"]*\)".*/\1/p'; }

print_answer() { printf '   %s\n' "${answer:0:160}"; }

admin() { curl --silent --show-error --fail --max-time 10 "http://$admin_address/admin/$1" "${@:2}"; }

ctl() { "$bin/fulmarlatchctl" "$@"; }

signed() { ctl bundle "$@" --key "$dir/operator.key" --signer operator --settings "$dir/entry-1.json"; }

# in_force ROLL VERSION ENTRY... succeeds if all the entry processes are ready with the
# roll and the bundle version.
in_force() {
	local roll=$1 version=$2 entry
	shift 2
	for entry in "$@"; do
		ctl status "${operator[$entry]}" | grep -q " ready=true roll=$roll version=$version " || return 1
	done
}

# status_contains ENTRY JOB TEXT succeeds if the status of the job at the entry process
# contains the text.
status_contains() {
	call "$1" status "$2"
	case $answer in *"$3"*) return 0 ;; esac
	return 1
}

# count_starts JOB prints the number of task starts of the job at all workers.
count_starts() { admin history | { grep -o "\"attempt\":{\"job\":\"$1\"" || true; } | wc -l; }

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

start_deployment() {
	print_step "start the stand-ins (12 workers in 3 failure domains) and 3 entry processes"
	start_platform
	public_key=$(ctl keygen --out "$dir/operator.key")
	start_entry entry-1 zone-a
	start_entry entry-2 zone-b
	start_entry entry-3 zone-c
}

roll_first() {
	print_step "roll out a signed bundle"
	write_bundle 1 first 0.8
	signed roll "$dir/bundle-1.json"
	within 10 in_force 1 1 entry-1 entry-2 entry-3
}

send_requests() {
	print_step "submit an urgent non-idempotent hold under an id minted by entry-1, then retry it through entry-2"
	call entry-1 submit --mint --class hold --cpu-milli 250 --memory-mb 128 --payload '{"work_ms": 50, "echo": "hold"}'
	print_answer
	expect '"outcome":"completed"'
	local id
	id=$(job)
	call entry-2 submit --id "$id" --class hold --cpu-milli 250 --memory-mb 128 --payload '{"work_ms": 50, "echo": "hold"}'
	expect '"outcome":"completed"'
	[[ $(count_starts "$id") == 1 ]] || fail "the hold ran $(count_starts "$id") times"

	print_step "submit a package with a 3 MB answer through entry-2"
	call entry-2 submit --class package --idempotent --cpu-milli 2000 --memory-mb 2048 --payload '{"work_ms": 300, "answer_bytes": 3000000, "echo": "package"}'
	expect '"outcome":"completed"'
	expect '"echo":"package"'
	((${#answer} > 3000000)) || fail "the answer has ${#answer} bytes"
	echo "   received the complete answer of ${#answer} bytes"
}

send_logged() {
	print_step "submit a batch and a service through entry-3, and a gang through entry-1"
	call entry-3 submit --kind batch --class package --idempotent --tasks 16 --cpu-milli 1000 --memory-mb 1024 --payload '{"work_ms": 9000}'
	print_answer
	expect '"outcome":"accepted"'
	batch=$(job)
	call entry-3 submit --kind service --class service --idempotent --tasks 3 --cpu-milli 500 --memory-mb 512
	print_answer
	expect '"outcome":"accepted"'
	service=$(job)
	call entry-1 submit --kind gang --class package --idempotent --tasks 6 --cpu-milli 4000 --memory-mb 4096 --payload '{"work_ms": 500}'
	print_answer
	expect '"outcome":"accepted"'
	gang=$(job)
	call entry-2 wait "$gang" --for 20s
	print_answer
	expect '"outcome":"completed"'
	expect '"completed":6'
	within 10 status_contains entry-1 "$batch" '"running":16'
	within 10 status_contains entry-1 "$service" '"running":3'
}

roll_second() {
	print_step "roll out version 2"
	write_bundle 2 second 0.6
	signed roll "$dir/bundle-2.json"
	within 10 in_force 2 2 entry-1 entry-2 entry-3
}

kill_entry() {
	print_step "kill -9 entry-3, which coordinates the batch and the service"
	stop entry-3 KILL
	unset "caller[entry-3]" "operator[entry-3]"
	local entry
	for entry in entry-1 entry-2; do
		call "$entry" submit --mint --class hold --cpu-milli 250 --memory-mb 128 --payload '{"work_ms": 50, "echo": "after"}'
		print_answer
		expect '"outcome":"completed"'
	done
	call entry-1 wait "$batch" --for 40s
	print_answer
	expect '"outcome":"completed"'
	expect '"completed":16'
	within 10 status_contains entry-2 "$service" '"running":3'
	print_answer
	echo "   task starts: batch $(count_starts "$batch"), service $(count_starts "$service")"
	[[ $(count_starts "$service") == 3 ]] || fail "tasks of the service were started again"
}

roll_back() {
	print_step "roll back to version 1"
	signed rollback --to 1
	within 10 in_force 3 1 entry-1 entry-2
	ctl status "${operator[entry-1]}" "${operator[entry-2]}" | sed 's/^/   /'
}

cancel_service() {
	print_step "cancel the service"
	call entry-1 cancel "$service"
	print_answer
	expect '"kind":"cancelled"'
}

stop_deployment() {
	print_step "stop gracefully, with a request in progress at entry-1"
	local request
	(
		call entry-1 submit --mint --class hold --cpu-milli 250 --memory-mb 128 --payload '{"work_ms": 2500, "echo": "last"}'
		expect '"outcome":"completed"'
	) &
	request=$!
	pid[request]=$request
	within 5 hold_is_running
	stop entry-1 TERM
	((code == 0)) || fail "entry-1 exited with $code"
	code=0
	wait "$request" || code=$?
	unset "pid[request]"
	((code == 0)) || fail "the request in progress was interrupted"
	stop entry-2 TERM
	((code == 0)) || fail "entry-2 exited with $code"
	echo "   the request completed, and both processes exited with 0"
}

# hold_is_running succeeds if a task of class hold is running at a worker.
hold_is_running() { admin history | grep -q '"class":"hold"[^}]*},"used":{[^}]*},"started_ms":[0-9]*}'; }

check_workers() {
	print_step "check the workers for violations"
	local violations
	violations=$(admin violations)
	echo "   $violations"
	[[ $violations == "[]" ]] || fail "violations: $violations"
}

start_deployment
roll_first
send_requests
send_logged
roll_second
kill_entry
roll_back
cancel_service
stop_deployment
check_workers
stop platform TERM
((code == 0)) || fail "the stand-ins exited with $code"
print_step "done, all results were as expected"
