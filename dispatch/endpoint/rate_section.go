package endpoint

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/ratelimit"
)

// rateSectionName identifies the section with the rates that endpoints have named.
const rateSectionName winch.SectionName = "Rates"

// rateSection implements winch.Section for the rates that endpoints have named.
type rateSection struct {
	// Hosts of other data centres use endpoints of their own.
	winch.NoDigest
	d *Dispatcher
}

// RateSection returns the dispatcher's section for the rates that endpoints have named.
func (d *Dispatcher) RateSection() winch.Section { return rateSection{d: d} }

// rateWire is one row of the message.
type rateWire struct {
	Endpoint string
	// Started is the start of the endpoint's run in Unix milliseconds, zero if it is not known.
	Started int64 `json:",omitempty"`
	// Age is how long ago the endpoint said so, in milliseconds.
	Age     int64
	Limited bool    `json:",omitempty"`
	Rate    float64 `json:",omitempty"`
}

// Name returns the section's name.
func (s rateSection) Name() winch.SectionName { return rateSectionName }

// Report returns what this host knows, nil if no endpoint has named a rate.
func (s rateSection) Report(now time.Time) []byte {
	s.d.lock.Lock()
	rates := s.d.core.toldRates(now)
	s.d.lock.Unlock()
	if len(rates) == 0 {
		return nil
	}
	return encodeRates(now, rates)
}

// Collect applies a host's report. It is called on the hub.
func (s rateSection) Collect(now time.Time, from winch.HostID, report []byte) error {
	return s.merge(now, from, report)
}

// Summary returns what the hub knows, which includes what all hosts have reported.
func (s rateSection) Summary(now time.Time, _ winch.HostID) []byte { return s.Report(now) }

// Apply applies the hub's summary.
func (s rateSection) Apply(now, _ time.Time, hub winch.HostID, summary []byte) error {
	return s.merge(now, hub, summary)
}

func (s rateSection) merge(now time.Time, from winch.HostID, message []byte) error {
	if len(message) == 0 {
		return nil
	}
	rates, err := decodeRates(now, message)
	if err != nil {
		return err
	}
	s.d.runStep(func() { s.d.core.mergeRates(now, from, rates) })
	return nil
}

func encodeRates(now time.Time, rates []toldRate) []byte {
	rows := make([]rateWire, 0, len(rates))
	for _, rate := range rates {
		row := rateWire{
			Endpoint: string(rate.endpoint), Age: max(0, now.Sub(rate.told.SaidAt).Milliseconds()),
			Limited: rate.told.Word.Limited, Rate: float64(rate.told.Word.Rate),
		}
		if !rate.startedAt.IsZero() {
			row.Started = rate.startedAt.UnixMilli()
		}
		rows = append(rows, row)
	}
	return marshal(rows)
}

func decodeRates(now time.Time, message []byte) ([]toldRate, error) {
	rows := []rateWire{}
	if err := json.Unmarshal(message, &rows); err != nil {
		return nil, fmt.Errorf("decode rates: %w: %w", winch.ErrInvalid, err)
	}
	if len(rows) > maxWireRows {
		return nil, fmt.Errorf("decode rates: more than %d: %w", maxWireRows, winch.ErrInvalid)
	}
	rates := make([]toldRate, 0, len(rows))
	for _, row := range rows {
		if row.Age < 0 || row.Age > math.MaxInt64/int64(time.Millisecond) || row.Rate < 0 || len(row.Endpoint) > maxNameLength {
			return nil, fmt.Errorf("decode rates: invalid Age, Rate or Endpoint of %.64q: %w", row.Endpoint, winch.ErrInvalid)
		}
		rate := toldRate{endpoint: winch.EndpointID(row.Endpoint), told: ratelimit.Told{
			Word:   winch.RateWord{Known: true, Limited: row.Limited, Rate: winch.RequestRate(row.Rate)},
			SaidAt: now.Add(-time.Duration(row.Age) * time.Millisecond),
		}}
		if row.Started != 0 {
			rate.startedAt = time.UnixMilli(row.Started)
		}
		rates = append(rates, rate)
	}
	return rates, nil
}
