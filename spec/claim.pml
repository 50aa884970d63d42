/*
 * A job stored in the log: accept, reserve, start record, commit, end, adoption by
 * compare-and-swap of the claim, and the query that voids a reservation (design page,
 * sections 8, 9 and 16).
 *
 * Two coordinators read the work stream, and two holders alternate at one worker. Any
 * of them may pause or fail at any point: no process is ever forced to take its next
 * step. A message may be delayed or lost. The response to an append may be lost, so
 * the writer repeats the append, and a duplicate may reach the log late. The worker
 * fences as in lease.pml.
 *
 * Bounds, which keep the search small: one job with one task, MAX_LOG records,
 * MAX_ATTEMPTS attempts, MAX_EPOCH epochs, MAX_BOOT boots, MAX_ADOPTIONS adoption
 * attempts by each coordinator, and MAX_COPIES duplicates of appends. A coordinator
 * has at most one append outstanding and queues none behind it. Records do not expire.
 *
 * -DNON_IDEMPOTENT makes the job non-idempotent. With -DACCEPTOR_GONE, a third process
 * accepted the job and failed, so that both coordinators race to adopt it.
 *
 * Mutants (-D macros), each of which the checker must reject: COMMIT_UNRESERVED,
 * COMMIT_FOR_OTHER, COMMIT_EARLY, COMMIT_ON_ANSWER, ADOPT_UNCOMPARED, COPIES_COUNT,
 * QUERY_KEEPS, QUERY_ANY_EPOCH, ACK_EARLY, LOST_IS_NOT_RUN, START_BY_ANYONE.
 * -DHARM_ONLY omits the assertion on the writer of the start record in sendCommit, so
 * that a mutant is rejected only if it violates one of the other assertions.
 */

#ifndef MAX_LOG
#define MAX_LOG 8
#endif
#ifndef MAX_ATTEMPTS
#define MAX_ATTEMPTS 2
#endif
#ifndef MAX_EPOCH
#define MAX_EPOCH 3
#endif
#ifndef MAX_BOOT
#define MAX_BOOT 2
#endif
#ifndef MAX_ADOPTIONS
#define MAX_ADOPTIONS 1
#endif
#ifndef MAX_COPIES
#define MAX_COPIES 1
#endif

#include "claim_log.pml"

#define IS_OWNER(c)    (owner[c] == c && phase[c] != FINISHED)
#define CAN_APPEND(c)  (outKind[c] == 0)
#define MAY_END(c)     (trying[c] == COMMITTED && CAN_APPEND(c))
#define CAN_RESERVE(h) (heldEpoch[h] > 0 && IS_OWNER(c) && trying[c] == NONE && phase[c] == WAITING && attempts[c] < MAX_ATTEMPTS)
#define CAN_REPORT(h)  (heldEpoch[h] == epoch && MAY_END(c) && at[number[c]] == ENDED)
#define CAN_VOID(h)    (heldEpoch[h] > 0 && MAY_END(c) && !(tasks[h] & BIT(number[c])) && KNOWS_PLACE(h))
#define CAN_FIND(h)    (heldEpoch[h] > 0 && MAY_END(c) && (tasks[h] & BIT(number[c])))
#define WAS_REFUSED(h) (MAY_END(c) && refused[SLOT(c, number[c])])
#define PICK(v, OK) if :: OK(0) -> v = 0 :: OK(1) -> v = 1 fi

proctype coordinator(byte c) {
	byte h;
end:	do
	/* applyRecord. */
	:: atomic { next[c] < logLen ->
		readBack(c);
		if
		:: IS_COPY -> skip
		:: else -> LAST = logSequence[next[c]]; apply(c); forgetPlace()
		fi;
		next[c]++;
		forgetRead() }

	/* reserveNext and reserve: any holder may have capacity, even one with a stale lease. */
	:: atomic { PICK(h, CAN_RESERVE);
		number[c] = attempts[c] + 1;
		placeEpoch[c] = heldEpoch[h];
		placeBoot[c] = heldBoot[h];
		reserved[SLOT(h, number[c])] = c + 1;
		trying[c] = RESERVED;
		h = 0 }

	/* startReserved: the start record is written before the commit. */
	:: atomic { trying[c] == RESERVED && CAN_APPEND(c) ->
		trying[c] = LOGGING;
		phase[c] = ACTIVE;
		attempts[c] = number[c];
		seenEpoch[c] = placeEpoch[c];
		seenBoot[c] = placeBoot[c];
		append(c, START, number[c], placeEpoch[c], placeBoot[c]);
#ifdef COMMIT_EARLY
		sendCommit(c)
#endif
		}
#ifdef COMMIT_ON_ANSWER
	/* The log's response is taken as proof that the record takes effect. */
	:: atomic { trying[c] == LOGGING && outWritten[c] > 0 -> sendCommit(c) }
#endif

	/* attemptRefused. */
	:: atomic { WAS_REFUSED(0) -> closeWith(c, NOT_RUN_AGAIN) }

	/* attemptEnded: the holder reports an end that the worker listed. */
	:: atomic { PICK(h, CAN_REPORT);
		if
		:: closeWith(c, DONE)
#ifndef NON_IDEMPOTENT
		:: closeWith(c, FAILED_AGAIN)
#endif
		fi;
#ifdef ACK_EARLY
		at[number[c]] = GONE;
		tasks[h] = tasks[h] & ~BIT(number[c]);
#endif
		h = 0 }

	/* answerQuery and attemptState: the attempt is at h. */
	:: atomic { PICK(h, CAN_FIND);
		placeEpoch[c] = heldEpoch[h];
		placeBoot[c] = heldBoot[h];
		h = 0 }

	/* answerQuery and attemptState: the attempt is not at h and can no longer be
	 * committed there. */
	:: atomic { PICK(h, CAN_VOID);
		if
#ifndef LOST_IS_NOT_RUN
		:: heldBoot[h] != placeBoot[c] -> closeWith(c, AFTER_LOSS)
#endif
		:: else ->
#ifndef QUERY_KEEPS
			reserved[SLOT(h, number[c])] = 0;
#endif
			closeWith(c, NOT_RUN_AGAIN)
		fi;
		h = 0 }

	/* adoptJobs: at any time, because failure detection may be wrong. */
	:: atomic { owner[c] != c && phase[c] != FINISHED && CAN_APPEND(c) && adoptions[c] < MAX_ADOPTIONS ->
		adoptions[c]++;
		append(c, ADOPT, 0, claim[c], 0) }
	od
}

/* The coordinators' appends, and late duplicates in transit to the log. */
proctype appender(byte c) {
end:	do
	:: atomic { outKind[c] > 0 && logLen < MAX_LOG && (outWritten[c] == 0 || copies < MAX_COPIES) ->
		if
		:: outWritten[c] > 0 -> copies++
		:: else
		fi;
		outWritten[c]++;
		write(c, outKind[c], sequence[c], outAttempt[c], outArg[c], outMore[c]) }
	:: atomic { lateKind[c] > 0 && copies < MAX_COPIES && logLen < MAX_LOG ->
		copies++;
		write(c, lateKind[c], lateSequence[c], lateAttempt[c], lateArg[c], lateMore[c]);
		lateKind[c] = 0; lateSequence[c] = 0; lateAttempt[c] = 0; lateArg[c] = 0; lateMore[c] = 0 }
	od
}

#define LISTED (((at[1] == RUNNING || at[1] == ENDED) << 1) | ((at[2] == RUNNING || at[2] == ENDED) << 2))

/* The worker drops an ended attempt when a coordinator has acknowledged it, which
 * requires that its end was read back, or that a later attempt or the end of the job
 * was read. */
#define HAS_CLOSED(c, a) (attempts[c] > a || (attempts[c] == a && trying[c] != CLOSING && phase[c] != ACTIVE))
#define CAN_ACK(a) (heldEpoch[h] == epoch && at[a] == ENDED && (HAS_CLOSED(0, a) || HAS_CLOSED(1, a)))
#define PICK_ATTEMPT(v, OK) if :: OK(1) -> v = 1 :: OK(2) -> v = 2 fi
#ifdef COMMIT_UNRESERVED
#define HAS_RESERVED(h, c, a) true
#else
#ifdef COMMIT_FOR_OTHER
#define HAS_RESERVED(h, c, a) (reserved[SLOT(h, a)] > 0)
#else
#define HAS_RESERVED(h, c, a) (reserved[SLOT(h, a)] == c + 1)
#endif
#endif
#define CAN_COMMIT(s) (commitEpoch[s] > 0 && commitEpoch[s] == heldEpoch[h])
#define IS_LATE(s) (commitEpoch[s] > 0 && commitEpoch[s] != heldEpoch[0] && commitEpoch[s] != heldEpoch[1])
#define refuseLate(s) refused[s] = true; commitEpoch[s] = 0
#define CAN_EXPIRE(a) (reserved[SLOT(h, a)] > 0)

inline dropReservations(h) {
	reserved[SLOT(h, 1)] = 0;
	reserved[SLOT(h, 2)] = 0
}

/* commitAt is commitReserved at the holder that has the epoch of the place. */
inline commitAt(c, a) {
	if
	:: tasks[h] & BIT(a) -> skip
	:: !(tasks[h] & BIT(a)) && HAS_RESERVED(h, c, a) ->
		tasks[h] = tasks[h] | BIT(a);
		startEpoch[a] = heldEpoch[h]
	:: else -> refused[SLOT(c, a)] = true
	fi;
	reserved[SLOT(h, a)] = 0;
	commitEpoch[SLOT(c, a)] = 0
}

/* newEpoch: the worker refuses the start requests of earlier epochs. */
inline newEpoch() {
	epoch++;
	startEpoch[1] = 0;
	startEpoch[2] = 0
}

proctype holder(byte h) {
	byte a;
end:	do
	/* leaseGranted and adoptListed: the worker's lease has expired. The grant and
	 * the list are one step. The earlier holder may not have detected this yet. */
	:: atomic { heldEpoch[h] == 0 && epoch < MAX_EPOCH ->
		newEpoch();
		heldEpoch[h] = epoch;
		heldBoot[h] = boot;
		tasks[h] = LISTED }

	/* leaseLost and dropLease. */
	:: atomic { heldEpoch[h] > 0 ->
		heldEpoch[h] = 0; heldBoot[h] = 0; tasks[h] = 0;
		dropReservations(h) }

	/* commitReserved, for a Commit of either coordinator. */
	:: atomic {
		if
		:: CAN_COMMIT(SLOT(0, 1)) -> commitAt(0, 1)
		:: CAN_COMMIT(SLOT(0, 2)) -> commitAt(0, 2)
		:: CAN_COMMIT(SLOT(1, 1)) -> commitAt(1, 1)
		:: CAN_COMMIT(SLOT(1, 2)) -> commitAt(1, 2)
		fi }

	/* refuseCommit, by a holder that no longer has the epoch of the place. */
	:: atomic {
		if
		:: IS_LATE(SLOT(0, 1)) -> refuseLate(SLOT(0, 1))
		:: IS_LATE(SLOT(0, 2)) -> refuseLate(SLOT(0, 2))
		:: IS_LATE(SLOT(1, 1)) -> refuseLate(SLOT(1, 1))
		:: IS_LATE(SLOT(1, 2)) -> refuseLate(SLOT(1, 2))
		fi }

	/* expireReservations and release. A Release contains only the attempt, so like
	 * an expiry it may drop the reservation of the other coordinator. */
	:: atomic { PICK_ATTEMPT(a, CAN_EXPIRE); reserved[SLOT(h, a)] = 0; a = 0 }

	/* acknowledge and dropEnded. */
	:: atomic { PICK_ATTEMPT(a, CAN_ACK);
		at[a] = GONE;
		tasks[h] = tasks[h] & ~BIT(a);
		a = 0 }
	od
}

#define CAN_START(a) (startEpoch[a] > 0 && startEpoch[a] == epoch && at[a] == ABSENT)
#define IS_RUNNING(a) (at[a] == RUNNING)

proctype worker() {
	byte a;
end:	do
	/* The worker starts an attempt only in the current epoch. */
	:: atomic { PICK_ATTEMPT(a, CAN_START);
		assert(at[1] != RUNNING && at[2] != RUNNING); /* one attempt runs at a time */
		assert(!notRun[a]);                           /* reported as not run, so it never runs */
		assert(!began[a]);
#ifdef NON_IDEMPOTENT
		assert(!began[1] && !began[2]);               /* at most one start */
#endif
		began[a] = true;
		at[a] = RUNNING;
		startEpoch[a] = 0;
		a = 0 }
	:: atomic { PICK_ATTEMPT(a, IS_RUNNING); at[a] = ENDED; a = 0 }
	/* The worker restarts without tasks, with a new boot number and epoch. */
	:: atomic { boot < MAX_BOOT && epoch < MAX_EPOCH ->
		boot++;
		newEpoch();
		if :: at[1] != ABSENT -> at[1] = GONE :: else fi;
		if :: at[2] != ABSENT -> at[2] = GONE :: else fi }
	od
}

init {
	atomic {
		/* Coordinator 0 accepted the job, and holder 0 has epoch 1. */
		sequence[0] = 1;
		write(0, ACCEPT, 1, 0, 0, 0);
		lateKind[0] = ACCEPT;
		lateSequence[0] = 1;
		heldEpoch[0] = 1;
		heldBoot[0] = 1;
#ifdef ACCEPTOR_GONE
		owner[0] = 2;
		owner[1] = 2;
		trueOwner = 2;
		lateKind[0] = 0;
#endif
		run coordinator(0);
		run coordinator(1);
		run appender(0);
		run appender(1);
		run holder(0);
		run holder(1);
		run worker()
	}
}
