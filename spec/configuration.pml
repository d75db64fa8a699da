/*
 * Changes of the configuration by racing operators.
 *
 * Operators change the head by compare-and-swap of its generation. A write's
 * answer can be lost, and a write can take effect long after it was given up;
 * it may have been sent twice. The platform can be away at any time, which is
 * that no read or write of it happens. How daemons learn the head is the
 * subject of learning.pml.
 *
 * Invariants, by name:
 *   accepted-kept    an accepted change is never replaced by another
 *   accepted-true    accepted is said only of a change that took effect
 *   conflict-true    a change that was said to conflict never takes effect
 */

#define OPERATORS 2
#define COPIES 2                /* copies of one write */
#define SLOTS 4
#define GENERATIONS 5

mtype = { idle, pending, applied, refused };    /* write */
mtype = { open, accepted, conflict };           /* verdict on a change */

byte head = 1;
byte change[GENERATIONS];       /* change of each generation, 0 for none */

mtype write_state[SLOTS];
byte write_base[SLOTS];
byte write_change[SLOTS];
mtype verdict[GENERATIONS];     /* by change */

#define SLOT(o, n) ((o) * COPIES + (n))

inline decide(w, what) {
	write_state[w] = what;
	write_base[w] = 0;
	write_change[w] = 0
}

inline swap(w) {
	write_state[w] == pending ->
	if
#ifdef BLIND_WRITE
	:: true ->
#else
	:: write_base[w] == head ->
#endif
		assert(change[write_base[w] + 1] == 0);         /* accepted-kept */
		assert(verdict[write_change[w]] != conflict);   /* conflict-true */
		head = write_base[w] + 1;
		change[head] = write_change[w];
		decide(w, applied)
#ifndef BLIND_WRITE
	:: else -> decide(w, refused)
#endif
	fi
}

proctype Platform() {
end:	do
	:: atomic { swap(0) }
	:: atomic { swap(1) }
	:: atomic { swap(2) }
	:: atomic { swap(3) }
	od
}

inline submit(o, n, b, c) {
	atomic {
		write_state[SLOT(o, n)] = pending;
		write_base[SLOT(o, n)] = b;
		write_change[SLOT(o, n)] = c
	}
}

inline say(c, b, what) {
	atomic {
		verdict[c] = what;
		assert(what != accepted || change[b + 1] == c); /* accepted-true */
		assert(what != conflict || change[b + 1] != c)  /* conflict-true */
	}
}

/* An operator makes one change; operator 0 makes another after a conflict. */
proctype Operator(byte o) {
	byte base;
	byte c = o + 1;
	bool again = false;

choose:	/* The base is what some daemon has in force, which may be stale. */
	atomic {
		if
		:: base = head
		:: base = 1
		fi
	}
	submit(o, 0, base, c);
	if
	:: write_state[SLOT(o, 0)] == applied -> goto yes
	:: write_state[SLOT(o, 0)] == refused -> goto reread
	:: goto reread                          /* the answer is lost */
	fi;

reread:
#if defined(ACCEPT_WITHOUT_REREAD)
	goto yes;
#elif defined(CONFLICT_WITHOUT_REREAD)
	goto no;
#elif defined(REREAD_HEAD_ONLY)
	if
	:: change[head] == c -> goto yes
	:: change[head] != c && head != base -> goto no
	:: head == base -> goto leave
	fi;
#endif
	if
	:: head > base && change[base + 1] == c -> goto yes
	:: head > base && change[base + 1] != c -> goto no
	:: head == base && !again ->            /* the same write once more */
		again = true;
		submit(o, 1, base, c);
		if
		:: write_state[SLOT(o, 1)] == applied -> goto yes
		:: write_state[SLOT(o, 1)] == refused ->
#ifdef CONFLICT_ON_REFUSAL
			goto no
#else
			goto reread
#endif
		:: goto reread
		fi
	:: goto leave                           /* said to be unknown */
	fi;

yes:	say(c, base, accepted);
	goto leave;

no:	say(c, base, conflict);
	if
	:: c == 1 && write_state[SLOT(o, 0)] != pending && write_state[SLOT(o, 1)] != pending ->
		c = 3;
		again = false;
		goto choose
	:: true
	fi;

leave:	atomic { base = 0; again = false; c = 0 }
}

#ifdef WITNESS_REREAD
/* Both changes are accepted, one after another. */
proctype Witness() {
end:	atomic { verdict[1] == conflict && verdict[2] == accepted && verdict[3] == accepted -> assert(false) }
}
#endif

init {
	byte i;
	atomic {
		i = 0;
		do
		:: i < SLOTS -> write_state[i] = idle; i++
		:: else -> break
		od;
		i = 0;
		do
		:: i < GENERATIONS -> verdict[i] = open; i++
		:: else -> break
		od;
		change[1] = 4;
		run Platform();
		run Operator(0);
		run Operator(1);
#ifdef WITNESS_REREAD
		run Witness()
#endif
	}
}
