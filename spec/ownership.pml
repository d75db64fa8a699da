/*
 * Which daemon of a failure domain owns an endpoint, and what part of its
 * cold slots each may use: the state machine of ownership.Table.
 *
 * Daemons rank in the order of their numbers for the endpoint. They exchange
 * heartbeats and acknowledgements, which are lost or, for acknowledgements,
 * arrive late; time is discrete. A daemon acts at any time or not at all, so
 * that pauses and partitions of every kind are included, and is killed and
 * replaced with nothing kept. The waits for load reports are left out here,
 * which only lets daemons use their part earlier; coldstart.pml has them.
 *
 * Invariants, by name:
 *   bounded-permits   the cold slots that daemons may use add up to at most
 *                     what the endpoint bears
 *   single-owner      while one daemon may use them all, no other may use any
 *
 * There are two daemons that join, are replaced three times in all, and the
 * clock of daemon 0 strays by a unit. With TRIO there are three daemons that
 * have joined; one of them is killed and replaced.
 */

#define N 3
#define BEARS 8
#ifdef TRIO
#define TAKEOVER 2
#define LEASE 1
#define KILLS 1
#define PRESENT(i) true
#define REPLACED true
#define SKEW 0
#else
#define TAKEOVER 3
#define LEASE 2
#define KILLS 3
#define PRESENT(i) ((i) < 2)
#define REPLACED true
#define SKEW 1
#endif

#ifdef LEASE_AS_LONG_AS_TAKEOVER
#undef LEASE
#define LEASE TAKEOVER
#endif
#ifdef LEASE_LONGER_THAN_TAKEOVER
#undef LEASE
#define LEASE (TAKEOVER + 1)
#endif
#ifdef LEASE_FROM_ACK
#define MAX_AGE TAKEOVER
#else
#define MAX_AGE (LEASE - 1)
#endif

#define IX(i, q) ((i) * N + (q))

/* State of daemon i. Times count down to zero by its own clock. */
bool up[N];
bool joined[N];
byte ready_in[N];
byte start_in[N];       /* time until it counts as started for long */
bool lag;               /* the clock of daemon 0 is one unit behind */
byte kills = 0;

/* What daemon i knows of daemon q. */
byte heard[N * N];      /* time until q counts as silent */
bool q_joined[N * N];   /* q said that it had joined */
bool gone[N * N];
bool known[N * N];      /* i has heard of q's present process */
bool acked[N * N];      /* q knows of i */
byte lease[N * N];      /* time until q's promise to i ends */
byte flight[N * N];     /* q's answer to i: 0, or 1 + joined + 2 * age */

#define ALIVE(i, q) (!gone[IX(i, q)] && heard[IX(i, q)] > 0)
#define ANY2(i, a, b) ((ALIVE(i, a) && q_joined[IX(i, a)]) || (ALIVE(i, b) && q_joined[IX(i, b)]))
#define ANY_JOINED(i) ANY2(i, (i + 1) % N, (i + 2) % N)
#define PROMISED(i, q) (lease[IX(i, q)] > 0)

/* Every daemon that i holds to be alive has promised. */
#define ALIVE_PROMISED(i) ((!ALIVE(i, (i + 1) % N) || PROMISED(i, (i + 1) % N)) && \
	(!ALIVE(i, (i + 2) % N) || PROMISED(i, (i + 2) % N)))
/* Every daemon that is not gone has promised. */
#define FRESH(i) ((gone[IX(i, (i + 1) % N)] || PROMISED(i, (i + 1) % N)) && \
	(gone[IX(i, (i + 2) % N)] || PROMISED(i, (i + 2) % N)))

#define READY(i) ((joined[i] && (ready_in[i] == 0 || ALIVE_PROMISED(i))) || \
	(!joined[i] && start_in[i] == 0 && !ANY_JOINED(i)))
/* q ranks before i and is a better claimant, as i sees it. */
#define BEFORE(i, q) (q < i && ALIVE(i, q) && (q_joined[IX(i, q)] || !(joined[i] || ANY_JOINED(i))))
#define HELD(i) (up[i] && READY(i) && !BEFORE(i, 0) && !BEFORE(i, 1))

#define RANK1 (gone[IX(1, 0)] -> 0 : 1)
#define RANK2 ((gone[IX(2, 0)] -> 0 : 1) + (gone[IX(2, 1)] -> 0 : 1))

#if defined(UNHALVED)
#define DOUBTFUL(r) BEARS
#elif defined(UNRANKED)
#define DOUBTFUL(r) (BEARS >> 1)
#else
#define DOUBTFUL(r) (BEARS >> ((r) + 1))
#endif
#define PART(i, r) ((HELD(i) && joined[i]) -> (((r) == 0 && FRESH(i)) -> BEARS : DOUBTFUL(r)) : 0)
#define PART0 PART(0, 0)
#define PART1 PART(1, RANK1)
#define PART2 PART(2, RANK2)

inline check() {
	assert(PART0 + PART1 + PART2 <= BEARS)  /* bounded-permits, single-owner */
}

inline join(i) {
	if
	:: up[i] && !joined[i] &&
#ifndef JOIN_WITHOUT_ACKS
	   (gone[IX(i, (i + 1) % N)] || acked[IX(i, (i + 1) % N)]) &&
	   (gone[IX(i, (i + 2) % N)] || acked[IX(i, (i + 2) % N)]) &&
#endif
	   true ->
		joined[i] = true;
		/* What follows is not read again while i has joined. */
		acked[IX(i, (i + 1) % N)] = false;
		acked[IX(i, (i + 2) % N)] = false;
#ifdef NO_WAIT_AFTER_JOIN
		ready_in[i] = 0
#else
		ready_in[i] = TAKEOVER
#endif
	:: else
	fi
}

/* q receives a heartbeat of i and answers. An earlier answer is lost. */
inline beat(i, q) {
	if
	:: !known[IX(q, i)] ->
		/* What the former process promised ended with it. */
		known[IX(q, i)] = true;
#ifndef PROMISE_OUTLIVES_PROCESS
		lease[IX(q, i)] = 0;
#endif
		flight[IX(q, i)] = 0
	:: else
	fi;
	heard[IX(q, i)] = TAKEOVER;
	gone[IX(q, i)] = false;
	q_joined[IX(q, i)] = joined[i];
#ifdef LEASE_BEFORE_JOIN
	flight[IX(i, q)] = 2
#else
	flight[IX(i, q)] = 1 + joined[i]
#endif
}

/* i receives q's answer. */
inline answer(i, q) {
	age = (flight[IX(i, q)] - 1) / 2;
	acked[IX(i, q)] = !joined[i];
	gone[IX(i, q)] = false;
	if
	:: heard[IX(i, q)] + age < TAKEOVER -> heard[IX(i, q)] = TAKEOVER - age
	:: else
	fi;
#ifdef LEASE_FROM_ACK
	age = 0;
#endif
	if
	:: (flight[IX(i, q)] - 1) % 2 == 1 && lease[IX(i, q)] + age < LEASE -> lease[IX(i, q)] = LEASE - age
	:: else
	fi;
	flight[IX(i, q)] = 0;
	age = 0;
	join(i)
}

inline start(i) {
	up[i] = true;
	start_in[i] = TAKEOVER;
	heard[IX(i, (i + 1) % N)] = TAKEOVER;
	heard[IX(i, (i + 2) % N)] = TAKEOVER;
	join(i)
}

inline forget(i, q) {
	heard[IX(i, q)] = 0;
	q_joined[IX(i, q)] = false;
	known[IX(i, q)] = false;
	gone[IX(i, q)] = !PRESENT(q);
	acked[IX(i, q)] = false;
	lease[IX(i, q)] = 0;
	flight[IX(i, q)] = 0
}

inline kill(i) {
	up[i] = false;
	joined[i] = false;
	ready_in[i] = 0;
	start_in[i] = 0;
	forget(i, (i + 1) % N);
	forget(i, (i + 2) % N);
	known[IX((i + 1) % N, i)] = false;
	known[IX((i + 2) % N, i)] = false
}

/* i joined long ago and has heard nothing for as long. */
inline joined_before(i) {
	up[i] = true;
	joined[i] = true;
	known[IX(i, (i + 1) % N)] = true;
	known[IX(i, (i + 2) % N)] = true;
	q_joined[IX(i, (i + 1) % N)] = true;
	q_joined[IX(i, (i + 2) % N)] = true
}

inline lower(v) {
	v = (v > step -> v - step : 0)
}

inline pass(i, q) {
	lower(heard[IX(i, q)]);
	lower(lease[IX(i, q)]);
	if
	:: flight[IX(i, q)] > 0 -> flight[IX(i, q)] = flight[IX(i, q)] + 2 * step
	:: else
	fi;
	if
	:: flight[IX(i, q)] > 2 * MAX_AGE + 2 -> flight[IX(i, q)] = 0
	:: else
	fi
}

/* One unit of time passes at i, or none or two while its clock shifts. */
inline tick(i) {
	if
	:: step = 1
	:: SKEW && i == 0 && !lag -> step = 0; lag = true
	:: SKEW && i == 0 && lag -> step = 2; lag = false
	fi;
	lower(ready_in[i]);
	lower(start_in[i]);
	pass(i, (i + 1) % N);
	pass(i, (i + 2) % N)
}

/*
 * The list of VMs lacks q, or does not show its new process yet. The list lags
 * by less than the silence that must precede: GoneAfter, TAKEOVER here.
 */
#ifdef GONE_BY_SILENCE
#define LISTED_GONE(i, q) true
#else
#define LISTED_GONE(i, q) (!up[q] || start_in[q] == TAKEOVER)
#endif

active proctype Domain() {
	byte i, q, age, step;
	atomic {
		forget(0, 1); forget(0, 2);
		forget(1, 0); forget(1, 2);
		forget(2, 0); forget(2, 1);
#ifdef TRIO
		joined_before(0); joined_before(1); joined_before(2);
#endif
		i = 0
	}
end:	do
	:: atomic {
		if
		:: i = 0; q = 1
		:: i = 0; q = 2
		:: i = 1; q = 0
		:: i = 1; q = 2
		:: i = 2; q = 0
		:: i = 2; q = 1
		fi;
		if
		:: up[i] && up[q] -> beat(i, q)
		:: up[i] && flight[IX(i, q)] > 0 -> answer(i, q)
		:: up[i] && heard[IX(i, q)] == 0 && !gone[IX(i, q)] && LISTED_GONE(i, q) ->
			gone[IX(i, q)] = true;
			join(i)
		:: REPLACED && PRESENT(i) && !up[i] -> start(i)
		:: up[i] && kills < KILLS -> kills++; kill(i)
		:: else
		fi;
		i = 0; q = 0;
		check()
	   }
	:: atomic {
		tick(0); tick(1); tick(2);
		step = 0;
		check()
	   }
#ifdef WITNESS_TAKEOVER
	:: atomic { kills > 0 && !joined[0] && gone[IX(1, 0)] && PART1 == BEARS -> assert(false) }
#endif
#ifdef WITNESS_DOUBT
	:: atomic { joined[0] && PART0 == DOUBTFUL(0) && PART1 == DOUBTFUL(1) -> assert(false) }
#endif
#ifdef WITNESS_RETURN
	:: atomic { kills == KILLS && joined[0] && joined[1] && PART0 == BEARS -> assert(false) }
#endif
	od
}
