/*
 * Proof that a configuration version was the newest at some instant.
 *
 * The operator withdraws a key at some time, which creates version 2. A host reads the version
 * from the source; sending the request, reading the version and receiving the response are
 * separate steps. The host reports its version and the time of its proof to a hub, which is a host
 * that collects the reports of others. In this model the source refuses the requests of the hub, so
 * that it learns the version only from this report. Each message may take any time. The key is
 * accepted while the proof for version 1 is at most LIMIT old.
 *
 * Property: more than LIMIT after the withdrawal, neither the host nor the hub accepts the
 * key, and no version is replaced by an older one.
 * Not modelled: a second hub, whose stamps come from another clock; clocks of different rates.
 *
 * Each of these macros removes one guard:
 *   FROM_ANSWER  the proof counts from the receipt of the response instead of from before the request
 *   AGE_ONLY     the time of a reported proof is computed from the receipt of the report and the
 *                reported age, instead of from the hub's stamp that the report returns
 *   ANY_VERSION  the version of a response is used although a newer one is known
 */
#define LIMIT 1
#define END 3
#define NONE 255

byte now;
byte newest = 1;
byte withdrawn = NONE;

/* state of the host: version, time of its proof, and the last stamp of the hub with the time of its receipt */
byte hostVersion, hostProof;
byte stamp = NONE, stampReceived;

/* state of the hub: version and time of its proof */
byte hubVersion, hubProof;

/* Fails if a proof for version 1 is still valid more than LIMIT after the withdrawal. */
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

/* Two reads run concurrently, because responses of the source may arrive out of order. */
active [2] proctype Read()
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

/* The hub sends its stamp to the host. */
active proctype SendStamp()
{
	byte sent;
	do
	:: now < END ->
		sent = now;
		atomic { stamp = sent; stampReceived = now; sent = 0 }
	:: now == END -> break
	od
}

/* The host reports its version and the time of its proof to the hub. */
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
			/*
			 * The proof is older than the receipt of the stamp by stampReceived - hostProof, and the
			 * hub took the stamp before that receipt. The stamp minus this age is therefore no later
			 * than the proof. It is 0 at least, because bytes have no negative values.
			 */
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
