/*
 * A duty held by lease, and orders of the process in charge of it.
 *
 * Host 0 holds the record, which is changed by compare-and-swap, and renews or
 * releases it; host 1 takes it over. Each has a lease loop and a sender; all may be
 * paused at every step for any time, also during the whole takeover. Answers
 * of the key-value service may be lost after the effect. An order is delivered
 * before FLIGHT ticks have passed since its last bytes were written, or never. The receiver
 * ignores fencing numbers unless FENCED is defined.
 *
 * Checked: no order arrives from a term after a later term began.
 * Bounds: END ticks, WRITES versions of the record, ORDERS by each host.
 * Left out: clock drift, which the code takes off the validity.
 *
 * Each of these takes out one guard:
 *   NO_CHECK      the clock is not checked before the last bytes
 *   NO_WATCHDOG   the process is not killed between the check and the last bytes
 *   NO_WAIT       the successor does not wait for orders in flight
 *   NO_OBSERVE    the successor does not watch the record for the TTL
 *   FROM_ANSWER   validity counts from the answer, not from before the request
 *   ASSUME        a write whose answer was lost is taken as effective
 *   NO_BEGIN      the lease is released while an order is under way
 */
#define HOSTS 2
#define TTL 2
#define FLIGHT 1
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
byte begun;
byte highest;

bool held[HOSTS];
bool closing[HOSTS];
bool working[HOSTS];
bool dead[HOSTS];
byte number[HOSTS];
byte current[HOSTS];
byte validUntil[HOSTS];
byte begins[HOSTS];

bool flying[HOSTS];
byte flyingNumber[HOSTS];
byte due[HOSTS];

#ifdef NO_OBSERVE
#define mayTake(h) true
#else
#define mayTake(h) (now >= seenAt + TTL || (released && seen == version))
#endif

#ifdef NO_BEGIN
#define mayRelease(h) true
#define idle(h)       true
#else
#define mayRelease(h) (!working[h] || now >= validUntil[h])
#define idle(h)       (!working[h])
#endif

#ifdef NO_CHECK
#define passes(h) true
#else
#define passes(h) (inCharge(h) && number[h] == own && now < until)
#endif

#if defined(NO_CHECK) || defined(NO_WATCHDOG)
#define isKilled false
#else
#define isKilled (now >= until)
#endif

#define inCharge(h) (held[h] && !closing[h] && now >= begins[h] && now < validUntil[h])
#define inTime(h)   (!flying[h] || due[h] > now + 1)

active proctype Clock()
{
	do
	:: atomic { now < END && inTime(0) && inTime(1) -> now++ }
	:: now == END -> break
	od
}

active proctype Network()
{
	byte h;
	do
	:: atomic {
		flying[0] || flying[1];
		if
		:: flying[0] -> h = 0
		:: flying[1] -> h = 1
		fi;
		flying[h] = false;
		if
		:: true /* dropped */
		:: true ->
#ifdef FENCED
			if
			:: flyingNumber[h] >= highest -> highest = flyingNumber[h]
			:: else
			fi
#else
			assert(flyingNumber[h] >= begun)
#endif
		fi;
		h = 0
	}
	:: now == END && !flying[0] && !flying[1] -> break
	od
}

inline settle(h)
{
	if
	:: effective ->
		/* the answer, or the read back of the own write when nobody overwrote it */
		if
		:: true
		:: version != current[h] -> effective = false
		fi
	:: else ->
#ifdef ASSUME
		if
		:: true
		:: effective = true; current[h] = seen + 1
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
	:: now == END || dead[0] || !held[0] -> break
	:: atomic { held[0] && now < END && version < WRITES && now > renewed ->
		sent = now; renewed = now; seen = current[0] };
		atomic { /* the renewal takes effect */
			if
			:: version == seen -> version++; current[0] = version; effective = true
			:: else
			fi
		}
		atomic {
			settle(0);
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
	:: atomic { held[0] && now < END && version < WRITES -> closing[0] = true };
		atomic {
			mayRelease(0);
			if
			:: version == current[0] && idle(0) -> version++; released = true
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
	:: atomic { known && now < END && mayTake(1) -> sent = now };
		atomic { /* the write takes effect */
			if
			:: version == seen -> version++; released = false; current[1] = version; effective = true
			:: else
			fi
		}
		atomic {
			settle(1);
			if
			:: effective ->
				held[1] = true; number[1] = current[1];
#ifdef FROM_ANSWER
				sent = now;
#endif
				validUntil[1] = sent + TTL;
#ifdef NO_WAIT
				begins[1] = now;
#else
				begins[1] = now + FLIGHT;
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
	byte own, until, orders;
	do
	:: now == END -> break
	:: atomic { !working[h] && !flying[h] && inCharge(h) && now < END && orders < ORDERS ->
		orders++; working[h] = true; own = number[h]; until = validUntil[h];
		if
		:: own > begun -> begun = own
		:: else
		fi
	};
		/* all but the last bytes are written here */
		if
		:: atomic { passes(h) };
			/* a pause between the check and the last bytes */
			atomic {
				if
				:: isKilled -> dead[h] = true; held[h] = false; working[h] = false; break
				:: else -> flying[h] = true; flyingNumber[h] = own; due[h] = now + FLIGHT
				fi
			}
		:: atomic { !(inCharge(h) && number[h] == own && now < until) }
		fi;
		atomic { working[h] = false; own = 0; until = 0 }
	od
}

init
{
	atomic {
		version = 1; number[0] = 1; current[0] = 1; held[0] = true; validUntil[0] = TTL;
		run Sender(0); run Sender(1)
	}
}
