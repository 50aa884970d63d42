/*
 * The end of an attempt on a silent worker (rule 2 of section 16 of the design
 * page): the coordinator declares an attempt over when a task lease plus two
 * worker leases have passed since the last sign of life of the worker, because
 * the worker stops a task whose lease expired.
 *
 * Time passes in steps of a quarter of a worker lease; a message may take any time. A
 * paused holder sends and reads nothing for a while. The rule holds only while at
 * most one poll of a holder can still arrive: each further poll on its way can
 * renew the leases once more, so k polls need k + 1 worker leases.
 *
 * Bounds, chosen to keep the search small: one attempt, one holder that loses
 * and gains the lease, a worker lease of 4 steps and a task lease of 8.
 *
 * Mutants (-D), each of which must be rejected: MANY_POLLS (a second poll is sent
 * while the first may still arrive), LAPSED_POLL (a poll renews a lease that has lapsed), ONE_LEASE
 * (the coordinator waits for one worker lease less), CUT_OFF (signs of life need
 * not reach the coordinator: it must not count its own silence then).
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

/* Time left at the worker, and as the holder sees it. */
byte workerLease = LEASE;
byte taskLease = TASK_LEASE;
byte holderLease = LEASE;
bool running = true;

/* Steps since the coordinator heard a sign of life. */
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

/* One poll at a time in each slot: POST /v1/poll. */
proctype poller(byte p) {
end:	do
	:: atomic { poll[p] == IDLE && holderLease > 0 -> poll[p] = SENT; age[p] = 0 }
	/* It arrives at the worker, or is lost. */
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
	/* The holder reads the answer and counts from the time it sent the poll. The
	 * coordinator hears of it. */
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
	:: atomic { poll[p] == ANSWERED -> poll[p] = IDLE; age[p] = 0 } /* the answer is lost */
	od
}

/* A lapsed lease is granted again. A grant renews no task lease, and polls of the
 * earlier epoch are refused. The answer is a sign of life. */
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
