/*
 * Handover of one quota slot between two hosts (docs/design.md, section 5.1).
 *
 * The slot's row in the table service names the host that may use the slot. A host
 * claims the slot by a conditional commit if the newest configuration assigns it
 * the slot and the row is absent or free, or the owner's process is known to have
 * ended; in the last case it waits until the requests of that process have ended.
 * A host releases a slot that it lost once none of the slot's tokens are in use.
 * Responses to commits can be lost, commits can take effect late, and hosts crash
 * and restart with any version. An operator lists a host as stopped only while it
 * is down, and the host is not started while the newest version lists it.
 *
 * Checked: tokens of the slot are never in use by two processes at once.
 *
 * The mutant claims slots under the host's current version, which may be older
 * than the newest one.
 */
#define VERSIONS 4
#define EXPOSURE 2 /* ticks for which requests of an ended process may continue */
#define NOBODY   2
#define CRASHES  4 /* in total */

#define NONE    0
#define CLAIM   1
#define RELEASE 2

byte owner[VERSIONS];    /* of the slot, by version */
byte stopped[VERSIONS];  /* host listed as stopped, or NOBODY */
byte head;               /* newest version */
byte crashes;

byte row_owner = NOBODY; /* NOBODY: absent */
bool row_current;        /* written by the owner's current process */
bool row_free;

bool up[2];
byte version[2];
bool holds[2];           /* the host considers itself the owner of the slot */
bool releasing[2];
byte delay[2];           /* ticks until the slot may be used */
byte attempt[2];         /* ticks until the slot may be used if the claim takes effect */
byte in_use[2];          /* remaining ticks of the request in progress; 0: none */
byte orphan[2];          /* the same for an ended process */

/* A commit in flight, or one whose response was lost. */
byte commit_kind[2];
bool row_same[2];        /* the row has not changed since it was read */
bool head_same[2];       /* the same for the newest version */
bool commit_current[2];  /* sent by the host's current process */

#define CONFIGURED(h) (owner[version[h]] == h && stopped[version[h]] != h)
#define OWN_ROW(h)    (row_owner == h && row_current)
#define PREDECESSOR(h) (row_owner == h && !row_current)
#define STOPPED_OWNER(h) (row_owner == 1 - h && stopped[version[h]] == 1 - h)

#ifdef MUTANT
#define NEWEST(h) true
#define UNCHANGED(h) (row_same[h])
#else
#define NEWEST(h) (version[h] == head)
#define UNCHANGED(h) (row_same[h] && (commit_kind[h] == RELEASE || head_same[h]))
#endif

inline prepare(h, kind) {
	commit_kind[h] = kind;
	row_same[h] = true;
	head_same[h] = true;
	commit_current[h] = true
}

inline row_changed() {
	row_same[0] = false;
	row_same[1] = false
}

/* Clears the details of a finished commit, which keeps the state space small. */
inline finish(h) {
	commit_kind[h] = NONE;
	row_same[h] = false;
	head_same[h] = false;
	commit_current[h] = false
}

/* Applies the commit if its conditions hold. */
inline take_effect(h) {
	if
	:: UNCHANGED(h) && commit_kind[h] == CLAIM ->
		row_owner = h; row_current = commit_current[h]; row_free = false; row_changed()
	:: UNCHANGED(h) && commit_kind[h] == RELEASE ->
		row_free = true; row_changed()
	:: else
	fi
}

inline tick(h) {
	orphan[h] = (orphan[h] > 0 -> orphan[h] - 1 : 0);
	in_use[h] = (in_use[h] > 0 -> in_use[h] - 1 : 0);
	delay[h] = (delay[h] > 0 -> delay[h] - 1 : 0);
	attempt[h] = (attempt[h] > 0 -> attempt[h] - 1 : 0)
}

inline end_process(h) {
	orphan[h] = (in_use[h] > orphan[h] -> in_use[h] : orphan[h]);
	in_use[h] = 0;
	up[h] = false;
	commit_current[h] = false;
	row_current = row_current && row_owner != h;
	holds[h] = false;
	releasing[h] = false;
	delay[h] = 0;
	attempt[h] = 0
}

inline apply(h, v) {
	version[h] = v;
	if
	:: stopped[version[h]] == h -> holds[h] = false
	:: else
	fi
}

#define HOST(h) \
	/* Requests. */ \
	:: d_step { up[h] && holds[h] && delay[h] == 0 && CONFIGURED(h) && in_use[h] == 0 -> \
		assert(in_use[1 - h] == 0 && orphan[0] == 0 && orphan[1] == 0); \
		in_use[h] = EXPOSURE } \
	:: d_step { in_use[h] > 0 -> in_use[h] = 0 } \
	/* Claims. */ \
	:: d_step { up[h] && !holds[h] && CONFIGURED(h) && NEWEST(h) && commit_kind[h] == NONE && \
		(row_owner == NOBODY || row_free || OWN_ROW(h)) -> \
		releasing[h] = false; prepare(h, CLAIM) } \
	:: d_step { up[h] && !holds[h] && CONFIGURED(h) && NEWEST(h) && commit_kind[h] == NONE && \
		row_owner != NOBODY && !row_free && (PREDECESSOR(h) || STOPPED_OWNER(h)) -> \
		releasing[h] = false; attempt[h] = EXPOSURE; prepare(h, CLAIM) } \
	:: d_step { up[h] && commit_kind[h] == CLAIM && commit_current[h] && UNCHANGED(h) -> \
		take_effect(h); finish(h); \
		if \
		:: stopped[version[h]] != h -> holds[h] = true; delay[h] = attempt[h] \
		:: else \
		fi } \
	/* The response is lost, or the commit takes effect late, or it fails. */ \
	:: d_step { commit_kind[h] != NONE -> take_effect(h); finish(h) } \
	/* Releases. */ \
	:: d_step { up[h] && holds[h] && owner[version[h]] != h && delay[h] == 0 && in_use[h] == 0 -> \
		holds[h] = false; releasing[h] = true } \
	:: d_step { up[h] && releasing[h] && !CONFIGURED(h) && commit_kind[h] == NONE && \
		OWN_ROW(h) && !row_free -> prepare(h, RELEASE) } \
	:: d_step { up[h] && holds[h] && delay[h] == 0 && in_use[h] == 0 && OWN_ROW(h) && !row_free -> \
		row_free = true; row_changed(); end_process(h) } /* graceful shutdown */ \
	/* Versions and crashes. */ \
	:: d_step { up[h] && version[h] < head -> apply(h, version[h] + 1) } \
	:: d_step { up[h] && version[h] < head -> apply(h, head) } \
	:: d_step { up[h] && crashes < CRASHES -> crashes++; end_process(h) } \
	:: d_step { !up[h] && stopped[head] != h -> up[h] = true } \
	:: d_step { !up[h] && stopped[head] != h && version[h] < head -> \
		up[h] = true; apply(h, head) }

#define PUBLISH(o, s, allowed) \
	:: d_step { head < VERSIONS - 1 && allowed -> \
		owner[head + 1] = o; stopped[head + 1] = s; head++; \
		head_same[0] = false; head_same[1] = false }

active proctype fleet() {
	stopped[0] = NOBODY;
	up[0] = true;
	up[1] = true;
	do
	:: d_step { tick(0); tick(1) }
	HOST(0)
	HOST(1)
	PUBLISH(0, NOBODY, true)
	PUBLISH(1, NOBODY, true)
	PUBLISH(0, 1, !up[1])
	PUBLISH(1, 0, !up[0])
	od
}
