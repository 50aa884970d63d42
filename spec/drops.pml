/*
 * The drop of a key that two lanes hold. One holder has changed its lane, so that one lane
 * holds the record of an accepted job and the other the record of its end. The next holder
 * writes to lane 0 again, drops the key, and may accept a job under the same key meanwhile. A
 * further holder may take over at any time. Checked: it never finds the older record to be
 * the newest, and it finds the job that was accepted again.
 *
 * Holder and cell are meant as in internal/cell and internal/entry.
 *
 * Mutants (-D macros), each of which the checker must reject: CURRENT_LAST, SWEEP_WRITTEN.
 */
#define ACCEPTED 1
#define ENDED 2
#define AGAIN 3                 /* accepted again under the same key */

byte newest[2];                 /* version of the key in a lane; 0: none */
bool again;                     /* the second acceptance was acknowledged */
bool fenced;                    /* the further holder has fenced both lanes */

#ifdef CURRENT_LAST
#define MAY_DROP(l) (l == 1 || newest[1] == 0)
#else
#define MAY_DROP(l) (newest[1 - l] == 0 || newest[1 - l] > newest[l])
#endif

active proctype Holder() {
	bool sweeping = true;
	atomic {
		if
		:: newest[0] = ACCEPTED; newest[1] = ENDED
		:: newest[0] = ENDED; newest[1] = ACCEPTED
		fi
	}
end:	do
	:: fenced -> break
	:: atomic { !fenced && sweeping && newest[0] != 0 && MAY_DROP(0) -> newest[0] = 0 }
	:: atomic { !fenced && sweeping && newest[1] != 0 && MAY_DROP(1) -> newest[1] = 0 }
	:: atomic { !fenced && !again -> newest[0] = AGAIN; again = true;
#ifndef SWEEP_WRITTEN
			sweeping = false
#endif
		}
	od
}

active proctype NewHolder() {
	byte best;
	atomic { newest[0] != 0 || newest[1] != 0 || again -> fenced = true }
	best = (newest[0] > newest[1] -> newest[0] : newest[1]);
	assert(best != ACCEPTED);
	assert(!again || best == AGAIN)
}
