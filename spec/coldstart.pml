/*
 * What reaches a cold endpoint while its ownership moves.
 *
 * Daemons use parts of the endpoint's slots. The parts change in any way
 * that ownership.pml allows: they never add up to more than the endpoint
 * bears. What a daemon started under a larger part goes on running under a
 * smaller one, also after the daemon was killed. A daemon uses a new or larger
 * part once it has a load report that was made after the growth, and may go on
 * with that report for any time.
 *
 * There are two daemons, of which either may own the whole; with TRIO there is a
 * third that only has a part in doubt.
 *
 * Invariant, by name:
 *   bounded-cold-start   at most BEARS attempts run at the endpoint
 */

#ifdef TRIO
#define BEARS 8
#define THIRD true
#else
#define BEARS 4
#define THIRD false
#endif
#define HALF (BEARS / 2)

byte part[3];           /* slots that each daemon may use */
byte running[3];
byte seen[3];           /* what others ran when the last report was made */
bool informed[3];       /* that report was made after the part grew */

#define OTHERS(d) (running[((d) + 1) % 3] + running[((d) + 2) % 3])

/*
 * Others' attempts count against the own part, so that a daemon in doubt starts
 * nothing while the former owner still runs more than it may.
 */
#if defined(IGNORE_OTHERS)
#define ROOM(d) true
#elif defined(WHOLE_ROOM_IN_DOUBT)
#define ROOM(d) (running[d] + seen[d] < BEARS)
#else
#define ROOM(d) (running[d] + seen[d] < part[d])
#endif

inline set(d, p) {
	if
	:: p > part[d] ->
#ifdef NO_WAIT_ON_TAKEOVER
		skip
#else
		informed[d] = false;
		seen[d] = 0
#endif
	:: else
	fi;
	part[d] = p
}

inline step(d) {
	if
	:: part[d] > running[d] && informed[d] && ROOM(d) ->
		running[d]++;
		assert(running[0] + running[1] + running[2] <= BEARS)   /* bounded-cold-start */
	:: running[d] > 0 -> running[d]--
	:: seen[d] = OTHERS(d); informed[d] = true
	fi
}

active proctype Domain() {
end:	do
	:: atomic { step(0) }
	:: atomic { step(1) }
	:: atomic { THIRD -> step(2) }
	/* The first rank: the whole, half in doubt, nothing once it is killed. */
	:: atomic { part[0] != 0 -> set(0, 0) }
	:: atomic { part[0] != HALF && part[1] != BEARS -> set(0, HALF) }
	:: atomic { part[0] != BEARS && part[1] == 0 && part[2] == 0 -> set(0, BEARS) }
	/* The second: nothing, a quarter in doubt, the whole after the first. */
	:: atomic { part[1] != 0 -> set(1, 0) }
	:: atomic { part[1] != HALF / 2 && part[0] != BEARS -> set(1, HALF / 2) }
	:: atomic { part[1] != BEARS && part[0] == 0 && part[2] == 0 -> set(1, BEARS) }
	/* The third: nothing, or an eighth in doubt. */
	:: atomic { part[2] != 0 -> set(2, 0) }
	:: atomic { THIRD && part[2] == 0 && part[0] != BEARS && part[1] != BEARS -> set(2, 1) }
#ifdef WITNESS_FULL
	/* The former owner's last work ends while the next one starts. */
	:: atomic { running[0] == 1 && running[1] == BEARS - 1 -> assert(false) }
#endif
#ifdef WITNESS_DOUBT
	:: atomic { part[0] == HALF && running[0] > 0 && running[1] > 0 && (!THIRD || running[2] > 0) -> assert(false) }
#endif
	od
}
