/*
 * Division of the rate of a cold upstream among hosts (internal/coldstart).
 *
 * The coordinator grants single requests from a bucket that gains one request in each
 * tick. A grant can be spent for L ticks from the host's question. One host has a seat, by
 * which it sends one request in W ticks without a grant; the seat is valid for S ticks from
 * the question. Replies can be late or lost, and hosts restart. The coordinator changes
 * once; the one before may answer a question late that it got in its term.
 *
 * Checked: in any W ticks no more requests are sent than the bucket gives, and no more than
 * one without a grant.
 *
 * Mutant 1: the new coordinator grants at once, from a full bucket.
 * Mutant 2: a grant can be spent for L ticks from the arrival of the reply.
 * Mutant 3: the new coordinator gives the seat to any host at once.
 * Mutant 4: a host that gets the seat uses it at once.
 */
#define L 2
#define W 2
#define S 3
#define BURST 1
#define BOUND (BURST + W + L - 2)
#define HOSTS 2
#define NOBODY HOSTS

#define IDLE    0
#define ASKED   1
#define REPLIED 2 /* the reply is on its way */
#define HELD    3

byte term;              /* 0 or 1 */
byte level[2] = BURST;  /* of the bucket, by term */
byte wait;              /* ticks until the new coordinator grants */
byte seat_wait;         /* ticks until it gives the seat to a host that has none */
byte owner[2] = NOBODY; /* of the seat, by term */
byte owner_ttl[2];

byte phase[HOSTS];
byte asked[HOSTS];    /* term of the coordinator that was asked */
byte ttl[HOSTS];      /* ticks for which the grant can be spent */
bool granted[HOSTS];
bool claims[HOSTS];   /* the host had a seat when it asked */
bool seated[HOSTS];   /* the reply gives the seat */
byte reply_ttl[HOSTS];/* ticks for which that seat is valid */
byte seat[HOSTS];     /* ticks for which the host has a seat */
byte pause[HOSTS];    /* ticks until it may use it again */

byte sent[W];         /* requests with a grant in this tick and the one before */
byte by_seat[W];      /* the same for requests without a grant */

inline forget(h) {
	phase[h] = IDLE;
	asked[h] = 0;
	ttl[h] = 0;
	granted[h] = false;
	claims[h] = false;
	seated[h] = false;
	reply_ttl[h] = 0
}

proctype host(byte h) {
	byte c;
	do
	:: atomic { phase[h] == IDLE ->
		phase[h] = ASKED; asked[h] = term; ttl[h] = L; reply_ttl[h] = S; claims[h] = (seat[h] > 0) }
	:: atomic { phase[h] == ASKED -> /* the coordinator answers */
		c = asked[h];
		if
		:: level[c] > 0 && (c == 0 || wait == 0) -> level[c]--; granted[h] = true
		:: else
		fi;
		if
		:: owner[c] == h || (owner[c] == NOBODY && (c == 0 || seat_wait == 0 || claims[h])) ->
			owner[c] = h; owner_ttl[c] = S; seated[h] = true
		:: else
		fi;
		c = 0;
		phase[h] = REPLIED }
	:: atomic { phase[h] == REPLIED ->
		phase[h] = HELD;
#if MUTANT == 2
		ttl[h] = L;
#endif
#if MUTANT == 4
#else
		if
		:: seated[h] && seat[h] == 0 -> pause[h] = W /* another host may have used it */
		:: else
		fi;
#endif
		if
		:: seated[h] && reply_ttl[h] > seat[h] -> seat[h] = reply_ttl[h]
		:: else
		fi;
		if
		:: !granted[h] -> forget(h)
		:: else
		fi }
	:: atomic { phase[h] == HELD && ttl[h] > 0 ->
		sent[0]++;
		assert(sent[0] + sent[1] <= BOUND);
		forget(h) }
	:: atomic { phase[h] != IDLE -> forget(h) } /* lost, or unused */
	:: atomic { seat[h] > 0 && pause[h] == 0 ->
		pause[h] = W;
		by_seat[0]++;
		assert(by_seat[0] + by_seat[1] <= 1) }
	:: atomic { /* restart */
		seat[h] = 0;
		pause[h] = 0;
		forget(h) }
	od
}

#define DECREASE(x) if :: x > 0 -> x-- :: else fi

proctype clock() {
	byte i;
	do
	:: atomic {
		sent[1] = sent[0]; sent[0] = 0;
		by_seat[1] = by_seat[0]; by_seat[0] = 0;
		for (i : 0 .. HOSTS - 1) {
			DECREASE(ttl[i]);
			DECREASE(reply_ttl[i]);
			DECREASE(seat[i]);
			DECREASE(pause[i])
		}
		for (i : 0 .. 1) {
			if
			:: level[i] < BURST && (i == 0 || wait == 0) -> level[i]++
			:: else
			fi;
			if
			:: owner_ttl[i] > 0 ->
				owner_ttl[i]--;
				if
				:: owner_ttl[i] == 0 -> owner[i] = NOBODY
				:: else
				fi
			:: else
			fi
		}
		DECREASE(wait);
		DECREASE(seat_wait);
		i = 0 }
	:: atomic { term == 0 -> /* the lease of the coordinator before has ended */
		term = 1;
#if MUTANT == 1
#else
		wait = L;
		level[1] = 0;
#endif
#if MUTANT == 3
#else
		seat_wait = S;
#endif
		skip }
	od
}

init {
	atomic {
		byte i;
		for (i : 0 .. HOSTS - 1) { run host(i) }
		run clock()
	}
}
