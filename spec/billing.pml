/*
 * Bills on their way to the platform.
 *
 * The origin forms a batch for each request, has copies held by two other
 * daemons, and answers the request once both copies are acknowledged or the
 * batch is known to be at the platform. Origin and holders all write the
 * batch under its one identity, created if absent. Writes may be lost, take
 * effect late, or take effect without an answer. Each of the three may be
 * killed, and the platform may be away, at any moment. A holder that is gone
 * is not waited for while the platform cannot be reached either.
 *
 * Invariants, by name:
 *   billed-once   a request has at most one record at the platform
 *   bill-kept     an answered request without a record has its bill at the
 *                 origin or a holder, unless all three have been killed
 */

#define REQUESTS 2
#define HOLDERS 2
#define WRITES 2        /* writes of one batch that are under way at a time */

mtype = { forming, formed, written };

mtype state[REQUESTS] = forming;
bool at_origin[REQUESTS];
bool answered[REQUESTS];
byte under_way[REQUESTS];
byte records[REQUESTS];

typedef copies {
	bool at[HOLDERS];       /* the holder has the batch */
	bool told[HOLDERS];     /* the origin knows that it had */
};
copies copy[REQUESTS];

bool origin_up = true;
bool holder_up[HOLDERS] = true;
bool platform_up = true;

#define kept(r) (at_origin[r] || copy[r].at[0] || copy[r].at[1])
#define all_killed (!origin_up && !holder_up[0] && !holder_up[1])

/* A copy that need not be waited for. */
#define settled(r, h) (copy[r].told[h] || (!holder_up[h] && !platform_up))

inline check(r) {
	assert(records[r] <= 1);        /* billed-once */
#ifdef WITNESS_LOST
	assert(!answered[r] || records[r] > 0 || kept(r));
#else
	assert(!answered[r] || records[r] > 0 || kept(r) || all_killed);        /* bill-kept */
#endif
#ifdef WITNESS_HOLDER
	/* A bill that is left with one holder only. */
	assert(!(answered[r] && records[r] == 0 && !origin_up && !holder_up[0] && copy[r].at[1]));
#endif
}

inline send_write(r) {
	if
	:: under_way[r] < WRITES -> under_way[r]++
	:: else
	fi
}

/* The origin tells both holders to drop their copies; either may not hear. */
inline drop(r) {
	at_origin[r] = false;
	if
	:: copy[r].at[0] = false
	:: skip
	fi;
	if
	:: copy[r].at[1] = false
	:: skip
	fi
}

inline have_copied(r, h) {
	copy[r].at[h] = true;
	if
	:: copy[r].told[h] = true
	:: skip                 /* the acknowledgement is lost */
	fi
}

active [REQUESTS] proctype request() {
	byte r = _pid;

	do
	:: atomic { origin_up && state[r] == forming -> at_origin[r] = true; state[r] = formed; check(r) }
	:: atomic { origin_up && holder_up[0] && state[r] == formed && !copy[r].told[0] -> have_copied(r, 0); check(r) }
	:: atomic { origin_up && holder_up[1] && state[r] == formed && !copy[r].told[1] -> have_copied(r, 1); check(r) }
	:: atomic { origin_up && at_origin[r] -> send_write(r); check(r) }
	:: atomic { origin_up && at_origin[r] && platform_up && records[r] > 0 ->
		drop(r);
		state[r] = written;
		check(r) }
#ifdef DROP_BEFORE_WRITTEN
	:: atomic { origin_up && at_origin[r] && under_way[r] > 0 -> drop(r); check(r) }
#endif
	:: atomic { origin_up && !answered[r] && state[r] == written -> answered[r] = true; check(r) }
	:: atomic { origin_up && !answered[r] && state[r] == formed && settled(r, 0) && settled(r, 1) ->
		answered[r] = true; check(r) }
#ifdef ANSWER_BEFORE_COPY
	:: atomic { origin_up && !answered[r] && state[r] == formed -> answered[r] = true; check(r) }
#endif
#ifdef ANSWER_AFTER_ONE_COPY
	:: atomic { origin_up && !answered[r] && state[r] == formed && (copy[r].told[0] || copy[r].told[1]) ->
		answered[r] = true; check(r) }
#endif
	:: atomic { holder_up[0] && copy[r].at[0] -> send_write(r); check(r) }
	:: atomic { holder_up[1] && copy[r].at[1] -> send_write(r); check(r) }
	:: atomic { holder_up[0] && copy[r].at[0] && platform_up && records[r] > 0 -> copy[r].at[0] = false; check(r) }
	:: atomic { holder_up[1] && copy[r].at[1] && platform_up && records[r] > 0 -> copy[r].at[1] = false; check(r) }
	:: atomic { platform_up && under_way[r] > 0 ->
		under_way[r]--;
#ifdef WRITE_WITHOUT_COMPARE
		records[r]++;
#else
		if
		:: records[r] == 0 -> records[r]++
		:: else
		fi;
#endif
		check(r) }
	:: atomic { under_way[r] > 0 -> under_way[r]--; check(r) }      /* lost */
	od
}

inline kill_holder(h) {
	holder_up[h] = false;
	for (i : 0 .. REQUESTS - 1) { copy[i].at[h] = false; check(i) }
}

active proctype faults() {
	byte i;

	do
	:: atomic { origin_up ->
		origin_up = false;
		for (i : 0 .. REQUESTS - 1) { at_origin[i] = false; check(i) } }
	:: atomic { holder_up[0] -> kill_holder(0) }
	:: atomic { holder_up[1] -> kill_holder(1) }
	:: platform_up = !platform_up
	od
}
