package peer

import (
	"context"
	"time"

	"github.com/arbutuswinch/winch"
)

const (
	// maxLookups bounds the streams for which other hosts are asked at the same time, whatever callers send.
	maxLookups = 64
	// askedHosts is the number of hosts that are asked for a stream. It is one more than are told, as one may have died meanwhile.
	askedHosts = tellHosts + 1
	// enoughAnswers is the number of answers after which the others are not awaited.
	enoughAnswers = tellHosts
	// askTimeout limits the time for which other hosts are asked.
	askTimeout = 200 * time.Millisecond
	// listTrust is the age up to which the list of endpoints of a host without any others shows all versions that serve.
	listTrust = 2 * time.Second
)

// Find implements winch.StreamOrigins.
func (k *Keeper) Find(ctx context.Context, now time.Time, stream winch.RequestID, model winch.ModelID) (winch.FoundOrigin, error) {
	// The list may have changed since it was last observed.
	k.observe()
	memory := k.memory()
	k.mu.Lock()
	known, found := k.book.Lookup(stream)
	only, single := k.book.OnlyVersion(now, known.Model, memory)
	k.mu.Unlock()
	switch {
	case found && known.Software != "":
		return k.conclude(stream, winch.FoundOrigin{StreamOrigin: known, Source: winch.OriginRecorded, SingleVersion: single && only == known.Software}, 0)
	case found:
		// The host that relayed the stream did not know the version of its endpoint, so no host does.
		return k.conclude(stream, k.withoutRecord(now, model, memory, true), 0)
	}
	asked := k.ask(ctx, now, stream, model)
	if asked.origin != nil && asked.origin.Software != "" {
		return k.conclude(stream, winch.FoundOrigin{StreamOrigin: *asked.origin, Source: winch.OriginTold}, asked.answers)
	}
	others := k.hasOthers(now)
	// A host that reaches no other one cannot know what has been listed since it read its own list.
	result := k.withoutRecord(now, model, memory, asked.answers > 0 || !others && k.listIsFresh(now))
	if result.Source == winch.OriginUnknown {
		wanted := enoughAnswers
		if stream == "" {
			// More answers would only tell of the same versions.
			wanted = 1
		}
		result.MayBeKnownLater = others && asked.answers < wanted || !k.knowsEarlierVersions(now, memory)
	}
	return k.conclude(stream, result, asked.answers)
}

// withoutRecord returns the only version that has served, or an unknown origin. Without allVersionsSeen, there may be versions
// of which this host has not heard.
func (k *Keeper) withoutRecord(now time.Time, model winch.ModelID, memory time.Duration, allVersionsSeen bool) winch.FoundOrigin {
	k.mu.Lock()
	software, single := k.book.OnlyVersion(now, model, memory)
	k.mu.Unlock()
	result := winch.FoundOrigin{StreamOrigin: winch.StreamOrigin{Model: model, At: now}, Source: winch.OriginUnknown}
	if single && allVersionsSeen && k.knowsEarlierVersions(now, memory) {
		result.Software, result.Source, result.SingleVersion = software, winch.OriginOnlyVersion, true
	}
	return result
}

// conclude logs and counts the result.
func (k *Keeper) conclude(stream winch.RequestID, result winch.FoundOrigin, answers int) (winch.FoundOrigin, error) {
	k.metrics.countFound(result.Source)
	k.options.Logger.Info("origin of a stream sought", "Event", EventOriginSought, "Stream", string(stream), "Model", string(result.Model),
		"Software", string(result.Software), "Source", string(result.Source), "Age", k.options.Clock.Now().Sub(result.At).String(), "Answers", answers)
	if result.Source == winch.OriginUnknown {
		return result, winch.ErrOriginUnknown
	}
	return result, nil
}

func (k *Keeper) listIsFresh(now time.Time) bool {
	return now.Sub(k.options.Endpoints.ReadAt()) <= listTrust
}

func (k *Keeper) hasOthers(now time.Time) bool { return len(k.ranked(now, "")) > 0 }

// askResult is what other hosts answered.
type askResult struct {
	// origin is nil if no host knew the stream.
	origin  *winch.StreamOrigin
	answers int
}

// ask asks hosts for the stream at the same time, until one knows it or enough have answered.
func (k *Keeper) ask(ctx context.Context, now time.Time, stream winch.RequestID, model winch.ModelID) askResult {
	all, hosts := k.clients.Load(), k.ranked(now, stream)
	if all == nil || len(hosts) == 0 {
		return askResult{}
	}
	select {
	case k.lookups <- struct{}{}:
		defer func() { <-k.lookups }()
	default:
		return askResult{}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	hosts = hosts[:min(askedHosts, len(hosts))]
	// The buffer lets goroutines end whose answers are not awaited.
	responses := make(chan *findResponse, len(hosts))
	for _, host := range hosts {
		go func() {
			response, err := findAt(ctx, all, host, findCall{Stream: string(stream), Model: string(model)})
			if err != nil {
				response = nil
			}
			responses <- response
		}()
	}
	result := askResult{}
	for range hosts {
		response := <-responses
		if response == nil {
			continue
		}
		result.answers++
		if origin := k.apply(model, response); origin != nil && (result.origin == nil || result.origin.Software == "") {
			result.origin = origin
		}
		if result.origin != nil && result.origin.Software != "" || result.answers >= enoughAnswers {
			break
		}
	}
	return result
}

// apply adds an answer to what this host knows, and returns the origin in it, if there is one.
func (k *Keeper) apply(model winch.ModelID, response *findResponse) *winch.StreamOrigin {
	now := k.options.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, version := range response.Versions {
		if len(version.Software) <= maxNameLength {
			k.book.ObserveServed(model, winch.SoftwareVersion(version.Software), ago(now, version.AgeMS))
		}
	}
	if response.Origin == nil {
		return nil
	}
	// It is not kept: the host that relays the stream corrects it only at those that it has told.
	_, known, err := decodeStream(now, *response.Origin)
	if err != nil {
		return nil
	}
	return &known
}
