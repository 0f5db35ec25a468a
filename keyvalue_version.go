package winch

// Era counts how often the key-value service has come back from an older copy of itself, which loses writes that it had acknowledged and
// gives their revisions out again. It is zero while nothing is known of it.
type Era int64

// StoreRevision is the key-value service's change counter as the service tells it. It increases across all keys, but falls when a new
// Era begins. Zero means that none is known.
type StoreRevision int64

// revisionBits is the number of low bits that hold the revision where an era and a revision make one number.
const revisionBits = 40

// MaxEra is the highest era that fits above the revision in a positive number of 64 bits.
const MaxEra Era = 1<<(63-revisionBits) - 1
