/*
 * Commit of a release note, and its acceptance. A note is accepted once no host serves by an
 * older revision.
 *
 * A host fetches the head revision through a relay, with two concurrent fetches whose responses
 * may arrive out of order. A response proves that the revision was the head at some instant,
 * which is the time before the relay sent its request. The host serves by its revision only
 * while its newest proof is younger than PROOF_LIFETIME. The operator considers the note accepted
 * PROOF_LIFETIME after it learned that the commit had taken effect. Each message may be delayed
 * and each process paused for any time.
 *
 * Property: after the acceptance the host does not serve the old revision, and it never
 * returns to an older revision.
 * Not modelled: clock drift, which the code adds to the wait; a request that was admitted
 * before the acceptance and still runs after it.
 *
 * Each of these macros removes one guard:
 *   FROM_ANSWER     the proof counts from the receipt of the response instead of from before the request
 *   RESTAMP         the relay passes on its copy with the time of the fetch
 *   NO_EXPIRY       the host serves without checking the age of the proof
 *   NO_WAIT         the note is accepted at once
 *   WAIT_FROM_SEND  the wait counts from before the commit was sent
 *   NO_MONOTONE     a late response with an older revision replaces a newer one
 */
#define PROOF_LIFETIME 2 /* how long a host serves after its newest proof */
#define END 5

#ifdef NO_EXPIRY
#define proofValid true
#else
#define proofValid (now < proof + PROOF_LIFETIME)
#endif

byte now;
byte head = 1;
bool accepted;

/* the relay's copy */
byte relayRevision = 1;
byte relayProof;

/* the host's copy */
byte revision = 1;
byte proof;

active proctype Clock()
{
	do
	:: atomic { now < END -> now++ }
	:: now == END -> break
	od
}

/* Labels that begin with end mark states in which spin accepts that a process stays. */
active proctype Operator()
{
	byte seen;
	seen = now;
endUncommitted:
	atomic { /* the commit takes effect; its response arrives later */
		now < END -> head = 2
	};
#ifndef WAIT_FROM_SEND
	seen = now;
#endif
#ifndef NO_WAIT
endWaiting:
	now >= seen + PROOF_LIFETIME;
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
			relayRevision = found; relayProof = sent;
			sent = 0; found = 0
		}
	od
}

active [2] proctype Fetch()
{
	byte sent, foundRevision, foundProof;
	do
	:: now == END -> break
	:: now < END -> sent = now;
		atomic { foundRevision = relayRevision; foundProof = relayProof };
		atomic {
#ifdef RESTAMP
			foundProof = sent;
#endif
#ifndef NO_MONOTONE
			if
			:: foundRevision < revision
			:: else ->
#endif
				assert(foundRevision >= revision);
				revision = foundRevision;
				if
				:: foundProof > proof -> proof = foundProof
				:: else
				fi
#ifndef NO_MONOTONE
			fi
#endif
			;
			sent = 0; foundRevision = 0; foundProof = 0
		}
	od
}

active proctype Serve()
{
	do
	:: now == END -> break
	:: atomic { proofValid && now < END -> assert(!accepted || revision == head) }
	od
}
