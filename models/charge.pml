/*
 * Lease for a duty, and the orders that the lease holder sends.
 *
 * The lease is a record that is changed by compare-and-swap. Host 0 holds it, and renews or
 * releases it; host 1 acquires it next. Each host has a lease loop and a sender. Each of these
 * may pause at every step for any time, also during the whole takeover. A response of the
 * key-value service may be lost after the write took effect. An order is delivered before
 * FLIGHT ticks have passed since its last bytes were written, or never. The receiver ignores
 * fencing numbers unless FENCED is defined.
 *
 * Property: no order of a term is delivered after a later term began. With FENCED there is no
 * assertion: the receiver does not execute an order of an older term than the last one it executed.
 * Bounds: END ticks, WRITES versions of the record, ORDERS orders by each host.
 * Not modelled: clock drift, which the code subtracts from the validity.
 *
 * Each of these macros removes one guard:
 *   NO_CHECK      the clock is not checked before the last bytes are written
 *   NO_WATCHDOG   a process whose term ends between the check and the last bytes is not killed
 *   NO_WAIT       the successor does not wait for orders in flight
 *   NO_OBSERVE    the successor does not wait until the record is unchanged for the TTL
 *   FROM_ANSWER   the validity counts from the receipt of the response instead of from before the request
 *   ASSUME        a write whose response was lost may be assumed to have taken effect
 *   NO_BEGIN      the lease is released while an order is being sent
 */
#define HOSTS 2
#define TTL 2
#define FLIGHT 1
/* With FENCED there are fewer ticks, because the removed guards give many more states. */
#ifdef FENCED
#define END 4
#else
#define END 6
#endif
#define WRITES 4
#define ORDERS 1

byte now;
byte version;
bool released;
byte startedTerm; /* the highest term that began to send an order */
byte highestTerm; /* the highest fencing number that the receiver has seen */

/* state of each host */
bool held[HOSTS];
bool releasing[HOSTS];
bool sending[HOSTS];
bool killed[HOSTS];
byte term[HOSTS];
byte written[HOSTS];
byte validUntil[HOSTS];
byte validFrom[HOSTS];

/* the order in flight from each host */
bool inFlight[HOSTS];
byte inFlightTerm[HOSTS];
byte deliverBy[HOSTS];

/*
 * Conditions that the guards check. mayAcquire uses seen and seenAt of Successor, checkPasses and
 * watchdogKills use orderTerm and until of Sender.
 */
#ifdef NO_OBSERVE
#define mayAcquire(h) true
#else
#define mayAcquire(h) (now >= seenAt + TTL || (released && seen == version))
#endif

#ifdef NO_BEGIN
#define mayRelease(h) true
#define notSending(h) true
#else
#define mayRelease(h) (!sending[h] || now >= validUntil[h])
#define notSending(h) (!sending[h])
#endif

#ifdef NO_CHECK
#define checkPasses(h) true
#else
#define checkPasses(h) (termValid(h) && term[h] == orderTerm && now < until)
#endif

#if defined(NO_CHECK) || defined(NO_WATCHDOG)
#define watchdogKills false
#else
#define watchdogKills (now >= until)
#endif

#define termValid(h) (held[h] && !releasing[h] && now >= validFrom[h] && now < validUntil[h])
/* The clock stops before the time by which an order in flight must be delivered. */
#define canAdvance(h) (!inFlight[h] || deliverBy[h] > now + 1)

active proctype Clock()
{
	do
	:: atomic { now < END && canAdvance(0) && canAdvance(1) -> now++ }
	:: now == END -> break
	od
}

active proctype Network()
{
	byte h;
	do
	:: atomic {
		inFlight[0] || inFlight[1];
		if
		:: inFlight[0] -> h = 0
		:: inFlight[1] -> h = 1
		fi;
		inFlight[h] = false;
		if
		:: true /* dropped */
		:: true ->
#ifdef FENCED
			if
			:: inFlightTerm[h] >= highestTerm -> highestTerm = inFlightTerm[h]
			:: else
			fi
#else
			assert(inFlightTerm[h] >= startedTerm)
#endif
		fi;
		h = 0
	}
	:: now == END && !inFlight[0] && !inFlight[1] -> break
	od
}

/*
 * Resolves a write. Before, effective says whether the write took effect; after, whether the host
 * considers it effective. If the response was lost and the record was overwritten, the host
 * considers the write failed. With ASSUME it may consider a failed write effective.
 */
inline resolveWrite(h)
{
	if
	:: effective ->
		/* the response arrived, or a read showed that the record is still the one written */
		if
		:: true
		:: version != written[h] -> effective = false
		fi
	:: else ->
#ifdef ASSUME
		if
		:: true
		:: effective = true; written[h] = seen + 1
		fi
#else
		skip
#endif
	fi
}

active proctype Holder()
{
	byte sent, renewed, seen;
	bool effective;
	do
	:: now == END || killed[0] || !held[0] -> break
	:: atomic { held[0] && now < END && version < WRITES && now > renewed ->
		sent = now; renewed = now; seen = written[0] };
		atomic { /* the renewal takes effect */
			if
			:: version == seen -> version++; written[0] = version; effective = true
			:: else
			fi
		}
		atomic {
			resolveWrite(0);
			if
			:: effective ->
#ifdef FROM_ANSWER
				sent = now;
#endif
				validUntil[0] = sent + TTL
			:: else -> held[0] = false
			fi;
			effective = false; sent = 0; seen = 0
		}
	:: atomic { held[0] && now < END && version < WRITES -> releasing[0] = true };
		atomic {
			mayRelease(0);
			if
			:: version == written[0] && notSending(0) -> version++; released = true
			:: else
			fi;
			held[0] = false; renewed = 0; break
		}
	od
}

active proctype Successor()
{
	byte seen, seenAt, sent;
	bool known, effective;
	do
	:: now == END -> break
	:: atomic { (!known || seen != version) && now < END -> known = true; seen = version; seenAt = now }
	:: atomic { known && now < END && mayAcquire(1) -> sent = now };
		atomic { /* the write takes effect */
			if
			:: version == seen -> version++; released = false; written[1] = version; effective = true
			:: else
			fi
		}
		atomic {
			resolveWrite(1);
			if
			:: effective ->
				held[1] = true; term[1] = written[1];
#ifdef FROM_ANSWER
				sent = now;
#endif
				validUntil[1] = sent + TTL;
#ifdef NO_WAIT
				validFrom[1] = now;
#else
				validFrom[1] = now + FLIGHT;
#endif
				break
			:: else -> known = false
			fi;
			sent = 0
		}
	od
}

proctype Sender(byte h)
{
	byte orderTerm, until, orders;
	do
	:: now == END -> break
	:: atomic { !sending[h] && !inFlight[h] && termValid(h) && now < END && orders < ORDERS ->
		orders++; sending[h] = true; orderTerm = term[h]; until = validUntil[h];
		if
		:: orderTerm > startedTerm -> startedTerm = orderTerm
		:: else
		fi
	};
		/* all but the last bytes are written here */
		if
		:: atomic { checkPasses(h) };
			/* the process may pause between the check and the last bytes */
			atomic {
				if
				:: watchdogKills -> killed[h] = true; held[h] = false; sending[h] = false; break
				:: else -> inFlight[h] = true; inFlightTerm[h] = orderTerm; deliverBy[h] = now + FLIGHT
				fi
			}
		:: atomic { !(termValid(h) && term[h] == orderTerm && now < until) }
		fi;
		atomic { sending[h] = false; orderTerm = 0; until = 0 }
	od
}

init
{
	atomic {
		version = 1; term[0] = 1; written[0] = 1; held[0] = true; validUntil[0] = TTL;
		run Sender(0); run Sender(1)
	}
}
