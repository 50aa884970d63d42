/*
 * Terms of a process as the holder of a cell (internal/entry: agent.run, agent.claim,
 * holder.releaseClaim, recordWriter). Each term numbers its appends from 1, and the log
 * answers a number that it has seen from the same token without storing the records.
 * A release may fail, after which the process finds its own claim in the log. Checked:
 * a record is stored when it is acknowledged, and only the newest claimant stores one.
 *
 * Mutants (-D macros), each of which the checker must reject: SAME_TOKEN, NO_FENCE.
 */
#define PROCESSES 2
#ifndef TERMS
#define TERMS 3                 /* of all processes */
#endif
#ifndef WRITES
#define WRITES 2                /* in each term */
#endif

byte claimed;                   /* token of the newest claim */
byte holder;                    /* process that the newest claim names; 0: released */
byte terms;
byte epoch;                     /* lowest token that the log accepts */
byte sequence;                  /* highest sequence number of that token */
byte owner;                     /* process that fenced the log last */

proctype Process(byte self) {
	byte token, next, served;
	bool lost;
end:
	do
	:: atomic {
		terms < TERMS && (holder != self || token == served) ->
#ifdef SAME_TOKEN
		if
		:: holder != self -> claimed++; holder = self; token = claimed
		:: else -> token = claimed
		fi;
#else
		claimed++;
		holder = self;
		token = claimed;
#endif
		terms++
	   };
#ifndef NO_FENCE
	   atomic {
		lost = (epoch > token);
		if
		:: epoch < token -> epoch = token; sequence = 0; owner = self
		:: else
		fi
	   };
#endif
	   next = 1;
	   do
	   :: !lost && next <= WRITES ->
		atomic {
			if
			:: epoch > token -> lost = true
			:: epoch <= token && next <= sequence ->
				assert(false)   /* acknowledged as a repeat, and not stored */
			:: else ->
				assert(owner == self);
				sequence = next;
				next++
			fi
		}
	   :: lost || next > 1 -> break
	   od;
	   served = token;
	   atomic {
		if
		:: holder == self && claimed == token -> holder = 0  /* released */
		:: true                                              /* the release failed */
		fi
	   }
	od
}

init {
	byte i;
	atomic {
		for (i : 1 .. PROCESSES) { run Process(i) }
	}
}
