/*
 * The roster of a cell (internal/cell: roster.go). Starts are not recorded. The log
 * lists each worker as open, on which any task may be running, or as closed, with the
 * tasks that may be running there. A new holder starts a task once every open worker
 * has sent a listing, and every closed one that may be running the task. Checked for
 * one task: it never runs on two workers.
 *
 * Holders follow each other; fencing (cell.pml) keeps an earlier one from acting. Time
 * is not modelled: a worker may stay silent for ever, and its lease does not expire.
 *
 * Mutants (-D macros), each of which the checker must reject: PLACE_ON_CLOSED,
 * REOPEN_UNSTORED, LISTED_IS_OPEN, FORGET_TASKS, IGNORE_HELD, DROP_INHERITED,
 * DROP_LISTING.
 */
#ifndef WORKERS
#define WORKERS 2
#endif
#ifndef HOLDERS
#define HOLDERS 2
#endif
#ifndef CHANGES
#define CHANGES 2               /* of reachability, in each term */
#endif
#define NONE 255

mtype = { OPEN, EMPTY, HOLDS }; /* EMPTY and HOLDS: closed, without or with the task */

mtype roster[WORKERS] = OPEN;   /* in the log */
bool running[WORKERS];          /* the task runs on the worker */
byte current;                   /* number of the newest holder */

proctype Worker(byte w) {
end:
	do
	:: running[w] -> running[w] = false
	od
}

proctype Holder(byte h) {
	byte w, v, changes;
	byte at = NONE;             /* worker of the run that this holder knows */
	mtype old[WORKERS] = OPEN;  /* roster at the takeover */
	mtype next[WORKERS] = OPEN; /* roster that is being written */
	bool writing, free;
	bool listed[WORKERS];       /* has sent a listing to this holder */
	bool closed[WORKERS];       /* gets no tasks */
	bool written[WORKERS];      /* the newest written roster lists it as closed */
	bool usable[WORKERS];       /* the stored roster lists it as open */

	atomic {
		current == h - 1 -> current = h;
		for (w : 0 .. WORKERS - 1) {
			old[w] = roster[w];
			usable[w] = (roster[w] == OPEN)
		}
		w = 0
	}
end:
	do
	:: atomic { current == h ->     /* a listing, the first one or after silence */
		select(w : 0 .. WORKERS - 1);
		if
		:: !listed[w] ->
			listed[w] = true;
#ifdef LISTED_IS_OPEN
			usable[w] = true;
#endif
			if
			:: running[w] -> at = w
#ifdef DROP_LISTING             /* of a worker that has left the registry */
			:: running[w]
#endif
			:: else
			fi
		:: listed[w] && closed[w] && changes < CHANGES ->
			changes++;
			closed[w] = false;
#ifndef REOPEN_UNSTORED
			if
			:: written[w] -> usable[w] = false; written[w] = false
			:: else
			fi;
#endif
			if
			:: at == w && !running[w] -> at = NONE
			:: else
			fi
		:: listed[w] && !closed[w] && at == w && !running[w] -> at = NONE
		:: else
		fi;
		w = 0
	   }
	:: atomic { current == h && changes < CHANGES -> /* a worker falls silent */
		select(w : 0 .. WORKERS - 1);
		if
		:: listed[w] && !closed[w] -> closed[w] = true; changes++
		:: else
		fi;
		w = 0
	   }
	:: atomic { current == h && at == NONE ->       /* start */
		select(w : 0 .. WORKERS - 1);
		free = true;
		for (v : 0 .. WORKERS - 1) {
#ifdef IGNORE_HELD
			free = free && (listed[v] || old[v] != OPEN)
#else
			free = free && (listed[v] || old[v] == EMPTY)
#endif
		}
		if
#ifdef PLACE_ON_CLOSED
		:: free && listed[w] && usable[w] ->
#else
		:: free && listed[w] && usable[w] && !closed[w] ->
#endif
			for (v : 0 .. WORKERS - 1) {
				assert(!running[v])
			}
			running[w] = true;
			at = w
		:: else
		fi;
		w = 0; v = 0; free = false
	   }
	:: atomic { current == h && !writing ->         /* write the roster */
		for (w : 0 .. WORKERS - 1) {
			if
#ifdef DROP_INHERITED
			:: !listed[w] -> next[w] = EMPTY
#else
			:: !listed[w] -> next[w] = old[w]
#endif
			:: listed[w] && !closed[w] -> next[w] = OPEN
			:: listed[w] && closed[w] ->
				written[w] = true;
#ifdef FORGET_TASKS
				next[w] = EMPTY
#else
				next[w] = (at == w -> HOLDS : EMPTY)
#endif
			fi
		}
		writing = true;
		w = 0
	   }
	:: atomic { current == h && writing ->          /* the log stores it */
		for (w : 0 .. WORKERS - 1) {
			roster[w] = next[w];
			if
			:: listed[w] && next[w] == OPEN -> usable[w] = true
			:: else
			fi
		}
		writing = false;
		w = 0
	   }
	od
}

init {
	byte i;
	atomic {
		for (i : 0 .. WORKERS - 1) { run Worker(i) }
		for (i : 1 .. HOLDERS) { run Holder(i) }
	}
}
