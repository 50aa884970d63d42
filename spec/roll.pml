/*
 * Rolls by ordered append (design page, section 10; bundle.Chain).
 *
 * Chains 0 and 1 read the log from its start; an operator signs and appends rolls
 * with each of them. Chain 2 starts late, at an offset below which the log has
 * dropped its records, and may load the roll of a peer at any time. Appends may be
 * delayed, and a record may be appended twice. Refresh writes checkpoints: the roll
 * in force after the record at offset asOf.
 *
 * Bounds, which keep the search small: MAX_ROLLS signed rolls, MAX_LOG records,
 * MAX_COPIES duplicate records, MAX_CHECKPOINTS checkpoints, written by chains 0 and
 * 1, and MAX_ANSWERS responses of peers. All signatures and sections are valid. The
 * log drops no record that a started chain still has to read.
 *
 * Mutants (-D macros), each of which the checker must reject: ANY_PREDECESSOR,
 * LAST_WINS, PEER_LOWER, PEER_IN_LOG, CHECKPOINT_AS_ROLL, COPY_COUNTS,
 * SIGN_UNSETTLED (an operator signs with the late chain before it is settled, so the
 * roll may replace one that lost a race). -DPREFIX_ONLY omits the assertion that a
 * checkpoint settles the late chain. ANY_PREDECESSOR needs SIGN_UNSETTLED and
 * PREFIX_ONLY, because among rolls signed with settled chains, two with the same
 * number always have the same predecessor.
 */

#ifndef MAX_ROLLS
#define MAX_ROLLS 4
#endif
#ifndef MAX_LOG
#define MAX_LOG 6
#endif
#ifndef MAX_COPIES
#define MAX_COPIES 1
#endif
#ifndef MAX_CHECKPOINTS
#define MAX_CHECKPOINTS 1
#endif
#ifndef MAX_ANSWERS
#define MAX_ANSWERS 2
#endif

#define CHAINS 3
#define LATE   2
#define NONE   255

/* Signed rolls. Roll 0 means no roll. */
byte rolls;                       /* number of signed rolls */
byte num[MAX_ROLLS + 1];          /* RollRecord.Number */
byte replaces[MAX_ROLLS + 1];     /* RollRecord.Replaces */

/* The log. asOf is NONE for a roll record and an offset for a checkpoint. */
byte logLen;
byte logRoll[MAX_LOG];
byte logAsOf[MAX_LOG];
byte truth[MAX_LOG];              /* the roll in force after the record */
byte winner[MAX_ROLLS + 1];       /* the roll that took effect after each roll */

/* Appends in transit; roll 0: none. */
byte outRoll[2];
byte outAsOf[2];
bool outWritten[2];
byte copies;
byte checkpoints;

/* Chain and logView. */
bool began[CHAINS];
bool settled[CHAINS];
byte start[CHAINS];
byte next[CHAINS];
byte current[CHAINS];             /* newest roll in the chain's view of the log */
byte inForce[CHAINS];
byte pendingRoll;                 /* a peer's checkpoint, at the late chain */
byte pendingAsOf;
bool hadCheckpoint;               /* the late chain read a checkpoint that covers its start */

/* A peer's response to FetchRoll, in transit to the late chain. */
byte answerRoll;
byte answerAsOf;
byte answers;

#define FOLLOWS(r, base) (num[r] == num[base] + 1 && replaces[r] == base)

/* put puts a roll in force. The roll number must never decrease. */
inline put(c, r) {
	assert(num[r] >= num[inForce[c]]);
	inForce[c] = r
}

/* promote puts the newest roll of the view in force, by the rules of Chain. */
inline promote(c) {
	if
	:: current[c] > 0 && num[current[c]] > num[inForce[c]] -> put(c, current[c])
	:: current[c] > 0 && num[current[c]] == num[inForce[c]] && settled[c] -> put(c, current[c])
	:: else
	fi;
	/* Settled chains that have read the same prefix of the log agree. */
	assert(!settled[c] || next[c] == 0 || current[c] == truth[next[c] - 1]);
	assert(!settled[c] || num[inForce[c]] > num[current[c]] || inForce[c] == current[c])
}

/* settle applies the rolls that were read after offset asOf to base. */
inline settle(c, asOf, base, end_) {
	if
	:: !settled[c] && began[c] && asOf + 1 >= start[c] ->
		r = base;
		i = asOf + 1;
		do
		:: i < end_ ->
			if
			:: logAsOf[i] == NONE && FOLLOWS(logRoll[i], r) -> r = logRoll[i]
			:: else
			fi;
			i++
		:: else -> break
		od;
		if
		:: num[r] >= num[current[c]] -> current[c] = r; settled[c] = true
		:: else
		fi;
		r = 0; i = 0
	:: else
	fi
}

inline settlePending(c, end_) {
	if
	:: c == LATE && pendingRoll > 0 && pendingAsOf < end_ ->
		settle(c, pendingAsOf, pendingRoll, end_);
		pendingRoll = 0; pendingAsOf = 0
	:: else
	fi
}

inline acceptHigher(c, x) {
	if
	:: num[x] > num[current[c]] -> current[c] = x
	:: else
	fi
}

#ifdef ANY_PREDECESSOR
#define IS_NEXT(x, c) (num[x] == num[current[c]] + 1)
#else
#ifdef LAST_WINS
#define IS_NEXT(x, c) (num[x] >= num[current[c]])
#else
#ifdef COPY_COUNTS
#define IS_NEXT(x, c) (FOLLOWS(x, current[c]) || (x) != current[c] && num[x] < num[current[c]])
#else
#define IS_NEXT(x, c) FOLLOWS(x, current[c])
#endif
#endif
#endif

/* applyRoll and applyCheckpoint for the record at next[c]. */
inline applyRecord(c, x, asOf) {
	if
#ifdef CHECKPOINT_AS_ROLL
	:: asOf != NONE && settled[c] -> acceptHigher(c, x); if :: num[x] == num[current[c]] || num[x] < num[current[c]] -> current[c] = x :: else fi
#endif
	:: asOf == NONE && settled[c] ->
		if
		:: IS_NEXT(x, c) ->
			current[c] = x;
			assert(winner[replaces[x]] == 0 || winner[replaces[x]] == x); /* one per predecessor */
			winner[replaces[x]] = x
		:: else /* a duplicate, or a conflict, which is reported to its operator */
		fi
	:: asOf == NONE && !settled[c] -> acceptHigher(c, x)
	:: asOf != NONE && !settled[c] ->
		settle(c, asOf, x, next[c]);
		if
#ifndef PREFIX_ONLY
		:: asOf + 1 >= start[c] -> hadCheckpoint = true
#endif
		:: else
		fi;
		if
		:: !settled[c] -> acceptHigher(c, x)
		:: else
		fi
	:: else
	fi
}

/* Apply. */
inline readNext(c) {
	if
	:: !began[c] -> began[c] = true; start[c] = next[c]; settled[c] = (next[c] == 0)
	:: else
	fi;
	settlePending(c, next[c]);
	applyRecord(c, logRoll[next[c]], logAsOf[next[c]]);
	next[c]++;
	promote(c)
}

/* write appends a record and updates truth by the definition of the chain. */
inline write(x, asOf) {
	logRoll[logLen] = x;
	logAsOf[logLen] = asOf;
	if
	:: logLen > 0 -> truth[logLen] = truth[logLen - 1]
	:: else
	fi;
	if
	:: asOf == NONE && FOLLOWS(x, truth[logLen]) -> truth[logLen] = x
	:: else
	fi;
	logLen++
}

/* A process that reads the log from its start, and an operator who signs rolls with it. */
proctype follower(byte c) {
	byte r, i;
end:	do
	:: atomic { next[c] < logLen -> readNext(c) }

	/* Sign: the roll that follows the newest one read so far. */
	:: atomic { rolls < MAX_ROLLS && outRoll[c] == 0 ->
		rolls++;
		num[rolls] = num[current[c]] + 1;
		replaces[rolls] = current[c];
		outRoll[c] = rolls;
		outAsOf[c] = NONE }

	/* Refresh: a checkpoint of the roll in force. */
	:: atomic { settled[c] && current[c] > 0 && outRoll[c] == 0 && checkpoints < MAX_CHECKPOINTS ->
		checkpoints++;
		outRoll[c] = current[c];
		outAsOf[c] = next[c] - 1 }

	/* The append reaches the log, possibly twice. */
	:: atomic { outRoll[c] > 0 && logLen < MAX_LOG && (!outWritten[c] || copies < MAX_COPIES) ->
		if
		:: outWritten[c] -> copies++
		:: else
		fi;
		write(outRoll[c], outAsOf[c]);
		if
		:: copies < MAX_COPIES -> outWritten[c] = true /* a duplicate may follow */
		:: outWritten[c] = false; outRoll[c] = 0; outAsOf[c] = 0
		fi }

	/* Records: the response to FetchRoll, with an offset (a checkpoint) if the
	 * newest roll of the settled view is in force. */
	:: atomic { inForce[c] > 0 && answerRoll == 0 && answers < MAX_ANSWERS ->
		answers++;
		answerRoll = inForce[c];
		if
		:: settled[c] && current[c] == inForce[c] && next[c] > 0 -> answerAsOf = next[c] - 1
		:: else -> answerAsOf = NONE
		fi }
	od
}

/* The process that starts late. */
proctype lateStarter() {
	byte r, i, lateRoll;
end:	do
	/* It starts at the oldest record in the log at that time. */
	:: atomic { next[LATE] < logLen ->
		do
		:: !began[LATE] && next[LATE] + 1 < logLen -> next[LATE]++
		:: break
		od;
		readNext(LATE) }
#ifdef SIGN_UNSETTLED
	/* An operator signs with the late chain. */
	:: atomic { rolls < MAX_ROLLS && began[LATE] && lateRoll == 0 ->
		rolls++;
		num[rolls] = num[current[LATE]] + 1;
		replaces[rolls] = current[LATE];
		lateRoll = rolls }
	:: atomic { lateRoll > 0 && logLen < MAX_LOG -> write(lateRoll, NONE); lateRoll = 0 }
#endif

	/* LoadPeer. */
	:: atomic { answerRoll > 0 ->
		if
		:: answerAsOf != NONE && !settled[LATE] ->
			pendingRoll = answerRoll; pendingAsOf = answerAsOf;
			if
			:: began[LATE] -> settlePending(LATE, next[LATE])
			:: else
			fi
		:: else
		fi;
#ifdef PEER_IN_LOG
		current[LATE] = answerRoll;
#endif
		if
		:: began[LATE] -> promote(LATE)
		:: else
		fi;
		if
#ifdef PEER_LOWER
		:: inForce[LATE] != answerRoll -> put(LATE, answerRoll)
#else
		:: num[answerRoll] > num[inForce[LATE]] -> put(LATE, answerRoll)
#endif
		:: else
		fi;
		answerRoll = 0; answerAsOf = 0 }

	/* A checkpoint that covers the late chain's start must have settled its view. */
#ifndef PREFIX_ONLY
	:: atomic { hadCheckpoint -> assert(settled[LATE]); hadCheckpoint = false }
#endif
	od
}

init {
	atomic {
		settled[0] = true; began[0] = true;
		settled[1] = true; began[1] = true;
		run follower(0);
		run follower(1);
		run lateStarter()
	}
}
