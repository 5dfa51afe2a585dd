/* Load and unload decisions (docs/design.md, section 5.4; internal/loading).
 *
 * Two hosts decide by conditional commits on the rows of two engines, each of
 * which has memory for one model. Model 1 may have one replica, model 2 two. Any
 * host can complete a decision of the other. Hosts crash between commit and
 * order; orders are delayed, reordered and lost; engines crash; engine 0 ignores
 * fencing tokens and engine 1 refuses old ones; reports are delayed.
 *
 * Loading is instantaneous, because a model counts as present from the arrival of
 * the order. A host crash before sending is equivalent to a lost order.
 *
 * Checked: an engine never holds a model without a reservation for it (so that
 * replicas never exceed the decided number), and never receives a load order
 * while it holds another model (memory limit).
 *
 * A reservation is marked aged when the order window has passed since its commit.
 * The sender checks the window before it sends, and the window includes the
 * longest delay of an order, so no order is in flight when the reservation ages.
 * The mutant drops a reservation when a report does not show the model, without
 * waiting for the latest arrival time of the order.
 */

#define ENGINES 2
#define HOSTS   2
#define SLOTS   2	/* orders in flight; a third is lost */
#ifndef REVISIONS
#define REVISIONS 5	/* commits explored */
#endif

#define NONE      0
#define LOADING   1
#define LOADED    2
#define UNLOADING 3

#define LOAD   1
#define UNLOAD 2

/* Rows "upstream/<address>"; the model rows are derived from them. */
typedef Row { byte model; byte state; byte fence; bool aged }
Row row[ENGINES];
byte revision;

/* Engines. */
typedef Engine { byte model; byte fence; byte highest }
Engine eng[ENGINES];

/* The last report of each engine. after: it was taken after the row's last change. */
typedef Report { byte model; byte fence; bool after }
Report rep[ENGINES];

/* Orders that are committed but not sent, by host, and orders in flight. */
typedef Order { byte kind; byte engine; byte model; byte fence }
Order pending[HOSTS];
Order flight[SLOTS];

inline changed(u) {
	row[u].aged = false;
	rep[u].after = false
}

/* Commits a decision of host h together with its order. */
inline decide(h, k, u, m, s) {
	revision++;
	row[u].model = m;
	row[u].state = s;
	row[u].fence = revision;
	changed(u);
	pending[h].kind = k;
	pending[h].engine = u;
	pending[h].model = m;
	pending[h].fence = revision
}

inline drop(u) {
	assert(eng[u].model != row[u].model);
	row[u].model = 0;
	row[u].state = NONE;
	row[u].fence = 0;
	changed(u)
}

#define replicas(m) ((row[0].model == m) + (row[1].model == m))
#define inFlight(f) (flight[0].kind != 0 && flight[0].fence == f || \
	flight[1].kind != 0 && flight[1].fence == f)
#define canCommit(h) (pending[h].kind == 0 && revision < REVISIONS)

#ifdef MUTANT
#define arrivalPassed(u) true
#else
#define arrivalPassed(u) row[u].aged
#endif

inline forget(h) {
	pending[h].kind = 0;
	pending[h].engine = 0;
	pending[h].model = 0;
	pending[h].fence = 0
}

proctype Host(byte h) {
	byte u, m, i;
	do
	:: atomic { select(u : 0 .. 1); select(m : 1 .. 2);
		if
		/* load */
		:: canCommit(h) && row[u].state == NONE && replicas(m) < m ->
			decide(h, LOAD, u, m, LOADING)
		/* unload, or repeat an unload whose order may be lost */
		:: canCommit(h) && (row[u].state == LOADED ||
			row[u].state == UNLOADING && row[u].aged) ->
			m = row[u].model;
			decide(h, UNLOAD, u, m, UNLOADING)
		/* complete a decision based on a report */
		:: row[u].state == LOADING && rep[u].model == row[u].model &&
			rep[u].fence == row[u].fence ->
			row[u].state = LOADED; changed(u)
		:: row[u].state == LOADING && rep[u].model != row[u].model &&
			rep[u].after && arrivalPassed(u) -> drop(u)
		:: (row[u].state == LOADED || row[u].state == UNLOADING) &&
			rep[u].model != row[u].model && rep[u].after -> drop(u)
		:: else
		fi; u = 0; m = 0 }
	/* send */
	:: atomic { pending[h].kind != 0 ->
		i = 0;
		do
		:: i < SLOTS && flight[i].kind != 0 -> i++
		:: else -> break
		od;
		if
		:: i < SLOTS ->
			flight[i].kind = pending[h].kind;
			flight[i].engine = pending[h].engine;
			flight[i].model = pending[h].model;
			flight[i].fence = pending[h].fence
		:: else
		fi;
		forget(h); i = 0 }
	od
}

inline land(i) {
	flight[i].kind = 0;
	flight[i].engine = 0;
	flight[i].model = 0;
	flight[i].fence = 0
}

/* The network and the engines. */
proctype World() {
	byte i, u;
	do
	:: atomic { select(i : 0 .. 1); flight[i].kind != 0 -> u = flight[i].engine;
		if
		:: u == 1 && flight[i].fence < eng[u].highest ->
			/* refused; the sender may receive the refusal and drop the reservation */
			if
			:: row[u].fence == flight[i].fence && row[u].state == LOADING -> drop(u)
			:: true
			fi
		:: !(u == 1 && flight[i].fence < eng[u].highest) ->
			if
			:: u == 1 -> eng[u].highest = flight[i].fence
			:: else
			fi;
			if
			:: flight[i].kind == LOAD ->
				assert(eng[u].model == 0 || eng[u].model == flight[i].model);
				assert(row[u].model == flight[i].model);
				if
				:: eng[u].model == 0 ->
					eng[u].model = flight[i].model;
					eng[u].fence = flight[i].fence
				:: else
				fi
			:: flight[i].kind == UNLOAD && eng[u].model == flight[i].model ->
				eng[u].model = 0; eng[u].fence = 0
			:: else
			fi
		fi;
		land(i); i = 0; u = 0 }
	/* lost order */
	:: atomic { select(i : 0 .. 1); flight[i].kind != 0 -> land(i); i = 0 }
	/* crash */
	:: atomic { select(u : 0 .. 1); eng[u].model != 0 ->
		eng[u].model = 0; eng[u].fence = 0; eng[u].highest = 0; u = 0 }
	/* report */
	:: atomic { select(u : 0 .. 1);
		rep[u].model = eng[u].model; rep[u].fence = eng[u].fence;
		rep[u].after = true; u = 0 }
	/* the order window of a reservation passes */
	:: atomic { select(u : 0 .. 1);
		(row[u].state == LOADING || row[u].state == UNLOADING) && !row[u].aged && !inFlight(row[u].fence) ->
		row[u].aged = true; rep[u].after = false;
		/* a host checks the window immediately before it sends */
		if
		:: pending[0].kind != 0 && pending[0].fence == row[u].fence -> forget(0)
		:: else
		fi;
		if
		:: pending[1].kind != 0 && pending[1].fence == row[u].fence -> forget(1)
		:: else
		fi; u = 0 }
	od
}

init {
	atomic { run Host(0); run Host(1); run World() }
}
