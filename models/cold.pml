/*
 * The rate of a cold endpoint, shared among hosts without a message.
 *
 * In each window of time the endpoint bears RATE requests. A host sends its part of the rate, which follows from
 * the hosts that it knows: alone it has the whole rate, otherwise RATE hosts, the first of a fixed order, have one request
 * each. Hosts are cut off from all others and come back, crash, and start again with the list of hosts from the store. Each of
 * them always has requests, and sends them at any time within a window.
 *
 * Property: the hosts together never send more than RATE requests in a window.
 * Not modelled: windows that begin at any time, for which the code leaves a margin; hosts that join under new names while others
 * are cut off; the time after which a host that is not heard of is forgotten.
 *
 * Each of these macros removes one guard:
 *   ALIVE_ONLY  a host counts only those that it hears of
 *   NO_JOIN     a host that starts sends before it knows the others
 *   BURST       a host makes up for parts that it has not used
 */
#define HOSTS 3
#define ALL 7
#define RATE 2
#define END 4    /* windows */
#define CHANGES 4 /* changes of the hosts */

byte now;
byte sent;            /* requests of all hosts in this window */
byte known[HOSTS];    /* set of hosts that each host knows */
byte credit[HOSTS];   /* requests that each host may still send in this window */
bool joined[HOSTS];
bool crashed[HOSTS];
bool cut[HOSTS];

/* has(set, i) is whether the set contains host i. */
#define has(set, i) ((set >> (i)) & 1)

/* hears(i, j) is whether host i hears of host j. */
#define hears(i, j) (i == j || (!cut[i] && !cut[j] && !crashed[j]))

inline setCredit(i) {
	byte basis = known[i];
	byte j = 0, count = 0, rank = 0;
#ifdef ALIVE_ONLY
	basis = 0;
	do
	:: j < HOSTS -> if :: hears(i, j) -> basis = basis | (1 << j) :: else fi; j++
	:: else -> break
	od;
	j = 0;
#endif
	do
	:: j < HOSTS ->
		if
		:: has(basis, j) -> count++; if :: j < i -> rank++ :: else fi
		:: else
		fi;
		j++
	:: else -> break
	od;
#ifndef BURST
	credit[i] = 0;
#endif
	if
	:: crashed[i] || !joined[i]
	:: else ->
		if
		:: count == 1 -> credit[i] = credit[i] + RATE
		:: count > 1 && rank < RATE -> credit[i] = credit[i] + 1
		:: else
		fi
	fi
}

init {
	byte i = 0;
	atomic {
		do
		:: i < HOSTS -> known[i] = ALL; joined[i] = true; i++
		:: else -> break
		od;
		run Clock(); run Host(0); run Host(1); run Host(2); run Change()
	}
}

proctype Clock() {
	byte h;
	do
	:: now < END ->
		d_step {
			now++;
			sent = 0;
			h = 0;
			do
			:: h < HOSTS -> setCredit(h); h++
			:: else -> break
			od;
			h = 0
		}
	:: else -> break
	od
}

proctype Host(byte self) {
endWaiting:
	do
	:: atomic { credit[self] > 0 && !crashed[self] -> credit[self]--; sent++; assert(sent <= RATE) }
	:: atomic { !joined[self] && !crashed[self] && !cut[self] -> known[self] = ALL; joined[self] = true }
	od
}

proctype Change() {
	byte left = CHANGES;
	byte h;
endStable:
	do
	:: left > 0 ->
		atomic {
			select (h : 0 .. 2);
			left--;
			if
			:: cut[h] = !cut[h]
			:: !crashed[h] -> crashed[h] = true; credit[h] = 0
			:: crashed[h] ->
				crashed[h] = false;
				known[h] = 1 << h;
#ifdef NO_JOIN
				joined[h] = true
#else
				joined[h] = false
#endif
			fi
		}
	:: left == 0 -> break
	od
}
