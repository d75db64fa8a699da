/*
 * How the daemons of one failure domain learn the configuration in force.
 *
 * Operators raise the head at the platform; configuration.pml shows that this
 * is all that they can do to it. Daemons learn generations from the platform
 * or from each other, by messages that are delayed and lost, and are killed
 * and replaced with nothing kept. The platform can be away at any time, which
 * is that no read of it happens.
 *
 * A generation is in force in the failure domain once every daemon of it that
 * runs has applied it; a daemon that is still learning counts.
 *
 * Invariants, by name:
 *   no-lower         no daemon applies a lower generation than its own
 *   ready-in-force   a ready daemon is never below what was in force
 */

#define DAEMONS 3
#define GENERATIONS 3
#define RESTARTS 3

mtype = { starting, ready, dead };

byte head = 1;
mtype phase[DAEMONS];
byte generation[DAEMONS];
byte mail[DAEMONS];             /* an answer or notice on its way, or 0 */
bool learned[DAEMONS];
byte in_force = 1;
byte restarts = 0;

/* measure keeps the highest generation that has been in force. */
inline measure() {
	if
	:: (phase[0] == dead || generation[0] > in_force) &&
	   (phase[1] == dead || generation[1] > in_force) &&
	   (phase[2] == dead || generation[2] > in_force) &&
	   !(phase[0] == dead && phase[1] == dead && phase[2] == dead) ->
		in_force++
	:: else
	fi;
	assert(phase[0] != ready || generation[0] >= in_force); /* ready-in-force */
	assert(phase[1] != ready || generation[1] >= in_force);
	assert(phase[2] != ready || generation[2] >= in_force)
}

/* learn makes d apply what has arrived. */
inline learn(d) {
	mail[d] != 0 && phase[d] != dead ->
	if
#ifdef APPLY_LOWER
	:: true ->
#else
	:: mail[d] > generation[d] ->
#endif
		assert(mail[d] >= generation[d]);               /* no-lower */
		generation[d] = mail[d]
#ifndef APPLY_LOWER
	:: else
#endif
	fi;
	learned[d] = true;
	mail[d] = 0;
	measure()
}

/* Only a daemon that is ready answers a daemon that learns. */
#ifdef LEARN_FROM_LEARNING
#define ANSWERS(p) (phase[p] != dead)
#else
#define ANSWERS(p) (phase[p] == ready)
#endif

/* The witness shows that peers alone are enough after a replacement. */
#ifdef WITNESS_PEER
#define PLATFORM_READ (restarts == 0)
#else
#define PLATFORM_READ true
#endif

proctype Daemon(byte d) {
end:	do
	:: atomic { phase[d] != dead && mail[d] == 0 && PLATFORM_READ -> mail[d] = head }
	:: atomic { phase[d] != dead && mail[d] == 0 && ANSWERS((d + 1) % DAEMONS) ->
		mail[d] = generation[(d + 1) % DAEMONS];
		/* A peer that knows nothing answers so. */
		learned[d] = learned[d] || mail[d] == 0 }
	:: atomic { phase[d] != dead && mail[d] == 0 && ANSWERS((d + 2) % DAEMONS) ->
		mail[d] = generation[(d + 2) % DAEMONS];
		/* A peer that knows nothing answers so. */
		learned[d] = learned[d] || mail[d] == 0 }
	:: atomic { learn(d) }
	:: atomic { mail[d] != 0 -> mail[d] = 0 }       /* lost */
#ifdef READY_BEFORE_LEARNING
	:: atomic { phase[d] == starting -> phase[d] = ready; measure() }
#else
	:: atomic { phase[d] == starting && learned[d] -> phase[d] = ready; measure() }
#endif
	:: atomic { phase[d] != dead && restarts < RESTARTS ->
		restarts++;
		phase[d] = dead;
		generation[d] = 0;
		learned[d] = false;
#ifndef ANSWER_OF_OLD_PROCESS
		mail[d] = 0;
#endif
		measure() }
	:: atomic { phase[d] == dead -> phase[d] = starting }
	od
}

proctype Operators() {
end:	do
	:: atomic { head < GENERATIONS -> head++ }
	od
}

#ifdef WITNESS_PEER
/* Replaced daemons are ready again at the newest generation. */
proctype Witness() {
end:	atomic { restarts == RESTARTS && in_force == GENERATIONS &&
		phase[0] == ready && phase[1] == ready && phase[2] == ready -> assert(false) }
}
#endif

init {
	byte i;
	atomic {
		i = 0;
		do
		:: i < DAEMONS -> phase[i] = ready; generation[i] = 1; learned[i] = true; i++
		:: else -> break
		od;
		i = 0;
		run Operators();
		run Daemon(0);
		run Daemon(1);
		run Daemon(2);
#ifdef WITNESS_PEER
		run Witness()
#endif
	}
}
