package winch

// EraSource knows the newest era of the key-value service that this host has learned of, from answers of the service or from other hosts.
type EraSource interface {
	// Newest returns that era, zero if none is known. It never falls.
	Newest() Era
}
