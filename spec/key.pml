/*
 * Claim of a caller's idempotency key for a request that has no other log record
 * (design page, section 8; identity.go and records.go in internal/core).
 *
 * Callers repeatedly send the same key to two entry processes. Either process may
 * pause or fail at any point; process 0 may restart as a new incarnation with empty
 * state, which reads the log from its start. An append is repeated until it is read
 * back, so a duplicate may reach the log late.
 *
 * Bounds, which keep the search small: two processes, one restart, MAX_LOG claims in
 * the log. Claims do not expire, because all retries come within the retention.
 *
 * Mutants (-D macros), each of which the checker must reject: RUN_ON_ANSWER, LAST_WINS,
 * CLAIM_BY_NAME.
 */

#ifndef MAX_LOG
#define MAX_LOG 6
#endif

/* A job ID contains the process and its incarnation: 1 and 2 are the incarnations
 * of process 0, and 3 is process 1. A claim in the log is represented by its job ID. */
#define MAX_INCARNATION 2
byte incarnation = 1;
#define ID(p) ((p) == 0 -> incarnation : 3)

byte logLen;
byte log[MAX_LOG];
byte late[2];      /* duplicate of an earlier claim, in transit */

byte pending[2];   /* claim that is appended until it is read back */
bool written[2];
byte next[2];      /* next offset to read */
byte winner[2];    /* job that has the key, by the records read; 0: none */

/* State of the process's own job under the key. */
#define NO_JOB  0
#define CLAIMING 1
#define OPEN     2
#define RUN      3  /* was started; it may have ended */
#define NOT_RUN  4  /* proved not to have run: a retry may reopen it */
byte job[2];
byte starts;

#ifdef LAST_WINS
#define TAKES true
#else
#define TAKES (winner[p] == 0)
#endif
#ifdef CLAIM_BY_NAME
#define IS_MINE(j) (((j) == 3) == (p == 1))
#else
#define IS_MINE(j) ((j) == ID(p))
#endif

proctype entry(byte p) {
end:	do
	/* submitKeyed: no claim of the key has been read. */
	:: atomic { winner[p] == 0 && job[p] == NO_JOB && pending[p] == 0 ->
		job[p] = CLAIMING; pending[p] = ID(p) }

	/* submitKeyed: retry of a job that is proved not to have run (mayRestart). */
	:: atomic { winner[p] > 0 && IS_MINE(winner[p]) && job[p] == NOT_RUN -> job[p] = OPEN }
#ifdef CLAIM_BY_NAME
	:: atomic { winner[p] > 0 && IS_MINE(winner[p]) && job[p] == NO_JOB -> job[p] = OPEN }
#endif

	/* applyClaim: the claim with the lowest offset wins. Only the writer's own claim
	 * opens its job; the other process redirects its callers to the winner. */
	:: atomic { next[p] < logLen ->
		if
		:: TAKES -> winner[p] = log[next[p]]
		:: else
		fi;
		if
		:: log[next[p]] == pending[p] && pending[p] > 0 ->
			if
			:: late[p] == 0 -> late[p] = pending[p]
			:: else
			fi;
			pending[p] = 0; written[p] = false
		:: else
		fi;
		if
		:: job[p] == CLAIMING && log[next[p]] == ID(p) ->
			if
			:: winner[p] == ID(p) -> job[p] = OPEN
			:: else -> job[p] = NO_JOB
			fi
		:: else
		fi;
		next[p]++ }
#ifdef RUN_ON_ANSWER
	:: atomic { job[p] == CLAIMING && written[p] -> job[p] = OPEN }
#endif

	/* The job is started, or is proved not to have run. */
	:: atomic { job[p] == OPEN -> job[p] = RUN; starts++; assert(starts <= 1) }
	:: atomic { job[p] == OPEN -> job[p] = NOT_RUN }

	/* The driver's append, and a late duplicate. */
	:: atomic { pending[p] > 0 && logLen < MAX_LOG ->
		log[logLen] = pending[p]; logLen++; written[p] = true }
	:: atomic { late[p] > 0 && logLen < MAX_LOG ->
		log[logLen] = late[p]; logLen++; late[p] = 0 }

	/* The process fails and a new incarnation starts. An append that was not read
	 * back may still reach the log. */
	:: atomic { p == 0 && incarnation < MAX_INCARNATION ->
		if
		:: pending[p] > 0 -> late[p] = pending[p]
		:: else
		fi;
		incarnation++;
		pending[p] = 0; written[p] = false; next[p] = 0; winner[p] = 0; job[p] = NO_JOB }
	od
}

init {
	atomic { run entry(0); run entry(1) }
}
