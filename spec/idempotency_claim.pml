/*
 * Claims for calls with an idempotency key (package idempotency).
 *
 * Each of two hosts handles two requests with the same key in sequence. The
 * claim row is inserted, completed and deleted by conditional commits. A commit
 * may fail without effect, take effect with its response lost, or have an unknown
 * outcome and take effect later (process network). Reads may fail. A host may
 * crash at any step between claim and response and then loses its state. The
 * upstream may refuse the connection, run the call and respond, run it and crash,
 * or crash before running it.
 *
 * Checked: the call runs at most once; a request refused as "not run" did not
 * run; a response is replayed only for a call that ran.
 *
 * Mutants: 1 releases the claim when the upstream's response is lost; 2 treats an
 * unknown outcome of the insert as success; 3 inserts without the condition
 * "absent" after an unknown outcome; 4 deletes without a condition on the
 * revision.
 */

#define HOSTS 2
#define REQUESTS 2              /* per host */
#define TRIES 2                 /* commits per operation */
#define IDS 4                   /* HOSTS * REQUESTS */
#define NONE 255
#define INSERT 0                /* operations */
#define COMPLETE 1
#define REMOVE 2
#define OPERATIONS 3

mtype = { ok, conflict, unavailable, unknown };

/* The claim row: absent when owner is NONE. */
byte owner = NONE;
bool completed = false;
byte revision = 0;              /* of the row; 0 when absent */
byte commits = 0;               /* last revision assigned */

byte runs = 0;
bool ran[IDS];

/* Commits with an unknown outcome that may still take effect: at most one per
 * request and operation. */
typedef Late { bool pending; byte condition };
Late late[12];                  /* OPERATIONS * IDS */
#define LATE(op, id) late[(op) * IDS + (id)]

/* apply performs a commit of request id if the row's revision is rev. */
inline apply(op, id, rev, result) {
	if
	:: revision != rev -> result = conflict
	:: else ->
		result = ok;
		if
		:: op == REMOVE -> owner = NONE; completed = false; revision = 0
		:: else ->
			commits++;
			owner = id;
			completed = (op == COMPLETE);
			revision = commits
		fi
	fi
}

/* commit is one call of the table service. */
inline commit(op, id, rev, result) {
	atomic {
		if
		:: result = unavailable
		:: skip; apply(op, id, rev, result)
		:: skip; apply(op, id, rev, result); result = unknown
		:: result = unknown
		:: !LATE(op, id).pending ->
			LATE(op, id).pending = true;
			LATE(op, id).condition = rev;
			result = unknown
		fi
	}
}

proctype host(byte number) {
	byte id;
	byte request = 0;
	byte tries;
	byte held;              /* revision of the claim held */
	byte expected;
	mtype result;

nextRequest:
	if
	:: request == REQUESTS -> goto done
	:: else
	fi;
	id = number * REQUESTS + request;
	request++;
	tries = 0;
	expected = 0;

claim:
	if
	:: tries == TRIES -> goto abandon
	:: else
	fi;
	tries++;
	commit(INSERT, id, expected, result);
	if
	:: result == ok ->
		/* The response contains the revision. No other request may change the
		 * row until this one completes or releases its claim. */
		held = revision;
		assert(owner == id);
		goto dispatch
	:: result == unavailable -> goto claim
	:: else
	fi;
#if defined(MUTANT) && MUTANT == 2
	if
	:: result == unknown -> held = revision; goto dispatch
	:: else
	fi;
#endif
	/* Read the row to learn the outcome. */
	atomic {
		if
		:: goto claim           /* the read failed */
		:: owner == NONE -> goto claim
		:: owner == id -> held = revision; goto dispatch
		:: owner != NONE && owner != id && completed -> goto replay
		:: owner != NONE && owner != id && !completed ->
#if defined(MUTANT) && MUTANT == 3
			if
			:: result == unknown -> expected = revision; goto claim
			:: else -> goto refuseMayHaveRun
			fi
#else
			goto refuseMayHaveRun
#endif
		fi
	}

abandon:
	/* An insert with an unknown outcome may have taken effect; the call will
	 * not be dispatched. */
	atomic {
		if
		:: owner == id -> held = revision; goto release
		:: goto refuseNotRun
		fi
	}

dispatch:
	if
	:: goto nextRequest             /* the host crashes without a response */
	:: goto release                 /* connection refused: the call did not run */
	:: atomic { runs++; ran[id] = true; assert(runs <= 1) } -> goto finish
	:: atomic { runs++; ran[id] = true; assert(runs <= 1) } -> goto answerLost
	:: goto answerLost              /* the upstream crashes before running it */
	fi;

answerLost:
#if defined(MUTANT) && MUTANT == 1
	commit(REMOVE, id, held, result);
#endif
	goto refuseMayHaveRun;

finish:
	tries = 0;
	do
	:: goto nextRequest             /* the host crashes before it stores the response */
	:: tries < TRIES ->
		tries++;
		commit(COMPLETE, id, held, result);
		if
		:: result == ok || result == conflict -> break
		:: else
		fi
	:: tries == TRIES -> break
	od;
	goto nextRequest;

release:
	tries = 0;
	do
	:: tries < TRIES ->
		tries++;
#if defined(MUTANT) && MUTANT == 4
		held = revision;
#endif
		commit(REMOVE, id, held, result);
		if
		:: result == ok || result == conflict -> break
		:: else
		fi
	:: tries == TRIES -> break
	:: goto nextRequest             /* the host crashes */
	od;
	goto refuseNotRun;

refuseNotRun:
	assert(!ran[id]);
	goto nextRequest;

refuseMayHaveRun:
	goto nextRequest;

replay:
	assert(runs == 1);
	goto nextRequest;

done:
	skip
}

/* network makes commits with an unknown outcome take effect late, or never. */
active proctype network() {
	mtype result;
	byte slot;
end:
	do
	:: atomic {
		slot = 0;
		do
		:: slot < OPERATIONS * IDS - 1 -> slot++
		:: break
		od;
		if
		:: late[slot].pending ->
			late[slot].pending = false;
			apply(slot / IDS, slot % IDS, late[slot].condition, result);
			late[slot].condition = 0
		:: else
		fi;
		slot = 0;
		result = ok
	   }
	od
}

init {
	atomic {
		run host(0);
		run host(1)
	}
}
