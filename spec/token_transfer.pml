/*
 * Loans of tokens between two hosts (docs/design.md, section 5.1).
 *
 * Host 0 lends to host 1; both also spend from their own bucket. A tick is a unit
 * of time; the hosts' clocks run at the same rate. A message may be delivered at
 * any time after it was sent, any number of times, or never. A host may crash and
 * restart at any moment: it loses its state, its requests continue at the
 * upstreams until their deadline, and its bucket stays unused until tokens of the
 * earlier process can no longer be in use.
 *
 * Checked: the tokens generated in any window of t ticks are at most
 * BURST + RATE * t. "excess" is the largest such sum minus RATE * t.
 *
 * The mutant does not withhold capacity while tokens are lent.
 */
#define HOSTS    2
#define PART     2 /* capacity of a host's bucket, tokens */
#define BURST    4 /* HOSTS * PART */
#define RATE     2 /* per tick: one for each host */
#define LIFETIME 1 /* ticks in which a loan may be spent */
#define DEADLINE 2 /* ticks a request may run */
#define HOLD     3 /* LIFETIME + DEADLINE */
#define LOANS    2 /* requests for a loan of one token each */

/* States of a loan at the borrower. */
#define IDLE     0 /* not requested */
#define ASKED    1
#define HELD     2 /* granted and not yet spent */
#define RUNNING  3 /* pays for a running request */
#define USED     4
#define UNUSED   5 /* relinquished; never spent again */
#define ORPHANED 6 /* pays for a request whose host crashed */
#define ENDED    7

byte excess;

byte level[HOSTS];
byte outstanding[HOSTS];
byte recovery[HOSTS];         /* ticks until the host's bucket may be used */
byte running[4];              /* HOSTS * DEADLINE: own tokens by host and age */
byte orphans[DEADLINE];       /* tokens of crashed hosts by age */
byte ended[HOSTS];            /* reserved tokens whose requests have ended */

byte loan[LOANS];             /* borrower's state */
byte asked_for[LOANS];        /* ticks since the request was sent */
byte run_age[LOANS];

bit request_sent[LOANS];
bit grant_sent[LOANS];
bit used_sent[LOANS];
bit unused_sent[LOANS];

byte lent;                    /* capacity that host 0 withholds */
byte granted[LOANS];          /* 0: unknown, 1: withheld, 2: returned */
byte grant_age[LOANS];

#ifdef MUTANT
#define ROOM(h) (level[h] + outstanding[h] < PART)
#else
#define ROOM(h) (level[h] + outstanding[h] + (h == 0 -> lent : 0) < PART)
#endif

inline generate() {
	excess++;
	assert(excess <= BURST)
}

inline credit(h) {
	if
	:: ROOM(h) -> level[h]++
	:: else
	fi
}

/* Ends the loans at host 0 whose hold period has passed. */
inline expire_granted() {
	i = 0;
	do
	:: i < LOANS ->
		if
		:: granted[i] != 0 ->
			grant_age[i]++;
			if
			:: grant_age[i] >= HOLD ->
				lent = lent - (granted[i] == 1 -> 1 : 0);
				granted[i] = 0;
				grant_age[i] = 0
			:: else
			fi
		:: else
		fi;
		i++
	:: else -> break
	od
}

/* Ends requests past their deadline and loans past their spend period. */
inline age_loans() {
	i = 0;
	do
	:: i < LOANS ->
		if
		:: asked_for[i] < LIFETIME && loan[i] != IDLE -> asked_for[i]++
		:: else
		fi;
		if
		:: loan[i] == RUNNING || loan[i] == ORPHANED -> run_age[i]++
		:: else
		fi;
		if
		:: loan[i] == ORPHANED && run_age[i] >= DEADLINE -> loan[i] = ENDED; run_age[i] = 0
		:: loan[i] == RUNNING && run_age[i] >= DEADLINE -> loan[i] = HELD; run_age[i] = 0
		:: else
		fi;
		if
		:: (loan[i] == HELD || loan[i] == ASKED) && asked_for[i] >= LIFETIME -> loan[i] = UNUSED
		:: else
		fi;
		i++
	:: else -> break
	od
}

inline age_own(h) {
	ended[h] = ended[h] + running[h * DEADLINE + 1];
	running[h * DEADLINE + 1] = running[h * DEADLINE];
	running[h * DEADLINE] = 0;
	if
	:: recovery[h] > 0 -> recovery[h]--
	:: else -> credit(h)
	fi
}

inline tick() {
	excess = (excess > RATE -> excess - RATE : 0);
	orphans[1] = orphans[0];
	orphans[0] = 0;
	expire_granted();
	age_loans();
	age_own(0);
	age_own(1)
}

inline crash(h) {
	orphans[0] = orphans[0] + running[h * DEADLINE];
	orphans[1] = orphans[1] + running[h * DEADLINE + 1];
	running[h * DEADLINE] = 0;
	running[h * DEADLINE + 1] = 0;
	ended[h] = 0;
	level[h] = 0;
	outstanding[h] = 0;
	recovery[h] = HOLD;
	i = 0;
	do
	:: i < LOANS && h == 0 -> granted[i] = 0; grant_age[i] = 0; i++
	:: i < LOANS && h == 1 ->
		if
		:: loan[i] == RUNNING -> loan[i] = ORPHANED
		:: loan[i] != IDLE && loan[i] != RUNNING && loan[i] != ORPHANED -> loan[i] = ENDED
		:: else
		fi;
		i++
	:: else -> break
	od;
	if
	:: h == 0 -> lent = 0
	:: else
	fi
}

/* Own tokens of host h. */
#define OWN(h) \
	:: d_step { level[h] > 0 -> level[h]--; outstanding[h]++; running[h * DEADLINE]++ } \
	:: d_step { ended[h] > 0 -> ended[h]--; outstanding[h]--; credit(h) } \
	:: d_step { crash(h); i = 0 }

/* Own requests of age a at host h. */
#define REQUEST(h, a) \
	:: d_step { running[h * DEADLINE + a] > 0 -> \
		running[h * DEADLINE + a]--; outstanding[h]--; generate() } \
	:: d_step { running[h * DEADLINE + a] > 0 -> \
		running[h * DEADLINE + a]--; outstanding[h]--; credit(h) }

/* Requests of age a whose host has crashed. */
#define ORPHAN(a) :: d_step { orphans[a] > 0 -> orphans[a]--; generate() }

/* Loan s at the borrower. A grant for an abandoned loan request is not accepted;
 * a relinquished loan is never spent. */
#define BORROW(s) \
	:: d_step { loan[s] == IDLE -> loan[s] = ASKED; asked_for[s] = 0; request_sent[s] = 1 } \
	:: d_step { grant_sent[s] && loan[s] == ASKED -> loan[s] = HELD } \
	:: d_step { loan[s] == HELD -> loan[s] = RUNNING; run_age[s] = 0 } \
	:: d_step { loan[s] == RUNNING -> loan[s] = USED; run_age[s] = 0; generate() } \
	:: d_step { loan[s] == RUNNING -> \
		loan[s] = (asked_for[s] >= LIFETIME -> UNUSED : HELD); run_age[s] = 0 } \
	:: d_step { loan[s] == HELD || loan[s] == ASKED -> loan[s] = UNUSED } \
	:: d_step { loan[s] == ORPHANED -> loan[s] = ENDED; run_age[s] = 0; generate() } \
	:: d_step { loan[s] == USED && !used_sent[s] -> used_sent[s] = 1 } \
	:: d_step { loan[s] == UNUSED && !unused_sent[s] -> unused_sent[s] = 1 }

/* Loan s at the lender. Any message may be delivered more than once. */
#define LEND(s) \
	:: d_step { request_sent[s] && granted[s] == 0 && level[0] > 0 -> \
		level[0]--; lent++; granted[s] = 1; grant_age[s] = 0; grant_sent[s] = 1 } \
	:: d_step { used_sent[s] && granted[s] == 1 -> granted[s] = 2; lent-- } \
	:: d_step { unused_sent[s] && granted[s] == 1 -> granted[s] = 2; lent--; credit(0) }

active proctype fleet() {
	byte i;
	level[0] = PART;
	level[1] = PART;
	do
	:: d_step { tick(); i = 0 }
	OWN(0)
	OWN(1)
	REQUEST(0, 0)
	REQUEST(0, 1)
	REQUEST(1, 0)
	REQUEST(1, 1)
	ORPHAN(0)
	ORPHAN(1)
	BORROW(0)
	BORROW(1)
	LEND(0)
	LEND(1)
	od
}
