/*
 * The coordinator's lease: two hosts and one row with conditional writes. Calls
 * may be performed late and their responses may be lost. Orders take up to A time
 * units to arrive. No order may arrive after one of a later holder, and orders of
 * a host that reacquires the lease from the other one must not arrive within H of
 * its own last order.
 *
 * MUTANT == 1: the next holder sends orders as soon as it has the lease.
 * MUTANT == 2: a renewal is valid from the end of its call, not from the start.
 * MUTANT == 3: an order may be sent after the holder's renewal has expired.
 * MUTANT == 4: a host that reacquires the lease waits only as long as a new one.
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#define END 7    /* simulated time */
#define D 1      /* duration of a renewal */
#define A 1      /* max. order delay */
#define H 5      /* reacquire delay: time until a former holder may send orders again */
#define SLACK 1  /* safety margin for clocks and messages */
#define NONE 255

byte now;
byte row_rev = 1, row_holder;
bool held[2];
byte valid[2], from[2];          /* may send orders between from and valid */
byte seen_rev[2], seen_at[2];
byte call_start[2], call_rev[2]; /* call_start is NONE: no call is awaited */
byte call_result[2];             /* 0: open, 1: written, 2: conflict */
byte call_new[2];
byte last_call[2];               /* at most one call per time unit */
bool pending[2];                 /* the store has not performed the call yet */
bool claims[2];
bool flying; byte fly_by, fly_due;
byte epoch = 1, held_epoch[2];    /* changes of the holder */
bool former[2];                  /* has held the lease before */
byte fly_epoch, last_epoch, last_by = NONE;
byte last_own[2];                /* arrival of the host's last order; NONE: none */

inline begin_call(i, is_claim) {
	call_start[i] = now; last_call[i] = now; call_rev[i] = seen_rev[i]; call_result[i] = 0;
	pending[i] = true; claims[i] = is_claim
}

inline perform(i) {
	pending[i] = false;
	if
	:: row_rev == call_rev[i] ->
		row_rev++; row_holder = i; call_new[i] = row_rev; call_result[i] = 1
	:: else -> call_result[i] = 2
	fi
}

inline answered(i) {
	if
	:: call_result[i] == 1 ->
		if
		:: claims[i] && !held[i] ->
			held[i] = true;
#if MUTANT == 1
			from[i] = now
#elif MUTANT == 4
			from[i] = seen_at[i] + D + SLACK + A
#else
			if
			:: former[i] -> from[i] = seen_at[i] + D + SLACK + H
			:: else -> from[i] = seen_at[i] + D + SLACK + A
			fi
#endif
			;
			former[i] = true; epoch++; held_epoch[i] = epoch
		:: else -> skip
		fi;
#if MUTANT == 2
		valid[i] = now + D;
#else
		valid[i] = call_start[i] + D;
#endif
		seen_rev[i] = call_new[i]; seen_at[i] = now
	:: call_result[i] == 2 ->
		if
		:: row_holder == i -> seen_rev[i] = row_rev
		:: else -> held[i] = false; seen_rev[i] = row_rev; seen_at[i] = now
		fi
	fi;
	call_start[i] = NONE
}

inline act(i) {
	if
	:: held[i] && call_start[i] == NONE && !pending[i] && now > last_call[i] -> begin_call(i, false)
	:: pending[i] -> perform(i)
	:: call_start[i] != NONE && call_result[i] != 0 -> answered(i)
	:: call_start[i] != NONE -> call_start[i] = NONE /* the response is lost */
	:: !held[i] && call_start[i] == NONE && seen_rev[i] != row_rev ->
		seen_rev[i] = row_rev; seen_at[i] = now
	:: !held[i] && call_start[i] == NONE && !pending[i] && seen_rev[i] == row_rev &&
	   now > last_call[i] && now > seen_at[i] + D + SLACK -> begin_call(i, true)
#if MUTANT == 3
	:: held[i] && !flying && now >= from[i] && now <= valid[i] + A + SLACK + 1 ->
#else
	:: held[i] && !flying && now >= from[i] && now <= valid[i] ->
#endif
		flying = true; fly_by = i; fly_due = now + A; fly_epoch = held_epoch[i]
	:: else -> skip
	fi
}

active proctype play() {
	held[0] = true; valid[0] = D; seen_rev[0] = 1; row_holder = 0;
	former[0] = true; held_epoch[0] = 1;
	last_own[0] = NONE; last_own[1] = NONE;
	call_start[0] = NONE; call_start[1] = NONE;
	do
	:: now < END && !(flying && now >= fly_due) -> atomic { now++ }
	:: atomic { flying ->
		assert(fly_epoch >= last_epoch);
		assert(last_by == NONE || last_by == fly_by || last_own[fly_by] == NONE || now >= last_own[fly_by] + H);
		last_by = fly_by; last_own[fly_by] = now; last_epoch = fly_epoch; flying = false }
	:: true -> atomic { act(0) }
	:: true -> atomic { act(1) }
	:: now == END -> break
	od
}
