/*
 * Commit of a release note, and when it counts as accepted.
 *
 * A host learns the head through a relay, by two calls that may cross. What it learns is evidence that its
 * revision was the head at some instant; the instant counts from before the request
 * was sent. It serves by its revision only while the evidence is younger than L.
 * The operator's answer waits L after the commit was seen. Each message and each
 * process may be late or paused for any time.
 *
 * Checked: after the acceptance the host does not serve the old revision, and it
 * never goes back to an older one.
 * Left out: clock drift, which the code adds to the wait; a request that was
 * admitted before the acceptance and still runs after it.
 *
 * Each of these takes out one guard:
 *   FROM_ANSWER     evidence counts from the answer
 *   RESTAMP         the relay passes on its copy as if it were new
 *   NO_EXPIRY       the host serves without looking at the age of the evidence
 *   NO_WAIT         the note is accepted at once
 *   WAIT_FROM_SEND  the wait counts from before the commit was sent
 *   NO_MONOTONE     a late answer with an older revision is taken over
 */
#define L 2
#define END 5

#ifdef NO_EXPIRY
#define mayServe true
#else
#define mayServe (now < since + L)
#endif

byte now;
byte head = 1;
bool accepted;

/* the relay's copy */
byte relayRevision = 1;
byte relaySince;

/* the host's */
byte revision = 1;
byte since;

active proctype Clock()
{
	do
	:: atomic { now < END -> now++ }
	:: now == END -> break
	od
}

active proctype Operator()
{
	byte seen;
	seen = now;
endUncommitted:
	atomic { /* the commit takes effect; its answer comes later */
		now < END -> head = 2
	};
#ifndef WAIT_FROM_SEND
	seen = now;
#endif
#ifndef NO_WAIT
endWaiting:
	now >= seen + L;
#endif
	accepted = true
}

active proctype Relay()
{
	byte sent, found;
	do
	:: now == END -> break
	:: now < END -> sent = now;
		atomic { found = head };
		atomic {
#ifdef FROM_ANSWER
			sent = now;
#endif
			relayRevision = found; relaySince = sent;
			sent = 0; found = 0
		}
	od
}

active [2] proctype Fetch()
{
	byte sent, foundRevision, foundSince;
	do
	:: now == END -> break
	:: now < END -> sent = now;
		atomic { foundRevision = relayRevision; foundSince = relaySince };
		atomic {
#ifdef RESTAMP
			foundSince = sent;
#endif
#ifndef NO_MONOTONE
			if
			:: foundRevision < revision
			:: else ->
#endif
				assert(foundRevision >= revision);
				revision = foundRevision;
				if
				:: foundSince > since -> since = foundSince
				:: else
				fi
#ifndef NO_MONOTONE
			fi
#endif
			;
			sent = 0; foundRevision = 0; foundSince = 0
		}
	od
}

active proctype Serve()
{
	do
	:: now == END -> break
	:: atomic { mayServe && now < END -> assert(!accepted || revision == head) }
	od
}
