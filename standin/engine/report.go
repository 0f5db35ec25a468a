package engine

import "time"

const (
	rateWindow = time.Second
	// Samples are trimmed to the newest sampleLimit/2 when there are more than 2*sampleLimit, or when
	// there are more than sampleLimit and the one at index sampleLimit/2 is older than sampleRetention.
	// sampleRetention covers the lag that report_lag faults add.
	sampleRetention = 30 * time.Second
	sampleLimit     = 4096
)

// loadSample is a sample of the engine's load.
type loadSample struct {
	at        time.Time
	running   int
	waiting   int
	tokens    int64
	cacheUsed int
}

// loadHistory holds past samples of the load, the oldest first.
type loadHistory struct{ samples []loadSample }

func (h *loadHistory) add(now time.Time, added loadSample) {
	added.at = now
	h.samples = append(h.samples, added)
	if len(h.samples) > 2*sampleLimit || (len(h.samples) > sampleLimit && now.Sub(h.samples[sampleLimit/2].at) > sampleRetention) {
		h.samples = append([]loadSample(nil), h.samples[len(h.samples)-sampleLimit/2:]...)
	}
}

// at returns the load at the instant and the output tokens per second over the rateWindow
// before it.
func (h *loadHistory) at(instant time.Time) (loadSample, float64) {
	current := h.lastBefore(instant)
	earlier := h.lastBefore(instant.Add(-rateWindow))
	return current, float64(current.tokens-earlier.tokens) / rateWindow.Seconds()
}

// lastBefore returns the last sample that is not after the instant, or an empty one.
func (h *loadHistory) lastBefore(instant time.Time) loadSample {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(instant) {
			return h.samples[i]
		}
	}
	return loadSample{}
}
