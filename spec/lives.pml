/*
 * Orders to a worker that restarts under its ID (internal/entry: session.go, tokens.go;
 * internal/cell: listing.go). An order without an answer may be carried out at any later
 * time, by any incarnation that has seen no higher token. Checked for one task: no two
 * runs of it at once, on the worker and elsewhere, and no start after the end of a run
 * that was done has been acknowledged.
 *
 * Time is abstracted. A run may lose its lease at any time. When the holder takes the
 * lease of the known incarnation for expired, a run there has ended, and starts meant for
 * it come too late there; no start or renewal waits for an answer then. When the longest
 * lease after the last order has passed, no run is left on the worker.
 *
 * Assumption BOUND: an incarnation that the holder does not know carries out a start only
 * while the attempt is open and no listing that closes it is on its way, and a renewal
 * with an acknowledgement only before a run has ended there. The code does not ensure
 * this: the contract sets no limit to the delay of an order, and an incarnation that has
 * seen no token refuses none. Without one part of it (LATE_START, LATE_ACK) the checker
 * finds a breach.
 *
 * Mutants (-D macros), each of which the checker must reject: SAME_TOKEN, LIST_AT_ONCE,
 * FORGET_UNANSWERED, ANSWER_OF_KNOWN, LATE_START, LATE_ACK, and these, which are in the
 * code: STOP_CLOSES (LeaseExpired closes an unanswered start whose stop was answered),
 * LEASE_FROM_ANSWER (otherLifeUntil allows for no order that is carried out after the
 * answer to the start), CLEAR_OTHER (a listing that was requested before that answer
 * clears otherLifeUntil), DROP_OTHER (recordOtherLife drops the answer if the incarnation
 * that is known by then is not the one that the start was meant for). NEVER_DONE is
 * rejected because the holder can learn that the task is done after all restarts.
 */
#ifndef RESTARTS
#define RESTARTS 2
#endif
#ifndef RUNS
#define RUNS 3
#endif
#define MAX_TOKEN (RESTARTS + 2)
#define MAX(a, b) ((a) > (b) -> (a) : (b))

mtype = { NONE, SENT, ANSWERED, STARTING, UNANSWERED, ACCEPTED, REFUSED };

/* The present incarnation of the worker. */
byte inc = 1, seen, running;
byte highest;                   /* run that was stopped or has ended */
byte ends, doneEnd, acked;      /* ends so far, number of the done one, acknowledged */

bool away;                      /* a run elsewhere */
bool finished;                  /* the end of a done run was acknowledged */

/* The holder. */
byte token = 1, known = 1, ack, nextRun = 1;
bool answering = true, effective, done;
byte registered;                /* incarnation that the registry named */
byte expired;                   /* incarnation whose lease was taken for expired */
byte other;                     /* incarnation that answered a start and is not listed */
bool later;                     /* an order has prolonged its lease after that */
bool waiting;                   /* for the longest lease after the last order */
bool unknown;                   /* the last listing named a run without an attempt */
byte open;                      /* run of the open attempt on the worker; 0: none */
mtype phase = NONE;             /* of that attempt */
byte sentToken, sentFor;        /* terms of its start */
bool stopAnswered;

/* Orders that may still be carried out, and answers on their way. */
byte startToken[RUNS + 1], startFor[RUNS + 1];
mtype answer = NONE; byte answerBy; /* to the start of the open attempt */
bool stopAnswer;
mtype renewal = NONE;           /* the one that the holder waits for */
byte rToken, rAck, rSure, rOther; bool rEffective;
byte rInc, rRunning, rEnds; bool rDone; /* its answer */
byte oldToken, oldAck;          /* a renewal that timed out */

#if defined(LATE_START)
#define START_BOUND true
#else
#define START_BOUND (inc == known || open == r && !(renewal == ANSWERED && rSure == r))
#endif
#if defined(LATE_ACK)
#define ACK_BOUND(a) true
#else
#define ACK_BOUND(a) (inc == known || a == 0 || ends == 0)
#endif

inline check_start() { assert(!away && running == 0 && !finished) }

inline end_run() { ends++; highest = running; running = 0 }

/* prolong gives all runs a lease. */
inline prolong() {
#ifdef LEASE_FROM_ANSWER
	later = (later || other == inc)
#else
	skip
#endif
}

inline acknowledge(a) {
	acked = MAX(acked, (a < ends -> a : ends));
	finished = (finished || doneEnd != 0 && doneEnd <= acked)
}

active proctype Worker() {
	byte r;
end:	do
	:: atomic { inc <= RESTARTS ->
		inc++; seen = 0; running = 0; highest = 0; ends = 0; doneEnd = 0; acked = 0 }
	:: atomic { running != 0 -> end_run(); if :: doneEnd = ends :: skip fi }
	:: atomic { /* a start */
		select(r : 1 .. RUNS);
		if
		:: startToken[r] != 0 && START_BOUND ->
			if :: open == r && phase == STARTING -> answer = REFUSED; answerBy = inc :: else fi;
			if
			:: startToken[r] >= seen ->
				seen = startToken[r];
				prolong();
				if
				:: r > highest && !(startFor[r] == inc && expired == inc) ->
					check_start();
					running = r;
					if :: answer != NONE && open == r -> answer = ACCEPTED :: else fi
				:: else
				fi
			:: else
			fi;
			startToken[r] = 0; startFor[r] = 0;
			if :: open == r -> if :: skip :: answer = NONE; answerBy = 0 fi :: else fi /* lost */
		:: else
		fi;
		r = 0 }
	:: atomic { renewal == SENT && rToken >= seen && ACK_BOUND(rAck) ->
		seen = rToken; acknowledge(rAck);
		if :: rEffective -> prolong() :: else fi;
		renewal = ANSWERED; rInc = inc; rRunning = running; rEnds = ends; rDone = (doneEnd > acked) }
	:: atomic { oldToken != 0 && ACK_BOUND(oldAck) ->
		if :: oldToken >= seen -> seen = oldToken; acknowledge(oldAck); prolong() :: else fi;
		oldToken = 0; oldAck = 0 }
	:: atomic { phase == UNANSWERED && !stopAnswered && !stopAnswer && token >= seen ->
		seen = token;           /* a stop, which is repeated until it is answered */
		if :: running == open -> end_run() :: else fi;
		highest = MAX(highest, open);
		if :: stopAnswer = true :: skip fi }
	od
}

inline close() {
	open = 0; phase = NONE; sentToken = 0; sentFor = 0;
	stopAnswered = false; stopAnswer = false; answer = NONE; answerBy = 0
}

inline forget_renewal() {
	renewal = NONE; rToken = 0; rAck = 0; rSure = 0; rOther = 0; rEffective = false;
	rInc = 0; rRunning = 0; rEnds = 0; rDone = false
}

/* abort ends the wait for a renewal, which may still be carried out. */
inline abort() {
	answering = false;
	if
	:: renewal == SENT && rEffective && oldToken == 0 -> oldToken = rToken; oldAck = rAck
	:: skip
	fi;
	forget_renewal()
}

inline advance() {
	answering = false;
	if
	:: token < MAX_TOKEN -> effective = false;
#ifndef SAME_TOKEN
		token++
#endif
	:: else
	fi
}

inline use_listing() {
	answering = true; waiting = false;
#ifdef CLEAR_OTHER
	other = 0; later = false;
#else
	if :: other == rOther -> other = 0; later = false :: else fi;
#endif
	if :: known != rInc -> known = rInc; expired = 0 :: else fi;
	ack = rEnds;                    /* the ends are stored */
	if
	:: rDone -> done = true; close()
	:: else ->
		if
		:: open != 0 && rRunning == open && phase == STARTING ->
			phase = ACCEPTED; answer = NONE; answerBy = 0
		:: open != 0 && rRunning != open && rSure == open -> close()
		:: open == 0 && rRunning != 0 && !away && !done -> open = rRunning; phase = ACCEPTED
		:: else
		fi
	fi;
	unknown = (rRunning != 0 && rRunning != open)
}

#define PLACEABLE (!done && open == 0 && !away && !unknown && nextRun <= RUNS)

active proctype Holder() {
end:	do
	:: atomic { PLACEABLE && answering ->
		open = nextRun; phase = STARTING; nextRun++;
		sentToken = token; sentFor = known; effective = true;
		startToken[open] = token; startFor[open] = known }
	:: atomic { PLACEABLE -> check_start(); away = true; nextRun++ }
	:: atomic { away -> away = false; if :: done = true :: skip fi }
	:: atomic { phase == STARTING && answer != NONE ->
		if
#if defined(ANSWER_OF_KNOWN)
		:: false
#elif defined(DROP_OTHER)
		:: answerBy != sentFor && known == sentFor ->
#else
		:: answerBy != sentFor && answerBy != known ->
#endif
			other = answerBy; later = false;
			if :: token == sentToken -> advance(); abort() :: else fi
		:: else
		fi;
		if
		:: answer == ACCEPTED -> phase = ACCEPTED; answer = NONE; answerBy = 0
		:: else -> close()
		fi }
	:: atomic { phase == STARTING -> phase = UNANSWERED; answer = NONE; answerBy = 0 }
	:: atomic { stopAnswer -> stopAnswer = false; stopAnswered = true }
	:: atomic { renewal == NONE ->
		renewal = SENT; rToken = token; rOther = other;
		rSure = (phase == ACCEPTED || stopAnswered -> open : 0);
		if :: answering -> rAck = ack; rEffective = true; effective = true :: else fi }
	:: atomic { renewal != NONE -> abort() }
	:: atomic { renewal == ANSWERED ->
		if
		:: rInc != known && effective ->
#ifdef LIST_AT_ONCE
			use_listing(); token++; effective = false
#else
			advance()
#endif
		:: else -> use_listing()
		fi;
		forget_renewal();
#ifdef NEVER_DONE
		assert(!done || inc <= RESTARTS)
#endif
		}
	:: atomic { answering && inc > known && inc > registered -> /* the registry names it */
		registered = inc; advance(); abort() }
	:: atomic { !answering && renewal == NONE && expired != known && phase != STARTING ->
		expired = known;        /* LeaseExpired */
		if
		:: running != 0 && (inc == known || inc == other && !later) -> end_run()
		:: else
		fi;
		other = 0; later = false; unknown = false;
		if
		:: phase == ACCEPTED -> close()
#if defined(FORGET_UNANSWERED)
		:: phase == UNANSWERED -> close()
#elif defined(STOP_CLOSES)
		:: phase == UNANSWERED -> if :: stopAnswered -> close() :: else -> waiting = true fi
#else
		:: phase == UNANSWERED -> waiting = true
#endif
		:: else
		fi }
	:: atomic { waiting && open != 0 -> /* releaseUnanswered */
		waiting = false; close();
		if :: running != 0 -> end_run() :: else fi }
	od
}
