/*
 * Claim of a caller's idempotency key for a request that is not logged otherwise
 * (section 8 of the design page; identity.go and records.go of internal/core).
 *
 * Callers send the same key to two entry processes again and again. Either may
 * pause or die at any point; process 0 may come back as a new incarnation that
 * remembers nothing and reads the log from its start. Appends are repeated until
 * they are read back, so a copy may reach the log late.
 *
 * Bounds, chosen to keep the search small: two processes, one restart, MAX_LOG
 * claims in the log. Claims do not expire: retries come within the retention.
 *
 * Mutants (-D), each of which must be rejected: RUN_ON_ANSWER, LAST_WINS,
 * CLAIM_BY_NAME.
 */

#ifndef MAX_LOG
#define MAX_LOG 6
#endif

/* A job id carries the process and its incarnation: 1 and 2 are the incarnations
 * of process 0, and 3 is process 1. A claim in the log is the id of its job. */
#define MAX_INCARNATION 2
byte incarnation = 1;
#define ID(p) ((p) == 0 -> incarnation : 3)

byte logLen;
byte log[MAX_LOG];
byte late[2];      /* a copy of an earlier claim, still in the network */

byte pending[2];   /* the claim that is repeated until it is read back */
bool written[2];
byte next[2];      /* offset to read next */
byte winner[2];    /* the job that has the key, as read; 0 for none */

/* The process's own job under the key. */
#define NO_JOB  0
#define CLAIMING 1
#define OPEN     2
#define RUN      3  /* was started, or its end is unknown */
#define NOT_RUN  4  /* proved not to have run: a retry may open it again */
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
	/* submitKeyed: nobody is known to have the key. */
	:: atomic { winner[p] == 0 && job[p] == NO_JOB && pending[p] == 0 ->
		job[p] = CLAIMING; pending[p] = ID(p) }

	/* submitKeyed: a retry of a job that is proved not to have run (mayRestart). */
	:: atomic { winner[p] > 0 && IS_MINE(winner[p]) && job[p] == NOT_RUN -> job[p] = OPEN }
#ifdef CLAIM_BY_NAME
	:: atomic { winner[p] > 0 && IS_MINE(winner[p]) && job[p] == NO_JOB -> job[p] = OPEN }
#endif

	/* readClaim: the first claim by offset wins. Only the writer's own claim
	 * opens its job; a process that lost turns its callers to the winner. */
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

	/* The job runs, or is proved not to have run. */
	:: atomic { job[p] == OPEN -> job[p] = RUN; starts++; assert(starts <= 1) }
	:: atomic { job[p] == OPEN -> job[p] = NOT_RUN }

	/* The driver's append, and a late copy. */
	:: atomic { pending[p] > 0 && logLen < MAX_LOG ->
		log[logLen] = pending[p]; logLen++; written[p] = true }
	:: atomic { late[p] > 0 && logLen < MAX_LOG ->
		log[logLen] = late[p]; logLen++; late[p] = 0 }

	/* The process dies and a new incarnation starts. An append that was not
	 * read back may still reach the log. */
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
