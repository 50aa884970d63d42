/*
 * Included by claim.pml: its state, the log, and the steps of a coordinator that reads
 * a record.
 */

#define ATTEMPTS   (MAX_ATTEMPTS + 1)  /* attempts are numbered from 1 */
#define BIT(a)     (1 << (a))
#define SLOT(x, a) ((x) * ATTEMPTS + (a))

/* Records of the work stream, indexed by offset. */
#define ACCEPT 1
#define START  2   /* arg: epoch, more: boot */
#define END    3   /* arg: one of the results below */
#define ADOPT  4   /* arg: the claim that it replaces */
byte logLen;
byte logKind[MAX_LOG];
byte logWriter[MAX_LOG];
byte logSequence[MAX_LOG];
byte logAttempt[MAX_LOG];
byte logArg[MAX_LOG];
byte logMore[MAX_LOG];

/* Results of an attempt. */
#define DONE          1  /* completed, or failed without another attempt */
#define FAILED_AGAIN  2  /* failed, will be attempted again */
#define NOT_RUN_AGAIN 3  /* proved not to have run, will be attempted again */
#define UNKNOWN       4
#define UNKNOWN_AGAIN 5
#define IS_RETRY(r) ((r) == FAILED_AGAIN || (r) == NOT_RUN_AGAIN || (r) == UNKNOWN_AGAIN)
#ifdef NON_IDEMPOTENT
#define AFTER_LOSS UNKNOWN
#else
#define AFTER_LOSS UNKNOWN_AGAIN
#endif

/* The append of each coordinator that it has not read back yet; kind 0: none. */
byte outKind[2];
byte outAttempt[2];
byte outArg[2];
byte outMore[2];
byte outWritten[2];  /* copies in the log */
byte sequence[2];    /* of the last append */
/* A duplicate of an append that was read back, in transit; kind 0: none. */
byte lateKind[2];
byte lateSequence[2];
byte lateAttempt[2];
byte lateArg[2];
byte lateMore[2];
byte copies;         /* duplicates written so far */

/* State of each coordinator by the records that it has read: core.job and core.task.
 * The claim is the offset of the record that made the owner the coordinator. */
#define WAITING  0
#define ACTIVE   1
#define FINISHED 2
byte next[2];        /* next offset to read */
byte lastRead[4];    /* last sequence read, by reader and writer */
byte owner[2];
byte claim[2];
byte phase[2];
byte attempts[2];    /* number of the last attempt */
byte seenEpoch[2];   /* place of the last attempt */
byte seenBoot[2];

/* The current attempt of each coordinator: core.attempt. */
#define NONE      0
#define RESERVED  1
#define LOGGING   2  /* waits until its start record is read back */
#define COMMITTED 3  /* may run; includes running and stranded attempts */
#define CLOSING   4  /* is over; waits until its end record is read back */
byte trying[2];
byte number[2];
byte placeEpoch[2];
byte placeBoot[2];
byte adoptions[2];

/* Messages in transit. */
byte commitEpoch[2 * ATTEMPTS];   /* Commit, by coordinator and attempt; 0: none */
bool refused[2 * ATTEMPTS];    /* StartRefused, by coordinator and attempt */
byte startEpoch[ATTEMPTS];        /* StartTask to the worker; 0: none */

/* The holders. Epoch 0: no lease. A holder whose lease has expired continues to reply
 * until it detects this. */
byte heldEpoch[2];
byte heldBoot[2];
byte reserved[2 * ATTEMPTS];      /* 1 + coordinator, by holder and attempt; 0: none */
byte tasks[2];                    /* one bit per attempt */

/* The worker. */
#define ABSENT  0
#define RUNNING 1
#define ENDED   2
#define GONE    3  /* acknowledged, or lost in a restart */
byte epoch = 1;
byte boot = 1;
byte at[ATTEMPTS];

/* For the assertions only: the state after the whole log is read. */
byte trueOwner;
byte trueClaim;
byte trueRead[2];
byte trueAttempt;                 /* the last one with an effective start record */
bool trueFinished;
byte startedBy[ATTEMPTS];         /* 1 + writer of the effective start record */
bool began[ATTEMPTS];
bool notRun[ATTEMPTS];            /* reported as never run */

/* write appends a record to the log and updates the state for the assertions. */
inline write(w, kind, seq, att, arg, more) {
	logKind[logLen] = kind;
	logWriter[logLen] = w;
	logSequence[logLen] = seq;
	logAttempt[logLen] = att;
	logArg[logLen] = arg;
	logMore[logLen] = more;
	if
	:: seq <= trueRead[w] -> skip
	:: else ->
		trueRead[w] = seq;
		if
		:: kind == ADOPT && arg == trueClaim -> trueOwner = w; trueClaim = logLen
		:: kind == START && w == trueOwner && !trueFinished ->
			startedBy[att] = w + 1;
			trueAttempt = att
		:: kind == END && w == trueOwner && !trueFinished && att == trueAttempt ->
			if
			:: arg == NOT_RUN_AGAIN -> assert(!began[att]); notRun[att] = true
			:: else -> trueFinished = !IS_RETRY(arg)
			fi
		:: else
		fi
	fi;
	logLen++
}

/* append passes a record to the driver, which repeats the append until the record
 * is read back. */
inline append(c, kind, att, arg, more) {
	sequence[c]++;
	outKind[c] = kind;
	outAttempt[c] = att;
	outArg[c] = arg;
	outMore[c] = more
}

inline clearAttempt(c) {
	trying[c] = NONE; number[c] = 0; placeEpoch[c] = 0; placeBoot[c] = 0
}

/* sendCommit is core.commit. */
inline sendCommit(c) {
#ifndef HARM_ONLY
	assert(startedBy[number[c]] == c + 1);
#endif
	trying[c] = COMMITTED;
	commitEpoch[SLOT(c, number[c])] = placeEpoch[c]
}

/* closeWith is closeLogged. The result takes effect when it is read back, and only if
 * its writer is the coordinator at the record's offset. */
inline closeWith(c, result) {
	trying[c] = CLOSING;
	append(c, END, number[c], result, 0)
}

/* changeOwner covers stopCoordinating of the old coordinator and takeOver of the new one. */
inline changeOwner(c, w, at_) {
	if
	:: owner[c] == c && w != c ->
		clearAttempt(c) /* its Release is modelled by an expiry at the holder */
	:: owner[c] != c && w == c && phase[c] == ACTIVE ->
		trying[c] = COMMITTED; /* recoverAttempt: stranded until a holder reports it */
		number[c] = attempts[c];
		placeEpoch[c] = seenEpoch[c];
		placeBoot[c] = seenBoot[c]
	:: else
	fi;
	owner[c] = w;
	claim[c] = at_
}

/* The record that c reads, and the conditions under which it takes effect at c. */
#define KIND    logKind[next[c]]
#define WRITER  logWriter[next[c]]
#define ATTEMPT logAttempt[next[c]]
#define ARG     logArg[next[c]]
#define MORE    logMore[next[c]]
#define LAST    lastRead[2 * c + WRITER]

#ifdef START_BY_ANYONE
#define COUNTS true
#else
#define COUNTS (owner[c] == WRITER)
#endif
#ifdef ADOPT_UNCOMPARED
#define REPLACES (claim[c] == ARG || WRITER == c)
#else
#define REPLACES (claim[c] == ARG)
#endif
#ifdef COPIES_COUNT
#define IS_COPY false
#else
#define IS_COPY (logSequence[next[c]] <= LAST)
#endif
#ifdef QUERY_ANY_EPOCH
#define KNOWS_PLACE(h) true
#else
#define KNOWS_PLACE(h) (heldEpoch[h] >= placeEpoch[c])
#endif

/* readBack frees the driver for the next append. A second copy may arrive late. */
inline readBack(c) {
	if
	:: WRITER == c && outKind[c] > 0 && logSequence[next[c]] == sequence[c] ->
		if
		:: outWritten[c] == 1 && copies < MAX_COPIES && lateKind[c] == 0 ->
			lateKind[c] = outKind[c];
			lateSequence[c] = sequence[c];
			lateAttempt[c] = outAttempt[c];
			lateArg[c] = outArg[c];
			lateMore[c] = outMore[c]
		:: else
		fi;
		outKind[c] = 0; outAttempt[c] = 0; outArg[c] = 0; outMore[c] = 0; outWritten[c] = 0
	:: else
	fi
}

/* applyStart, applyEnd, applyAccept and applyAdopt in records.go and adopt.go. */
inline apply(c) {
	if
	:: KIND == START && COUNTS && phase[c] != FINISHED ->
		phase[c] = ACTIVE;
		attempts[c] = ATTEMPT;
		seenEpoch[c] = ARG;
		seenBoot[c] = MORE;
		if
		:: WRITER == c && trying[c] == LOGGING && number[c] == ATTEMPT -> sendCommit(c)
		:: else
		fi
	:: KIND == END && owner[c] == WRITER && phase[c] != FINISHED && attempts[c] == ATTEMPT ->
		if
		:: IS_RETRY(ARG) -> phase[c] = WAITING
		:: else -> phase[c] = FINISHED
		fi;
		if
		:: trying[c] == CLOSING && number[c] == ATTEMPT -> clearAttempt(c)
		:: else
		fi
	:: KIND == ADOPT && REPLACES && phase[c] != FINISHED -> changeOwner(c, WRITER, next[c])
	:: KIND == ACCEPT && next[c] > claim[c] && phase[c] != FINISHED -> changeOwner(c, WRITER, next[c])
	:: else
	fi
}

/* forgetRead clears a record that both coordinators have read, which merges otherwise
 * equal states. */
inline forgetRead() {
	if
	:: next[c] <= next[1 - c] ->
		logKind[next[c] - 1] = 0;
		logWriter[next[c] - 1] = 0;
		logSequence[next[c] - 1] = 0;
		logAttempt[next[c] - 1] = 0;
		logArg[next[c] - 1] = 0;
		logMore[next[c] - 1] = 0
	:: else
	fi
}

/* forgetPlace clears fields that no later step reads. */
inline forgetPlace() {
	if
	:: phase[c] != ACTIVE -> seenEpoch[c] = 0; seenBoot[c] = 0
	:: else
	fi
}
