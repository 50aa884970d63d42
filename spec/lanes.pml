/*
 * Records of a cell in several partitions of the log (lanes). The holder writes to one
 * lane. When an append gets no response, it changes to another lane, after it has added
 * that lane to its claim. A new holder fences all lanes in the claim, reads them, and
 * uses the record with the highest version. Checked for one key: no acknowledged record
 * is lost, none is acknowledged after the new holder has fenced all lanes, and a dropped
 * key does not reappear.
 *
 * Holder and cell are meant as in internal/cell and internal/entry.
 *
 * Mutants (-D macros), each of which the checker must reject: OPEN_UNCLAIMED, FENCE_ONE,
 * FIRST_LANE_COUNTS, DROP_NEWEST_FIRST.
 */
#ifndef WRITES
#define WRITES 3
#endif
#define LANES 2

byte newest[LANES];             /* version of the key in a lane; 0: none */
byte epoch[LANES];              /* lowest token that a lane accepts */
byte late[LANES];               /* version of an append without a response, which may still take effect; 0: none */
byte claimed = 1;               /* token of the newest claim */
bool names[LANES];              /* lanes that the claim lists */
byte acked;                     /* highest acknowledged version */
bool dropping;                  /* the holder has begun to drop the key */
bool dropped;                   /* the drop was acknowledged */
bool fenced;                    /* the new holder has fenced all lanes */

#define DELIVER(l) if :: epoch[l] <= 1 -> newest[l] = late[l] :: else fi; late[l] = 0

/* An append without a response takes effect later, unless the lane is fenced by then. */
active proctype Network() {
end:
	do
	:: atomic { late[0] != 0 -> DELIVER(0) }
	:: atomic { late[1] != 0 -> DELIVER(1) }
	od
}

active proctype Holder() {
	byte lane, version = 1, old;
	bool lost;
	do
	:: version <= WRITES && !lost ->
		if
		:: atomic { epoch[lane] <= 1 && late[lane] == 0 ->
			newest[lane] = version; assert(!fenced); acked = version; version++ }
		:: atomic { epoch[lane] > 1 -> lost = true }
		:: atomic { late[lane] == 0 -> late[lane] = version } ->
			/* no response: the same record is appended to the other lane */
#ifndef OPEN_UNCLAIMED
			if
			:: atomic { claimed == 1 -> names[1 - lane] = true }
			:: atomic { claimed != 1 -> lost = true }
			fi;
#endif
			lane = 1 - lane
		:: atomic { late[lane] != 0 && epoch[lane] <= 1 ->
			/* the append without a response is repeated before the next one */
			newest[lane] = late[lane]; late[lane] = 0 }
		fi
	:: version > WRITES && !dropping && !lost ->
		dropping = true;
		old = 1 - lane;
#ifdef DROP_NEWEST_FIRST
		old = lane;
#endif
end_old:	if
		:: atomic { epoch[old] <= 1 && late[old] == 0 -> newest[old] = 0 }
		:: atomic { epoch[old] > 1 -> lost = true }
		fi;
end_new:	if
		:: lost
		:: atomic { !lost && epoch[1 - old] <= 1 && late[1 - old] == 0 ->
			newest[1 - old] = 0; assert(!fenced); dropped = true }
		:: atomic { !lost && epoch[1 - old] > 1 -> lost = true }
		fi
	:: lost || dropping -> break
	od
}

active proctype NewHolder() {
	byte l, value, best;
	bool named[LANES];
	atomic {
		claimed = 2;
		named[0] = true;
		named[1] = names[1]
	}
	for (l : 0 .. LANES - 1) {
		if
#ifdef FENCE_ONE
		:: l == 0 -> epoch[l] = 2
		:: else
#else
		:: named[l] -> epoch[l] = 2
		:: !named[l]
#endif
		fi
	}
	fenced = true;
	for (l : 0 .. LANES - 1) {
		if
		:: named[l] -> value = newest[l]
		:: !named[l] -> value = 0
		fi;
		if
#ifdef FIRST_LANE_COUNTS
		:: best == 0 -> best = value
#else
		:: value > best -> best = value
#endif
		:: else
		fi
	}
	assert(best >= acked || dropping);
	assert(best == 0 || best >= acked);
	assert(!dropped || best == 0)
}
