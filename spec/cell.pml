/*
 * Ownership of a cell on the users' platform (internal/cell and internal/entry). Claims
 * yield increasing fencing tokens. Workers refuse lower tokens and list their tasks in
 * the step that raises the token. A start without a response is closed by a stop, and
 * an end is acknowledged after it is stored. Checked: a task never runs on two workers
 * at once and never starts after its end was stored.
 *
 * Time is not modelled: a new holder waits for the list of every worker. tasklease.pml
 * checks that an unreachable worker runs no task once the leases have expired.
 *
 * Mutants (-D macros), each of which the checker must reject: NO_TOKEN_CHECK,
 * LIST_APART, START_UNLISTED, NO_STOP, STOP_OPEN, ACK_EARLY.
 */
#ifndef WORKERS
#define WORKERS 2
#endif
#ifndef HOLDERS
#define HOLDERS 2
#endif
#ifndef RUNS
#define RUNS 2                  /* runs that a holder may start */
#endif
#define NONE 255
#define RUN(t, k) (((t) - 1) * RUNS + (k) + 1)
#define TOKEN(r) (((r) - 1) / RUNS + 1)

byte claimed;                   /* token of the newest claim */
byte fence;                     /* lowest token that the log accepts */
bool stored;                    /* the end of the task is in the log */
bool noted;                     /* the end was acknowledged */

byte seen[WORKERS];             /* highest token that a worker has received */
byte running[WORKERS];          /* run on a worker; 0: none */
byte closed[WORKERS];           /* highest run that was stopped or ended */
bool ended[WORKERS];            /* the worker has an end that is not acknowledged */
bool order[WORKERS * 16];       /* start requests in transit, by worker and run */

#define ORDER(w, r) order[(w) * 16 + (r)]

inline check_start(w) {
	byte o;
	assert(!stored && !noted);
	for (o : 0 .. WORKERS - 1) {
		assert(o == w || running[o] == 0)
	}
	o = 0
}

proctype Worker(byte w) {
	byte r;
end:
	do
	:: atomic {
		select(r : 1 .. HOLDERS * RUNS);
		if
#ifdef NO_TOKEN_CHECK
		:: ORDER(w, r) && running[w] == 0 && r > closed[w] ->
#else
		:: ORDER(w, r) && TOKEN(r) >= seen[w] && running[w] == 0 && r > closed[w] ->
			seen[w] = TOKEN(r);
#endif
			ORDER(w, r) = false;
			check_start(w);
			running[w] = r
		:: else
		fi
	}
	:: atomic {
		running[w] != 0 ->
		closed[w] = running[w];
		running[w] = 0;
		ended[w] = true
	}
	od
}

/* list reads the list of a worker for holder t in the step that raises the token. */
inline list(w) {
	atomic {
		if
		:: seen[w] > t -> goto lost
		:: else
		fi;
		seen[w] = t;
		if
		:: ended[w] -> known = true; from = w
		:: running[w] != 0 -> open = w; at = running[w]
		:: else
		fi
	}
}

proctype Holder(byte t) {
	byte w, k, at;
	byte open = NONE;           /* worker of the open run */
	byte from = NONE;           /* worker that listed the end */
	bool known;                 /* the task has ended */

	atomic { claimed == t - 1 -> claimed = t }
	atomic { if :: fence < t -> fence = t :: else -> goto lost fi };
	known = stored;
#ifndef START_UNLISTED
	for (w : 0 .. WORKERS - 1) {
#ifdef LIST_APART
		if
		:: ended[w] -> known = true; from = w
		:: running[w] != 0 -> open = w; at = running[w]
		:: else
		fi;
		seen[w] = (seen[w] > t -> seen[w] : t)
#else
		list(w)
#endif
	}
#endif
end:
	do
	:: !known && open == NONE && k < RUNS ->        /* start */
		select(w : 0 .. WORKERS - 1);
		atomic { open = w; at = RUN(t, k); ORDER(w, at) = true; k++ }
	:: open != NONE && !known -> w = open; open = NONE; /* query the run's worker */
		atomic {
			if
			:: seen[w] > t -> goto lost
			:: else
			fi;
			seen[w] = t;
			if
			:: ended[w] -> known = true; from = w
			:: else -> open = w
			fi
		}
	:: open != NONE && !known ->                    /* stop the run */
#ifdef NO_STOP
		open = NONE
#else
		w = open;
		atomic {
			if
			:: seen[w] > t -> goto lost
			:: else
			fi;
			seen[w] = t;
#ifndef STOP_OPEN
			closed[w] = (closed[w] > at -> closed[w] : at);
#endif
			if
			:: running[w] == at -> running[w] = 0
			:: else
			fi;
			if
			:: ended[w] -> known = true; from = w
			:: else
			fi;
			open = NONE
		}
#endif
	:: known && from != NONE ->                     /* store, then acknowledge */
#ifdef ACK_EARLY
		atomic { ended[from] = false; noted = true };
		atomic { if :: fence == t -> stored = true :: else -> goto lost fi };
#else
		atomic { if :: fence == t -> stored = true :: else -> goto lost fi };
		atomic { if :: seen[from] <= t -> ended[from] = false; noted = true :: else -> goto lost fi };
#endif
		from = NONE
	od;
lost:
	skip
}

init {
	byte i;
	atomic {
		for (i : 0 .. WORKERS - 1) { run Worker(i) }
		for (i : 1 .. HOLDERS) { run Holder(i) }
	}
}
