/*
 * Claim, dispatch and outcome of one request that must not be repeated.
 *
 * The caller sends the same request, under one idempotency key, through
 * several daemons. Each Handler is one handling of it by one daemon process,
 * on the same VM after a replacement or on another. The record of the key is
 * kept by the platform, which can be away, and whose answers can be lost
 * before or long after the write takes effect. A handler may stop between any
 * two steps for any time; a process that is killed is one that stops for good.
 *
 * Invariants, by name:
 *   at-most-once       the endpoint executes the key at most once
 *   true-not-run       no attempt of a handler that said not-run executes
 *   known-outcome      answered is said only after an execution
 *   released-unsent    a released key has not been executed
 */

#define HANDLERS 3
#define WRITES 3                /* claim, outcome, and a retry of either */
#define SLOTS (HANDLERS * WRITES)
#define NOBODY 9

mtype = { absent, claimed, released, done };            /* record */
mtype = { idle, pending, applied, refused };            /* write */
mtype = { unsent, sent, executed, answered_503, broken };  /* attempt */
mtype = { none, said_answered, said_not_run, said_unknown }; /* reply */

/* The record of the key at the platform. */
mtype record = absent;
byte holder = NOBODY;
byte revision = 0;

/* Writes in flight: the record to write, its holder, the revision expected. */
mtype write_state[SLOTS];
mtype write_record[SLOTS];
byte write_revision[SLOTS];

mtype attempt[HANDLERS];
bool ran[HANDLERS];
mtype reply[HANDLERS];
bool ended;                     /* handler 0 has ended */
byte executions = 0;

#define SLOT(h, n) ((h) * WRITES + (n))

#ifdef RELEASE_WITHOUT_COMPARE
#define UNCOMPARED(w) (write_record[w] == released)
#else
#define UNCOMPARED(w) false
#endif

/* The identity that handler h claims with. */
#ifdef VM_AS_CLAIMANT
#define CLAIMANT(h) ((h) == 1 -> 0 : (h))
#else
#define CLAIMANT(h) (h)
#endif

inline decide(w, what) {
	write_state[w] = what;
	write_record[w] = absent;
	write_revision[w] = 0
}

/*
 * The revision never returns to an earlier value, so that a write of another
 * revision can only be refused. refuse says so at once.
 */
inline refuse(w) {
	if
	:: write_state[w] == pending && write_revision[w] != revision && !UNCOMPARED(w) ->
		decide(w, refused)
	:: else
	fi
}

inline apply(w) {
	if
	:: write_revision[w] == revision || UNCOMPARED(w) ->
		record = write_record[w];
		holder = CLAIMANT(w / WRITES);
		revision++;
		assert(record != released || executions == 0); /* released-unsent */
		decide(w, applied);
		refuse(0); refuse(1); refuse(2);
		refuse(3); refuse(4); refuse(5);
		refuse(6); refuse(7); refuse(8)
	:: else -> decide(w, refused)
	fi
}

inline select_pending(w) {
	if
	:: write_state[0] == pending -> w = 0
	:: write_state[1] == pending -> w = 1
	:: write_state[2] == pending -> w = 2
	:: write_state[3] == pending -> w = 3
	:: write_state[4] == pending -> w = 4
	:: write_state[5] == pending -> w = 5
	:: write_state[6] == pending -> w = 6
	:: write_state[7] == pending -> w = 7
	:: write_state[8] == pending -> w = 8
	fi
}

/* The platform applies writes in any order, some of them never. */
proctype Platform() {
	byte w;
end:	do
	:: atomic {
		select_pending(w);
		apply(w);
		w = 0
	   }
	od
}

inline execute(h) {
	attempt[h] == sent ->
	if
	:: ran[h] = true;
	   executions++;
	   assert(executions <= 1);              /* at-most-once */
	   assert(reply[h] != said_not_run);     /* true-not-run */
	   if
	   :: attempt[h] = executed
	   :: attempt[h] = broken                /* the answer is lost */
	   fi
	:: attempt[h] = answered_503
	:: attempt[h] = broken                  /* the request is lost */
	fi
}

/* The endpoint gets requests at any time after they were sent. */
proctype Endpoint() {
end:	do
	:: atomic { execute(0) }
	:: atomic { execute(1) }
	:: atomic { execute(2) }
	od
}

inline submit(h, n, what, expected) {
	atomic {
		write_state[SLOT(h, n)] = pending;
		write_record[SLOT(h, n)] = what;
		write_revision[SLOT(h, n)] = expected;
		refuse(SLOT(h, n))
	}
}

/* forget drops what is left of a write that has been decided. */
inline forget(w) {
	if
	:: write_state[w] == pending
	:: else -> write_state[w] = idle
	fi
}

inline say(h, what) {
	atomic {
		reply[h] = what;
		assert(what != said_not_run || !ran[h]);         /* true-not-run */
		assert(what != said_answered || executions >= 1) /* known-outcome */
	}
}

/*
 * With an identity that outlives the process, handler 1 replaces handler 0.
 */
#ifdef VM_AS_CLAIMANT
#define OR_KILLED :: h == 0 -> goto stop
#define AFTER_PREDECESSOR(h) (h != 1 || ended)
#else
#define OR_KILLED
#define AFTER_PREDECESSOR(h) true
#endif

proctype Handler(byte h) {
	byte seen = 0;          /* revision of the own claim, or read */
	bool resent = false;    /* a second dispatch was made */
	bool retried = false;   /* the claim was written twice */

	AFTER_PREDECESSOR(h);

	/* Read the record; a claimed key is never dispatched again. */
	if
	:: atomic {
		record == absent || record == released -> seen = revision
	   }
	:: record == claimed ->
#ifdef RELEASE_BY_OTHERS
		seen = revision;
		submit(h, 0, released, seen);
		if
		:: atomic { write_state[SLOT(h, 0)] == applied -> seen++ }
		:: write_state[SLOT(h, 0)] == refused -> goto unknown
		fi
#else
		if
		:: atomic { holder == CLAIMANT(h) -> seen = revision }
		   goto mine    /* possible only when identities are reused */
		:: holder != CLAIMANT(h) -> goto unknown
		fi
#endif
	:: record == done -> goto recorded
	:: goto not_run         /* the platform is away */
	OR_KILLED
	fi;

#ifdef DISPATCH_BEFORE_CLAIM
	attempt[h] = sent;
#endif
	submit(h, 0, claimed, seen);
	if
	:: atomic { write_state[SLOT(h, 0)] == applied -> seen++ }
	:: write_state[SLOT(h, 0)] == refused -> goto lost_race
	:: goto reread          /* the write's answer is lost */
	OR_KILLED
	fi;
	goto mine;

reread:
#ifdef ASSUME_CLAIMED
	goto mine;
#endif
	if
	:: atomic { record == claimed && holder == CLAIMANT(h) -> seen = revision }
	:: record == done -> goto recorded
	:: record == claimed && holder != CLAIMANT(h) -> goto unknown
	:: (record == absent || record == released) && !retried ->
		/* The same write again: at most one of the two takes effect. */
		retried = true;
		submit(h, 2, claimed, seen);
		if
		:: write_state[SLOT(h, 2)] != pending
		:: skip
		OR_KILLED
		fi;
		goto reread
	:: goto not_run         /* the platform is away; nothing was sent */
	OR_KILLED
	fi;

mine:
	if
	:: skip
	:: goto release         /* refused by the gate, or the deadline passed */
	OR_KILLED
	fi;

dispatch:
#ifndef DISPATCH_BEFORE_CLAIM
	attempt[h] = sent;
#endif
wait:
	if
	:: attempt[h] == executed -> goto answer
	:: attempt[h] == answered_503 ->        /* certainly not started */
		if
		:: !resent -> resent = true; attempt[h] = unsent; goto dispatch
		:: goto release
		OR_KILLED
		fi
	:: attempt[h] == sent || attempt[h] == broken ->  /* timed out or cut */
#if defined(RELEASE_AFTER_SENT)
		goto release
#elif defined(DISPATCH_TWICE)
		if
		:: !resent -> resent = true; attempt[h] = unsent; goto dispatch
		:: else -> goto unknown
		fi
#elif defined(NOT_RUN_AFTER_SENT)
		goto not_run
#else
		goto unknown
#endif
	OR_KILLED
	fi;

answer:
	submit(h, 1, done, seen);
	if
	:: write_state[SLOT(h, 1)] != pending
	:: skip                 /* the answer is given without the record */
	OR_KILLED
	fi;
	say(h, said_answered);
	goto stop;

release:
	submit(h, 1, released, seen);
	if
	:: write_state[SLOT(h, 1)] != pending
	:: !retried ->          /* no answer: written once more */
		submit(h, 2, released, seen)
	:: skip
	OR_KILLED
	fi;

not_run:
	say(h, said_not_run);
	goto stop;

lost_race:
	if
	:: record == done -> goto recorded
	:: record != done -> goto unknown
	OR_KILLED
	fi;

recorded:
	say(h, said_answered);
	goto stop;

unknown:
	say(h, said_unknown);

stop:
	atomic {
		/* Nothing of a handler is read after its end. */
		seen = 0;
		resent = false;
		retried = false;
		ended = ended || h == 0;
		forget(SLOT(h, 0));
		forget(SLOT(h, 1));
		forget(SLOT(h, 2));
		if
		:: attempt[h] == sent
		:: else -> attempt[h] = unsent
		fi
	}
	/* witness-released: a key is released, claimed again and answered. */
#ifdef WITNESS_RELEASED
	assert(!(reply[0] == said_not_run && reply[2] == said_answered && holder == 2 && revision == 4))
#endif
	/* witness-recorded: two repeats get the recorded answer. */
#ifdef WITNESS_RECORDED
	assert(!(reply[0] == said_answered && reply[1] == said_answered && reply[2] == said_answered))
#endif
}

#ifdef CLAIM_AS_LEASE
/* The platform ends a claim when its lease lapses. */
proctype Lapse() {
end:	atomic { record == claimed -> record = absent; revision++ }
}
#endif

init {
	byte i;
	atomic {
		i = 0;
		do
		:: i < SLOTS -> write_state[i] = idle; write_record[i] = absent; i++
		:: else -> break
		od;
		i = 0;
		do
		:: i < HANDLERS -> attempt[i] = unsent; reply[i] = none; i++
		:: else -> break
		od;
		i = 0;
		run Platform();
		run Endpoint();
#ifdef CLAIM_AS_LEASE
		run Lapse();
#endif
		do
		:: i < HANDLERS -> run Handler(i); i++
		:: else -> break
		od
	}
}
