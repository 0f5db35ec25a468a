package simulation

import (
	"time"

	"github.com/arbutuswinch/winch"
)

// The settings are those of a host as winchd forwards with, at the platform's usual bounds.
const (
	leaseLength           = 3 * time.Second
	renewEvery            = leaseLength / 4
	inFlight              = time.Second
	windowLength          = 5 * time.Second
	usageGrace            = 1100 * time.Millisecond
	usageMaxGrace         = 6500 * time.Millisecond
	usageCatchUp          = 2 * time.Second
	usageInterval         = 400 * time.Millisecond
	usageRetention        = 2 * time.Minute
	orderInterval         = 500 * time.Millisecond
	shard                 = winch.Shard(0)
	centre                = winch.DataCentreID("all")
	platformDuty          = winch.Duty("platform")
	runLength             = 50 * time.Second
	maxSkew               = 4 * time.Second
	orderPath             = "/orders"
	longestPause          = 7 * time.Second
	calmEnd               = 6 * time.Second
	largeFleetStandbys    = 1
	smallFleetStandbys    = 8
	shortRetention        = 15 * time.Second
	maxJoin, maxForget    = 2500 * time.Millisecond, 3 * time.Second
	silentAfter           = 1500 * time.Millisecond
	collectEvery          = 150 * time.Millisecond
	exchangeEvery         = 250 * time.Millisecond
	organisations         = 3
	mostHosts, leastHosts = 5, 3
	// turnLength is the time between the ends of two hosts that restart in series.
	turnLength = 2 * time.Second
)

// faults select behaviour that the protocol does not allow, and guards that are removed. None is set within the protocol.
type faults struct {
	// forgets is how much of the last acknowledged writes a restart of the store loses, and forgetsAll that it loses all.
	forgets    time.Duration
	forgetsAll bool
	// forgetsOnly limits what is lost to keys with these prefixes. All have one if it is empty.
	forgetsOnly []string
	// revisionGoesBack: the store counts its revisions from what it has left, and begins a new era. eraUntold: its answers do not name the
	// era. ignoresEra: hosts take no notice of it.
	revisionGoesBack bool
	eraUntold        bool
	ignoresEra       bool
	// lateUnconditional: a late write is carried out although its condition no longer holds.
	lateUnconditional bool
	staleGet          bool
	staleList         bool
	// crossedAnswers: a write gets the answer to another one.
	crossedAnswers bool
	// incompleteBody: the receiver takes a call without its last bytes.
	incompleteBody bool
	// twins: a second process of a host runs beside the first. sharedIncarnation: both have one incarnation.
	twins             bool
	sharedIncarnation bool
	// lateWire: calls are on the wire for longer than their sender allows for.
	lateWire bool

	// noCheck removes the sender's last check, headUnconditional the condition of writes of the head, believeLost the reading back
	// of the head, noInFlight the successor's wait, noFormer the former holder from the lease's record, and noExchange what hosts tell
	// each other of sealed windows.
	noCheck           bool
	noFormer          bool
	noExchange        bool
	headUnconditional bool
	believeLost       bool
	noInFlight        bool

	// danger, if it is set, makes one in so many writes of the ledger late, lost or unanswered, in place of other troubles. This is
	// within the protocol.
	danger int
	// reversedEvery, which is within the protocol, leaves out all troubles and reverses the order of the hosts in each such time.
	reversedEvery time.Duration
	// restartsInSeries, also within the protocol, ends and starts one host after the other.
	restartsInSeries bool
	// orderEvery, also within the protocol, is the time between orders, orderInterval if it is zero.
	orderEvery time.Duration
}
