/*
 * Worker lease, takeover, fencing and the end of attempts (design page, sections
 * 7, 8 and 16).
 *
 * One worker grants its lease to at most one holder at a time. Messages between
 * holders and worker may be delayed, reordered, repeated or lost: a start request
 * may arrive at any time after it was sent, any number of times. A paused holder
 * takes no step for a while, and a failed holder takes no further step. Leases may
 * expire at any moment, so this model does not depend on time; tasklease.pml models
 * the rule that does.
 *
 * Bounds, which keep the search small: HOLDERS holders, MAX_EPOCH epochs, MAX_BOOT
 * boots, capacity CAP, and three attempts of two tasks. With CAP 2, two attempts of
 * one task could overlap; with CAP 1, any two running attempts exceed the capacity.
 * check.sh checks both.
 *
 * Mutants (-D macros), each of which the checker must reject: NO_EPOCH_CHECK,
 * EPOCH_CHECK_APART, CAPACITY_CHECK_APART, LIST_APART, LIST_ANY_EPOCH,
 * BOOT_IGNORED, FORGET_ENDED, FORGET_REFUSED, STALE_IS_REFUSED,
 * RESTART_KEEPS_EPOCH, RESTART_RESETS_EPOCH.
 */

#ifndef HOLDERS
#define HOLDERS 2
#endif
#ifndef MAX_EPOCH
#define MAX_EPOCH 3
#endif
#ifndef MAX_BOOT
#define MAX_BOOT 2
#endif
#ifndef CAP
#define CAP 2
#endif

/* FIRST and SECOND are attempts of the same task. OTHER is an attempt of another
 * task that competes for capacity. */
#define ATTEMPTS 3
#define FIRST  0
#define SECOND 1
#define OTHER  2

/* State of an attempt at the worker. A KNOWN attempt was refused, or it ended and
 * was acknowledged; the worker keeps its ID until the next grant, so that a repeated
 * start request has no effect. */
#define ABSENT  0
#define RUNNING 1
#define ENDED   2
#define KNOWN   3

/* The worker. */
byte epoch;
byte boot = 1;
bool leased;               /* a lease is in force */
byte at[ATTEMPTS];         /* state of each attempt */

/* The response to a lease request, in transit to each holder; epoch 0: none. */
byte answerEpoch[HOLDERS];
byte answerBoot[HOLDERS];
byte answerList[HOLDERS];  /* one bit per listed attempt */

/* The holders. */
byte heldEpoch[HOLDERS];   /* 0: no lease */
byte heldBoot[HOLDERS];
byte tasks[HOLDERS];       /* attempts that the holder listed or started */

/* The only place at which an attempt may run (message.Place). From the commit on, a
 * start request for it may be in transit. Epoch 0: not committed. */
byte placeEpoch[ATTEMPTS];
byte placeBoot[ATTEMPTS];

bool refused[ATTEMPTS];    /* the worker's refusal is in transit */

/* The coordinators' view, and variables for the assertions only. */
bool over[ATTEMPTS];       /* declared over */
bool notRun[ATTEMPTS];     /* reported as never started */
bool began[ATTEMPTS];      /* the worker has started it */

#define BIT(a)       (1 << (a))
#define IS_LISTED(a) (at[a] == RUNNING || at[a] == ENDED)
#define LIST         (IS_LISTED(0) | (IS_LISTED(1) << 1) | (IS_LISTED(2) << 2))
#define LOAD         ((at[0] == RUNNING) + (at[1] == RUNNING) + (at[2] == RUNNING))

/* PICK sets v to any attempt for which OK holds, or blocks. */
#define PICK(v, OK) if :: OK(0) -> v = 0 :: OK(1) -> v = 1 :: OK(2) -> v = 2 fi

#if HOLDERS == 3
#define ANY_HOLDER(v) if :: v = 0 :: v = 1 :: v = 2 fi
#else
#define ANY_HOLDER(v) if :: v = 0 :: v = 1 fi
#endif

/* declare declares an attempt over, with or without proof that it never ran. */
inline declare(a, isProved) {
	assert(at[a] != RUNNING);
	assert(!(isProved) || !began[a]);
	over[a] = true;
	notRun[a] = isProved
}

/* begin starts an attempt at the worker and asserts the invariants. */
inline begin(a) {
	assert(placeEpoch[a] == epoch);   /* a stale holder cannot start an attempt */
	assert(!over[a]);                 /* an attempt that is over never starts */
	assert(!began[a]);                /* no attempt is started twice */
	began[a] = true;
	at[a] = RUNNING;
	assert(at[FIRST] != RUNNING || at[SECOND] != RUNNING);
	assert(LOAD <= CAP)
}

/* grantTo is the worker's part of POST /v1/lease: it increases the epoch. Requests of
 * earlier epochs are refused from now on, so the worker drops the KNOWN attempts. */
inline grantTo(h, list) {
	epoch++;
	leased = true;
	answerEpoch[h] = epoch;
	answerBoot[h] = boot;
	answerList[h] = list;
	forget(KNOWN)
}

inline forget(state) {
	if :: at[0] == state -> at[0] = ABSENT :: else fi;
	if :: at[1] == state -> at[1] = ABSENT :: else fi;
	if :: at[2] == state -> at[2] = ABSENT :: else fi
}

#ifdef NO_EPOCH_CHECK
#define IS_CURRENT(a) true
#else
#define IS_CURRENT(a) (placeEpoch[a] == epoch)
#endif

#define CAN_SERVE(a)  (placeEpoch[a] > 0 && IS_CURRENT(a) && at[a] == ABSENT)
#define IS_STALE(a)   (placeEpoch[a] > 0 && placeEpoch[a] < epoch && !refused[a])
#define IS_RUNNING(a) (at[a] == RUNNING)
#define HAS_ROOM(a)   (CAN_SERVE(a) && LOAD < CAP)

#ifdef CAPACITY_CHECK_APART
#define TASK_SERVICES [2]
#else
#define TASK_SERVICES [1]
#endif

/* The next three processes model the worker's side of the protocol (design page,
 * section 7). They are separate processes so that the split steps of a mutant
 * interleave with all other steps of the worker. */

/* POST /v1/lease. A request of any holder may arrive at any time. The list of
 * attempts and the grant are one atomic step. */
active proctype leaseService() {
	byte h, list;
end:	do
	:: atomic { !leased && epoch < MAX_EPOCH ->
		list = LIST;
#ifdef LIST_APART
	   }
	   atomic {
#endif
		ANY_HOLDER(h);
		if
		:: !leased && epoch < MAX_EPOCH -> grantTo(h, list)
		:: else
		fi;
		list = 0; h = 0 }
	od
}

/* POST /v1/tasks: epoch check, capacity check and start are one atomic step. A start
 * requires the current epoch, but not a lease in force. A request of an older epoch
 * is refused without any change. */
active TASK_SERVICES proctype taskService() {
	byte a;
end:	do
#ifdef EPOCH_CHECK_APART
	:: atomic { PICK(a, CAN_SERVE) }
	   atomic { if :: at[a] == ABSENT && LOAD < CAP -> begin(a) :: else fi; a = 0 }
#else
#ifdef CAPACITY_CHECK_APART
	:: atomic { PICK(a, HAS_ROOM) }
	   atomic { if :: CAN_SERVE(a) -> begin(a) :: else fi; a = 0 }
#else
	:: atomic { PICK(a, CAN_SERVE);
		if
		:: LOAD < CAP -> begin(a)
		:: else ->
			refused[a] = true;
#ifndef FORGET_REFUSED
			at[a] = KNOWN
#endif
		fi;
		a = 0 }
#endif
#endif
#ifdef STALE_IS_REFUSED
	:: atomic { PICK(a, IS_STALE); refused[a] = true; a = 0 }
#endif
	od
}

/* Steps of the worker that no request causes. */
active proctype workerLife() {
	byte a;
end:	do
	/* The lease expires or is released. */
	:: atomic { leased -> leased = false }

	/* A task completes, is stopped, or ends because its task lease expired. */
	:: atomic { PICK(a, IS_RUNNING); at[a] = ENDED; a = 0 }

	/* The worker restarts and loses its state. The restart increases the epoch,
	 * because start requests do not carry the boot number. */
	:: atomic { boot < MAX_BOOT && epoch > 0 && epoch < MAX_EPOCH ->
		boot++;
		leased = false;
#ifdef RESTART_RESETS_EPOCH
		epoch = 0;
#else
#ifndef RESTART_KEEPS_EPOCH
		epoch++;
#endif
#endif
		forget(RUNNING); forget(ENDED); forget(KNOWN) }
	od
}

#ifdef LIST_ANY_EPOCH
#define IS_LATER(a) (heldEpoch[h] != placeEpoch[a])
#else
#define IS_LATER(a) (heldEpoch[h] > placeEpoch[a])
#endif

#define IS_HELD        (heldEpoch[h] > 0)
#define CAN_POLL       (IS_HELD && heldEpoch[h] == epoch)
#define CAN_COMMIT(a)  (IS_HELD && placeEpoch[a] == 0 && (a != SECOND || over[FIRST]))
#define WAS_REFUSED(a) (IS_HELD && refused[a] && !over[a] && placeEpoch[a] == heldEpoch[h])
#define HAS_ENDED(a)   (CAN_POLL && at[a] == ENDED && !over[a])
#define CAN_ACK(a)     (CAN_POLL && at[a] == ENDED && over[a])
#define IS_MISSING(a)  (IS_HELD && placeEpoch[a] > 0 && !over[a] && !(tasks[h] & BIT(a)) && IS_LATER(a))

/* A holder: leases.go, holder.go and orphans.go in internal/core. */
proctype holder(byte h) {
	byte a;
end:	do
	/* leaseGranted and adoptListed. The response may be late. */
	:: atomic { !IS_HELD && answerEpoch[h] > 0 ->
		heldEpoch[h] = answerEpoch[h];
		heldBoot[h] = answerBoot[h];
		tasks[h] = answerList[h];
		answerEpoch[h] = 0; answerBoot[h] = 0; answerList[h] = 0 }

	/* The response is lost. */
	:: atomic { answerEpoch[h] > 0 ->
		answerEpoch[h] = 0; answerBoot[h] = 0; answerList[h] = 0 }

	/* leaseLost and dropLease, at any time after the grant. */
	:: atomic { IS_HELD ->
		heldEpoch[h] = 0; heldBoot[h] = 0; tasks[h] = 0 }

	/* commitReserved: the attempt gets its only place, and StartTask is sent. The
	 * second attempt of a task is committed only after the first is over. */
	:: atomic { PICK(a, CAN_COMMIT);
		placeEpoch[a] = heldEpoch[h];
		placeBoot[a] = heldBoot[h];
		tasks[h] = tasks[h] | BIT(a);
		a = 0 }

	/* taskStartRefused. A refusal proves that the attempt never ran only if the
	 * worker recorded it; stale_epoch, which a repeated request may get, does not. */
	:: atomic { PICK(a, WAS_REFUSED);
		tasks[h] = tasks[h] & ~BIT(a);
		declare(a, true);
		a = 0 }

	/* taskEnded and attemptEnded: a poll of the current epoch returned the end. */
	:: atomic { PICK(a, HAS_ENDED);
		declare(a, false);
		a = 0 }

	/* dropEnded: POST /v1/ack in the current epoch. */
	:: atomic { PICK(a, CAN_ACK);
		tasks[h] = tasks[h] & ~BIT(a);
#ifdef FORGET_ENDED
		at[a] = ABSENT;
#else
		at[a] = KNOWN;
#endif
		a = 0 }

	/* leaseAcquired, answerQuery and attemptState: an attempt that a later epoch does
	 * not list is over. With the same boot number it never ran; with another it may
	 * have run. */
	:: atomic { PICK(a, IS_MISSING);
#ifdef BOOT_IGNORED
		declare(a, true);
#else
		declare(a, (placeBoot[a] == heldBoot[h]));
#endif
		a = 0 }
	od
}

init {
	atomic {
		run holder(0);
		run holder(1);
#if HOLDERS == 3
		run holder(2)
#endif
	}
}
