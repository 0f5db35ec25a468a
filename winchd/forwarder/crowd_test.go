package forwarder

import (
	"testing"

	"github.com/arbutuswinch/winch/internal/crowdtest"
)

// TestCrowdOfUnfinishedBodies guards against bodies that are held without progress, and allocated at once by their declared length.
func TestCrowdOfUnfinishedBodies(t *testing.T) {
	meetCrowds(t, crowdPlaces, crowdtest.UnfinishedBodies(crowdBodyLimit))
}

// TestCrowdOfUnfinishedChunkedBodies guards against bodies without a declared length that are held without progress.
func TestCrowdOfUnfinishedChunkedBodies(t *testing.T) {
	meetCrowds(t, crowdPlaces, crowdtest.UnfinishedChunkedBodies(crowdBodyLimit))
}

// TestCrowdOfOneByteChunks guards against bodies whose encoding is several times as long as they are.
func TestCrowdOfOneByteChunks(t *testing.T) {
	meetCrowds(t, crowdPlaces, crowdtest.OneByteChunks(crowdBodyLimit))
}

// TestCrowdOfWholeBodies guards against more complete bodies at once than there is memory for.
func TestCrowdOfWholeBodies(t *testing.T) {
	meetCrowds(t, crowdPlaces, crowdtest.WholeBodies(crowdBodyLimit))
}

// TestCrowdOfBodiesThatEndpointsReadSlowly guards against bodies that are not counted once they are sent to an endpoint.
func TestCrowdOfBodiesThatEndpointsReadSlowly(t *testing.T) {
	meetCrowds(t, slowBodies, crowdtest.WholeBodies(crowdBodyLimit))
}

// TestCrowdOfDeclaredBodiesOverTheLimit guards against bodies that are read although their declared length is over the limit.
func TestCrowdOfDeclaredBodiesOverTheLimit(t *testing.T) {
	meetCrowds(t, crowdPlaces, crowdtest.DeclaredBodiesOverTheLimit(overLimit*crowdBodyLimit))
}

// TestCrowdOfChunkedBodiesOverTheLimit guards against bodies that are read although they are longer than the limit.
func TestCrowdOfChunkedBodiesOverTheLimit(t *testing.T) {
	meetCrowds(t, crowdPlaces, crowdtest.ChunkedBodiesOverTheLimit(overLimit*crowdBodyLimit))
}

// TestCrowdOfShortFields guards against heads of legal size that take many times their size in memory.
func TestCrowdOfShortFields(t *testing.T) {
	meetCrowds(t, crowdPlaces, crowdtest.ShortFields(legalHeads, legalFields))
}

// TestCrowdOfSevenThousandFields guards against the same with heads over the legal size, which the server must read before it sees
// that they are.
func TestCrowdOfSevenThousandFields(t *testing.T) {
	meetCrowds(t, crowdPlaces, crowdtest.ShortFields(200, 42_000))
}

// TestCrowdOfPipelinedRequests guards against answers and requests that pile up while the caller does not read.
func TestCrowdOfPipelinedRequests(t *testing.T) {
	meetCrowds(t, crowdPlaces, crowdtest.PipelinedRequests())
}

// TestCrowdOfSlowHeads guards against connections that take all descriptors while their heads arrive.
func TestCrowdOfSlowHeads(t *testing.T) { meetCrowds(t, crowdPlaces, crowdtest.SlowHeads()) }

// TestCrowdOfStalledHeads guards against connections that take all descriptors without sending anything more.
func TestCrowdOfStalledHeads(t *testing.T) { meetCrowds(t, crowdPlaces, crowdtest.StalledHeads()) }

// TestCrowdOfSlowReaders guards against large answers that are kept for callers who hardly read them.
func TestCrowdOfSlowReaders(t *testing.T) { meetCrowds(t, largeAnswers, crowdtest.SlowReaders()) }

// TestCrowdsOfUnfinishedBodiesAndStalledHeads guards against a limit that one kind of crowd uses up for the other.
func TestCrowdsOfUnfinishedBodiesAndStalledHeads(t *testing.T) {
	meetCrowds(t, oneRoute, crowdtest.UnfinishedBodies(crowdBodyLimit), crowdtest.StalledHeads())
}

// TestCrowdsOfShortFieldsAndPipelinedRequests guards against memory of heads and of answers that is bounded only separately.
func TestCrowdsOfShortFieldsAndPipelinedRequests(t *testing.T) {
	meetCrowds(t, oneRoute, crowdtest.ShortFields(legalHeads, legalFields), crowdtest.PipelinedRequests())
}

// TestCrowdsOfUnfinishedBodiesAndSlowReaders guards against memory of requests and of answers that is bounded only separately.
func TestCrowdsOfUnfinishedBodiesAndSlowReaders(t *testing.T) {
	meetCrowds(t, largeAnswers, crowdtest.UnfinishedBodies(crowdBodyLimit), crowdtest.SlowReaders())
}
