#!/usr/bin/env bash
# Searches the models exhaustively within their bounds and checks that Spin rejects
# each mutant. Prints one line per run, then the totals.
set -uo pipefail

readonly MAX_PROCESSES=4
readonly MAX_MEMORY_MB=900 # per run
readonly MAX_DEPTH=100000
readonly MAX_SECONDS=120 # per run; a run that takes longer has failed

spec=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

for tool in spin gcc; do
	if ! command -v "$tool" >/dev/null; then
		echo "$tool is not installed"
		exit 1
	fi
done

# runs prints one run per line: the expected verdict (pass or fail), the model, the
# macros.
runs() {
	cat <<'RUNS'
pass lease -DCAP=1
pass lease -DCAP=2
pass lease -DHOLDERS=3
pass lease -DMAX_EPOCH=4
fail lease -DNO_EPOCH_CHECK
fail lease -DEPOCH_CHECK_APART
fail lease -DCAP=1 -DCAPACITY_CHECK_APART
fail lease -DLIST_APART
fail lease -DLIST_ANY_EPOCH
fail lease -DBOOT_IGNORED
fail lease -DFORGET_ENDED
fail lease -DCAP=1 -DFORGET_REFUSED
fail lease -DSTALE_IS_REFUSED
fail lease -DRESTART_KEEPS_EPOCH
fail lease -DRESTART_RESETS_EPOCH
pass claim -DMAX_LOG=6 -DMAX_EPOCH=2 -DMAX_BOOT=1 -DMAX_COPIES=0
pass claim -DMAX_LOG=7 -DMAX_EPOCH=2 -DMAX_BOOT=1 -DMAX_COPIES=0 -DNON_IDEMPOTENT
pass claim -DMAX_LOG=5 -DMAX_EPOCH=2 -DMAX_BOOT=1 -DMAX_COPIES=1
pass claim -DMAX_LOG=7 -DMAX_EPOCH=1 -DMAX_BOOT=1 -DMAX_COPIES=1
pass claim -DMAX_LOG=5 -DMAX_EPOCH=3 -DMAX_BOOT=2 -DMAX_COPIES=0
pass claim -DMAX_LOG=5 -DMAX_EPOCH=3 -DMAX_BOOT=2 -DMAX_COPIES=0 -DNON_IDEMPOTENT
pass claim -DMAX_LOG=6 -DMAX_EPOCH=2 -DMAX_BOOT=1 -DMAX_COPIES=0 -DACCEPTOR_GONE
fail claim -DMAX_LOG=6 -DMAX_EPOCH=2 -DMAX_BOOT=1 -DMAX_COPIES=0 -DHARM_ONLY -DCOMMIT_UNRESERVED
fail claim -DMAX_LOG=6 -DMAX_EPOCH=2 -DMAX_BOOT=1 -DMAX_COPIES=0 -DHARM_ONLY -DCOMMIT_FOR_OTHER
fail claim -DMAX_LOG=6 -DMAX_EPOCH=2 -DMAX_BOOT=1 -DMAX_COPIES=0 -DHARM_ONLY -DCOMMIT_EARLY
fail claim -DMAX_LOG=6 -DMAX_EPOCH=2 -DMAX_BOOT=1 -DMAX_COPIES=0 -DHARM_ONLY -DCOMMIT_ON_ANSWER
fail claim -DMAX_LOG=6 -DMAX_EPOCH=2 -DMAX_BOOT=1 -DMAX_COPIES=0 -DHARM_ONLY -DACCEPTOR_GONE -DADOPT_UNCOMPARED
fail claim -DMAX_LOG=6 -DMAX_EPOCH=2 -DMAX_BOOT=1 -DMAX_COPIES=1 -DHARM_ONLY -DCOPIES_COUNT
fail claim -DMAX_LOG=6 -DMAX_EPOCH=2 -DMAX_BOOT=1 -DMAX_COPIES=0 -DHARM_ONLY -DQUERY_KEEPS
fail claim -DMAX_LOG=6 -DMAX_EPOCH=3 -DMAX_BOOT=1 -DMAX_COPIES=0 -DHARM_ONLY -DQUERY_ANY_EPOCH
fail claim -DMAX_LOG=6 -DMAX_EPOCH=2 -DMAX_BOOT=1 -DMAX_COPIES=0 -DHARM_ONLY -DACK_EARLY
fail claim -DMAX_LOG=4 -DMAX_EPOCH=3 -DMAX_BOOT=2 -DMAX_COPIES=0 -DHARM_ONLY -DLOST_IS_NOT_RUN
fail claim -DMAX_LOG=6 -DMAX_EPOCH=2 -DMAX_BOOT=1 -DMAX_COPIES=0 -DHARM_ONLY -DSTART_BY_ANYONE
pass cell
pass cell -DHOLDERS=3 -DRUNS=1
pass cell -DWORKERS=3 -DRUNS=1
fail cell -DNO_TOKEN_CHECK
fail cell -DLIST_APART
fail cell -DSTART_UNLISTED
fail cell -DNO_STOP
fail cell -DSTOP_OPEN
fail cell -DACK_EARLY
pass lives
pass lives -DRESTARTS=3 -DRUNS=2
fail lives -DSAME_TOKEN
fail lives -DLIST_AT_ONCE
fail lives -DFORGET_UNANSWERED
fail lives -DANSWER_OF_KNOWN
fail lives -DLATE_START
fail lives -DLATE_ACK
fail lives -DSTOP_CLOSES
fail lives -DLEASE_FROM_ANSWER
fail lives -DCLEAR_OTHER
fail lives -DDROP_OTHER
fail lives -DNEVER_DONE
pass lanes
pass lanes -DWRITES=5
fail lanes -DOPEN_UNCLAIMED
fail lanes -DFENCE_ONE
fail lanes -DFIRST_LANE_COUNTS
fail lanes -DDROP_NEWEST_FIRST
pass drops
fail drops -DCURRENT_LAST
fail drops -DSWEEP_WRITTEN
pass terms
pass terms -DTERMS=5 -DWRITES=3
fail terms -DSAME_TOKEN
fail terms -DNO_FENCE
pass roster -DCHANGES=4
pass roster -DHOLDERS=3 -DCHANGES=1
fail roster -DPLACE_ON_CLOSED
fail roster -DREOPEN_UNSTORED
fail roster -DFORGET_TASKS
fail roster -DIGNORE_HELD
fail roster -DDROP_LISTING
fail roster -DHOLDERS=3 -DCHANGES=1 -DLISTED_IS_OPEN
fail roster -DHOLDERS=3 -DCHANGES=1 -DDROP_INHERITED
pass tasklease
fail tasklease -DMANY_POLLS
fail tasklease -DLAPSED_POLL
fail tasklease -DONE_LEASE
fail tasklease -DCUT_OFF
pass key
fail key -DRUN_ON_ANSWER
fail key -DLAST_WINS
fail key -DCLAIM_BY_NAME
pass roll -DMAX_LOG=4 -DMAX_ROLLS=3 -DMAX_COPIES=1 -DMAX_ANSWERS=0
pass roll -DMAX_LOG=5 -DMAX_ROLLS=3 -DMAX_COPIES=0 -DMAX_ANSWERS=2
pass roll -DMAX_LOG=5 -DMAX_ROLLS=3 -DMAX_COPIES=0 -DMAX_ANSWERS=0 -DMAX_CHECKPOINTS=2
pass roll -DMAX_LOG=5 -DMAX_ROLLS=4 -DMAX_COPIES=0 -DMAX_ANSWERS=0 -DSIGN_UNSETTLED -DPREFIX_ONLY
fail roll -DMAX_LOG=5 -DMAX_ROLLS=4 -DMAX_COPIES=0 -DMAX_ANSWERS=0 -DSIGN_UNSETTLED -DPREFIX_ONLY -DANY_PREDECESSOR
fail roll -DMAX_LOG=5 -DMAX_ROLLS=4 -DMAX_COPIES=0 -DMAX_ANSWERS=0 -DSIGN_UNSETTLED
fail roll -DMAX_LOG=5 -DMAX_ROLLS=3 -DMAX_COPIES=0 -DMAX_ANSWERS=1 -DLAST_WINS
fail roll -DMAX_LOG=5 -DMAX_ROLLS=3 -DMAX_COPIES=0 -DMAX_ANSWERS=1 -DPEER_LOWER
fail roll -DMAX_LOG=5 -DMAX_ROLLS=3 -DMAX_COPIES=0 -DMAX_ANSWERS=1 -DPEER_IN_LOG
fail roll -DMAX_LOG=5 -DMAX_ROLLS=3 -DMAX_COPIES=0 -DMAX_ANSWERS=1 -DCHECKPOINT_AS_ROLL
fail roll -DMAX_LOG=5 -DMAX_ROLLS=3 -DMAX_COPIES=1 -DMAX_ANSWERS=0 -DCOPY_COUNTS
RUNS
}

# is_complete FILE succeeds if the search covered all states without an error.
is_complete() {
	grep -q 'errors: 0$' "$1" &&
		grep -q 'Full statespace search' "$1" &&
		! grep -qiE 'max search depth too small|out of memory|MEMLIM|not completed|aborting' "$1"
}

# is_rejected FILE succeeds if the search ended with a violated assertion.
is_rejected() {
	grep -q 'errors: 1$' "$1" && grep -q '^pan:1: assertion violated' "$1"
}

# verify NUMBER VERDICT MODEL MACROS... builds and runs one verifier and writes its
# result line to $work/line.NUMBER.
verify() {
	local number=$1 verdict=$2 model=$3
	shift 3
	local dir="$work/$number" result=FAILED expected="errors: 0" optimize=-O1 states
	if [ "$verdict" = fail ]; then
		expected="mutant rejected"
		optimize=-O0 # searches of mutants are short, so compile time dominates
	fi
	mkdir -p "$dir"
	cd "$dir" || return
	if ! spin -a "$@" "$spec/$model.pml" >build.txt 2>&1 ||
		! gcc $optimize -w -DSAFETY -DNOFAIR -DMEMLIM="$MAX_MEMORY_MB" -o pan pan.c >>build.txt 2>&1; then
		cat build.txt
		echo "FAILED $model $*: does not build" >"$work/line.$number"
		return
	fi
	timeout "$MAX_SECONDS" ./pan -m"$MAX_DEPTH" -w22 >out.txt 2>&1
	case $verdict in
	pass) is_complete out.txt && result=passed ;;
	fail) is_rejected out.txt && result=passed ;;
	esac
	states=$(awk '/states, stored/ { print $1 }' out.txt)
	echo "$result $model $* (expected $expected): ${states:-no} states" >"$work/line.$number"
	if [ "$result" = FAILED ]; then
		grep -E 'errors:|error:|pan:' out.txt
	fi
}

number=0
while read -r line; do
	number=$((number + 1))
	while [ "$(jobs -rp | wc -l)" -ge "$MAX_PROCESSES" ]; do
		wait -n
	done
	# shellcheck disable=SC2086 # the macros are separate words
	verify "$number" $line &
done < <(runs)
wait

failed=0
for ((i = 1; i <= number; i++)); do
	line=$(cat "$work/line.$i" 2>/dev/null || echo "FAILED run $i: no result")
	echo "$line"
	case $line in FAILED*) failed=$((failed + 1)) ;; esac
done
echo "$((number - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
