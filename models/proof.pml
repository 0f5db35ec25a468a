/*
 * Evidence that a configuration is the newest.
 *
 * The operator withdraws a key at some time, which makes version 2. A host reads the source;
 * the call, the reading and the answer are apart. It tells its hub, which the
 * source turns away, how new its evidence is. Every message may take any time. The key is
 * honoured while the evidence for version 1 is at most LIMIT old.
 *
 * Checked: neither the host nor the hub honours the key later than LIMIT after its
 * withdrawal, and no version is replaced by an older one.
 * Left out: a second hub, whose stamps have another origin; clocks of different rates.
 *
 * Each of these takes out one guard:
 *   FROM_ANSWER  evidence counts from the answer, not from before the call
 *   AGE_ONLY     a report's evidence counts from its receipt less the age that it tells,
 *                not from the hub's stamp that it answers
 *   ANY_VERSION  an answer's version counts though a newer one is known
 */
#define LIMIT 1
#define END 3
#define NONE 255

byte now;
byte newest = 1;
byte withdrawn = NONE;

/* what the host holds: version, evidence, and the last stamp with its receipt */
byte hostVersion, hostProof;
byte stamp = NONE, stampReceived;

/* what the hub holds */
byte hubVersion, hubProof;

inline check(version, proof)
{
	assert(!(version == 1 && now - proof <= LIMIT && withdrawn != NONE && now - withdrawn > LIMIT))
}

active proctype Clock()
{
	do
	:: now < END -> atomic {
		now++;
		check(hostVersion, hostProof);
		check(hubVersion, hubProof)
	}
	:: now == END -> break
	od
}

active proctype Operator()
{
	if
	:: atomic { now < END -> newest = 2; withdrawn = now }
	:: skip
	fi
}

/* Two readings may be under way at once, as the source's answers may overtake each other. */
active [2] proctype Reading()
{
	byte sent, version;
	do
	:: now < END ->
		sent = now;
		version = newest;
		atomic {
#ifdef FROM_ANSWER
			sent = now;
#endif
			if
#ifdef ANY_VERSION
			:: version != hostVersion ->
				assert(version > hostVersion);
#else
			:: version > hostVersion ->
#endif
				hostVersion = version; hostProof = sent
			:: version == hostVersion && sent > hostProof -> hostProof = sent
			:: else
			fi;
			check(hostVersion, hostProof);
			version = 0; sent = 0
		}
	:: now == END -> break
	od
}

active proctype Summary()
{
	byte sent;
	do
	:: now < END ->
		sent = now;
		atomic { stamp = sent; stampReceived = now; sent = 0 }
	:: now == END -> break
	od
}

active proctype Report()
{
	byte version, proof;
	do
	:: now < END && hostVersion > 0 && stamp != NONE ->
		atomic {
			version = hostVersion;
#ifdef AGE_ONLY
			proof = now - hostProof
#else
			proof = (stamp + hostProof > stampReceived -> stamp + hostProof - stampReceived : 0)
#endif
		}
		atomic {
#ifdef AGE_ONLY
			proof = now - proof;
#endif
			if
			:: version > hubVersion -> hubVersion = version; hubProof = proof
			:: version == hubVersion && proof > hubProof -> hubProof = proof
			:: else
			fi;
			check(hubVersion, hubProof);
			version = 0; proof = 0
		}
	:: now == END -> break
	od
}
