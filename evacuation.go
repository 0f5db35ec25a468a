package winch

import "context"

// Evacuations are the data centres that operators have asked to evacuate, at one time. No request is sent to their endpoints.
type Evacuations struct {
	// DataCentres is sorted. It is empty if no data centre is evacuated.
	DataCentres []DataCentreID
	// Version is the version of the key-value service at the time of the read. Of two readings whose order in time is not certain,
	// the one with the lower version is the older one.
	Version Version
}

// EvacuationLister lists the evacuated data centres.
type EvacuationLister interface {
	ListEvacuations(ctx context.Context) (Evacuations, error)
}

// EvacuationSource provides the evacuated data centres as far as this host knows them.
type EvacuationSource interface {
	// Evacuated returns the evacuated data centres, sorted. The result must not be modified.
	Evacuated() []DataCentreID
}
