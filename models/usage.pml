/*
 * Sealing and reporting of usage windows.
 *
 * The counts of a shard only grow. Two holders of the lease seal windows and send the sealed
 * figures; the first may pause at any step and continue after the second has taken over. Each
 * seal is written under its own key and is valid once the head refers to it. The head is the
 * record of a shard that names the last sealed and the last reported window. It is changed by
 * compare-and-swap, and the response to the write may be lost. Usage that was
 * counted but is in no valid seal goes into the seal of the next window.
 *
 * Property: all reports of a window have the same figures, and at the end each count was
 * reported once.
 * Not modelled: that two holders do not send at the same time, which charge.pml checks; here
 * a replaced holder may also send sealed figures.
 *
 * Each of these macros removes one guard:
 *   NO_COMPARE     the head is written without comparing its version
 *   SEND_UNSEALED  figures are sent before the head refers to their seal
 *   ONE_KEY        the seal of a window has one key, which every holder may write
 *   LOST_IS_FAILED a head write whose response was lost is treated as failed: the version is
 *                  read again, and the window is sealed again
 */
#define HOLDERS 2
#define WINDOWS 2
#define GROWTH 3
#define NONE 255
#define LIMIT 20 /* head version above which LOST_IS_FAILED no longer repeats a write */

byte counted;
byte closedWindows;

/* the head */
byte headVersion = 1;
byte headLast;          /* number of sealed windows */
byte headReported;

/* figures in the valid seals, by window; index 0 is unused */
byte seal[3];

/* figures that the platform received, by window; index 0 is unused */
byte billed[3] = NONE;
byte finished;

inline report(w, figures)
{
	assert(billed[w] == NONE || billed[w] == figures);
	billed[w] = figures
}

active proctype Count()
{
	do
	:: atomic { counted < GROWTH && closedWindows < WINDOWS -> counted++ }
	:: atomic { closedWindows < WINDOWS -> closedWindows++ }
	:: closedWindows == WINDOWS -> break
	od
}

proctype Holder(byte h)
{
	byte version, last, reported, figures, sum;
	bool done, lost;
open:
	/* read the head and take it over */
	atomic { version = headVersion; last = headLast; reported = headReported; done = false; lost = false };
	atomic {
		if
		:: version == headVersion -> headVersion++; version = headVersion
		:: else -> goto open
		fi
	}
	do
	:: atomic { reported < last ->
		figures = seal[reported + 1] };
		atomic { report(reported + 1, figures) };
		atomic {
			if
			:: version == headVersion -> headVersion++; version = headVersion; headReported = reported + 1; reported++
			:: else -> goto replaced
			fi
		}
	:: atomic { reported == last && last < closedWindows ->
		/* all counts that are in no valid seal */
		sum = (last >= 1 -> seal[1] : 0) + (last >= 2 -> seal[2] : 0);
		figures = counted - sum; sum = 0 };
#ifdef SEND_UNSEALED
		atomic { report(last + 1, figures) };
#endif
#ifdef ONE_KEY
		atomic { seal[last + 1] = figures };
#endif
		atomic { /* the head refers to the seal */
			if
#ifdef NO_COMPARE
			:: true ->
#else
			:: version == headVersion ->
#endif
				headVersion++; version = headVersion; headLast = last + 1;
#ifndef ONE_KEY
				seal[last + 1] = figures;
#endif
				done = true
#ifndef NO_COMPARE
			:: else -> done = false
#endif
			fi;
			if
			:: lost = false
			:: lost = true
			fi
		};
		atomic {
			if
#ifdef LOST_IS_FAILED
			/* the new version is adopted, but last is not, so that the window is sealed again */
			:: done && lost && headVersion < LIMIT -> version = headVersion
			:: done && lost && headVersion >= LIMIT -> goto replaced
			:: !done || !lost -> if :: done -> last++ :: else -> goto replaced fi
#else
			/* a lost response is resolved by reading the head again */
			:: done && (!lost || headVersion == version) -> last++
			:: done && lost && headVersion != version -> goto replaced
			:: !done -> goto replaced
#endif
			fi;
			figures = 0
		}
	:: atomic { reported == last && last == WINDOWS -> break }
	od;
replaced:
	atomic {
		figures = 0;
		/* only the second holder takes over again; the first one stays replaced */
		if
		:: headReported < WINDOWS && closedWindows <= WINDOWS && h == 1 -> goto open
		:: else
		fi
	}
	finished++
}

init
{
	atomic { run Holder(0); run Holder(1) }
	finished == HOLDERS && closedWindows == WINDOWS && headReported == WINDOWS;
	assert(billed[1] + billed[2] == seal[1] + seal[2]);
	assert(billed[1] + billed[2] <= counted)
}
