/*
 * Bills on their way to the platform.
 *
 * The origin forms a batch for each request, has a copy held by another
 * daemon, and answers the request once the copy is acknowledged or the batch
 * is known to be at the platform. Origin and holder both write the batch
 * under its one identity, created if absent. Writes may be lost, take effect
 * late, or take effect without an answer. Origin and holder may each be
 * killed, and the platform may be away, at any moment. While neither holder
 * nor platform can be reached the origin answers without a copy.
 *
 * Invariants, by name:
 *   billed-once   a request has at most one record at the platform
 *   bill-kept     an answered request without a record has its bill at the
 *                 origin or the holder, unless both have been killed, or the
 *                 origin has and no copy could be made before the answer
 */

#define REQUESTS 2
#define WRITES 2        /* writes of one batch that are under way at a time */

mtype = { forming, formed, copied, written };

mtype state[REQUESTS] = forming;
bool at_origin[REQUESTS];
bool at_holder[REQUESTS];
bool answered[REQUESTS];
bool unsafe[REQUESTS];  /* answered without a copy */
byte under_way[REQUESTS];
byte records[REQUESTS];

bool origin_up = true;
bool holder_up = true;
bool platform_up = true;

inline check(r) {
	assert(records[r] <= 1);        /* billed-once */
#ifdef WITNESS_LOST
	assert(!answered[r] || records[r] > 0 || at_origin[r] || at_holder[r]);
#else
	assert(!answered[r] || records[r] > 0 || at_origin[r] || at_holder[r] ||
	       (!origin_up && (!holder_up || unsafe[r])));      /* bill-kept */
#endif
#ifdef WITNESS_HOLDER
	/* A record that only the holder can have written. */
	assert(!(records[r] > 0 && !origin_up && at_holder[r] && state[r] == copied));
#endif
}

inline send_write(r) {
	if
	:: under_way[r] < WRITES -> under_way[r]++
	:: else
	fi
}

active [REQUESTS] proctype request() {
	byte r = _pid;

	do
	:: atomic { origin_up && state[r] == forming -> at_origin[r] = true; state[r] = formed; check(r) }
	:: atomic { origin_up && holder_up && state[r] == formed ->
		at_holder[r] = true;
		if
		:: state[r] = copied
		:: skip                 /* the acknowledgement is lost */
		fi;
		check(r) }
	:: atomic { origin_up && at_origin[r] -> send_write(r); check(r) }
	:: atomic { origin_up && at_origin[r] && platform_up && records[r] > 0 ->
		at_origin[r] = false;
		at_holder[r] = false;   /* the holder is told to drop the copy */
		state[r] = written;
		check(r) }
#ifdef DROP_BEFORE_WRITTEN
	:: atomic { origin_up && at_origin[r] && under_way[r] > 0 ->
		at_origin[r] = false; at_holder[r] = false; check(r) }
#endif
	:: atomic { origin_up && !answered[r] && (state[r] == copied || state[r] == written) ->
		answered[r] = true; check(r) }
	:: atomic { origin_up && !answered[r] && state[r] == formed && !holder_up && !platform_up ->
		answered[r] = true; unsafe[r] = true; check(r) }
#ifdef ANSWER_BEFORE_COPY
	:: atomic { origin_up && !answered[r] && state[r] == formed -> answered[r] = true; check(r) }
#endif
	:: atomic { holder_up && at_holder[r] -> send_write(r); check(r) }
	:: atomic { holder_up && at_holder[r] && platform_up && records[r] > 0 -> at_holder[r] = false; check(r) }
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

active proctype faults() {
	byte i;

	do
	:: atomic { origin_up ->
		origin_up = false;
		for (i : 0 .. REQUESTS - 1) { at_origin[i] = false; check(i) } }
	:: atomic { holder_up ->
		holder_up = false;
		for (i : 0 .. REQUESTS - 1) { at_holder[i] = false; check(i) } }
	:: platform_up = !platform_up
	od
}
