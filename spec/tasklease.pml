/*
 * The end of an attempt on an unreachable worker (design page, section 16, rule 2):
 * the coordinator declares an attempt over when a task lease plus two worker leases
 * have passed since it last heard of the worker, because the worker stops a task
 * whose lease has expired.
 *
 * Time passes in steps of a quarter of a worker lease; a message may take any time. A
 * paused holder sends and reads nothing for a while. The rule is safe only while at
 * most one poll of a holder is in transit: each further poll in transit can renew the
 * leases once more, so k polls need k + 1 worker leases.
 *
 * Bounds, which keep the search small: one attempt, one holder that loses and regains
 * the lease, a worker lease of 4 steps and a task lease of 8 steps.
 *
 * Mutants (-D macros), each of which the checker must reject: MANY_POLLS (a second
 * poll is sent while the first may still arrive), LAPSED_POLL (a poll renews a lease
 * that has expired), ONE_LEASE (the coordinator waits one worker lease less), CUT_OFF
 * (the coordinator may miss responses of the worker, which is why it must not count
 * time during which it is cut off itself).
 */

#define LEASE      4
#define TASK_LEASE 8
#ifdef ONE_LEASE
#define PATIENCE   (TASK_LEASE + LEASE)
#else
#define PATIENCE   (TASK_LEASE + 2 * LEASE)
#endif
#ifdef MANY_POLLS
#define POLLS 2
#else
#define POLLS 1
#endif

/* Remaining lease times in steps, at the worker and as computed by the holder. */
byte workerLease = LEASE;
byte taskLease = TASK_LEASE;
byte holderLease = LEASE;
bool running = true;

/* Steps since the coordinator last heard of the worker. */
byte silence;

/* Polls: age is the number of steps since the poll was sent, at most LEASE. */
#define IDLE     0
#define SENT     1
#define ANSWERED 2
byte poll[POLLS];
byte age[POLLS];

#define LESS(x) x = (x > 0 -> x - 1 : 0)

#ifdef LAPSED_POLL
#define RENEWS true
#else
#define RENEWS (workerLease > 0)
#endif

active proctype clock() {
	byte i;
end:	do
	:: atomic { silence <= PATIENCE ->
		LESS(workerLease); LESS(holderLease); LESS(taskLease);
		if
		:: taskLease == 0 -> running = false /* the worker stops the task */
		:: else
		fi;
		i = 0;
		do
		:: i < POLLS ->
			if
			:: poll[i] != IDLE && age[i] < LEASE -> age[i]++
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		silence++;
		/* The coordinator declares the attempt over. */
		assert(silence < PATIENCE || !running) }
	od
}

/* POST /v1/poll: one poll at a time in each slot. */
proctype poller(byte p) {
end:	do
	:: atomic { poll[p] == IDLE && holderLease > 0 -> poll[p] = SENT; age[p] = 0 }
	/* The poll arrives at the worker, or is lost. */
	:: atomic { poll[p] == SENT ->
		if
		:: RENEWS ->
			workerLease = LEASE;
			if
			:: running -> taskLease = TASK_LEASE
			:: else
			fi;
			poll[p] = ANSWERED
		:: poll[p] = IDLE; age[p] = 0
		fi }
	/* The holder reads the response and counts its lease from the time at which it
	 * sent the poll. This also resets the coordinator's count. */
	:: atomic { poll[p] == ANSWERED ->
		if
		:: holderLease > 0 && LEASE - age[p] > holderLease -> holderLease = LEASE - age[p]
		:: else
		fi;
#ifdef CUT_OFF
		if
		:: silence = 0
		:: skip
		fi;
#else
		silence = 0;
#endif
		poll[p] = IDLE; age[p] = 0 }
	:: atomic { poll[p] == ANSWERED -> poll[p] = IDLE; age[p] = 0 } /* the response is lost */
	od
}

/* An expired lease is granted again. A grant renews no task lease, and polls of the
 * earlier epoch are refused. The response also resets the coordinator's count. */
active proctype takeover() {
	byte i;
end:	do
	:: atomic { workerLease == 0 && holderLease == 0 && silence > 0 ->
		workerLease = LEASE;
		holderLease = LEASE;
		i = 0;
		do
		:: i < POLLS -> poll[i] = IDLE; age[i] = 0; i++
		:: else -> break
		od;
		i = 0;
#ifndef CUT_OFF
		silence = 0
#endif
		}
	od
}

init {
	atomic {
		run poller(0);
#ifdef MANY_POLLS
		run poller(1)
#endif
	}
}
